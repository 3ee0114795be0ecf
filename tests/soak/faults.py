"""Faults that the soak injects into the processes, their connections, the
store and the searchers. Each fault ends without further action."""

import asyncio
import math
import signal

from .instance import ZONES
from .notices import NoticeFaults
from .operator_faults import OperatorFaults
from .restores import Restores
from .store import OUTAGES, REFUSALS
from .versions import IN_FORCE_TIMEOUT_S

CLOSE_TIMEOUT_S = 5.0
STABLE_WINDOW_S = 4.0
START_TIMEOUT_S = 8.0
REPORT_INTERVAL_S = 1.2


class Faults(OperatorFaults, NoticeFaults, Restores):
    """A mixin of Soak, whose state the faults change."""

    async def kill(self):
        victim = self.random.choice(self.instances)
        victim.killed = True
        victim.signal(signal.SIGKILL)

    async def freeze(self):
        victim = self.random.choice(self.instances)
        process = victim.process
        victim.frozen += 1
        victim.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(.2, 2))
        victim.frozen -= 1
        if process.returncode is None and victim.frozen == 0:
            process.send_signal(signal.SIGCONT)
        victim.undisturbed_since = victim.woken_s = self.now()

    async def restart(self):
        victim = self.random.choice(self.instances)
        if victim.settled():
            await self.stop_instance(victim)

    async def stop_instance(self, victim):
        frozen = victim.frozen
        exited = await victim.stop()
        if not exited and not frozen and not victim.frozen:
            self.ledger.record_violation(
                "a shutdown ends within its timeout", victim.name)

    async def outage(self):
        if self.store.outage:
            return
        self.store.outage = self.random.choice(OUTAGES)
        await asyncio.sleep(self.random.uniform(.2, 4))
        self.store.outage = None
        self.store_available_since = self.now()

    async def lose_history(self):
        self.store.discard_history()

    async def pause(self):
        for each in self.random.sample(list(self.searchers.values()), 3):
            each.paused_until = self.now() + .25

    async def trouble(self):
        victims = self.random.sample(list(self.searchers.values()), 4)
        for each in victims:
            each.fault_mode = self.random.choice(["garble", "shed", "cut"])
        await asyncio.sleep(self.random.uniform(.5, 3))
        for each in victims:
            each.fault_mode = None

    async def leave(self, victim=None, after=8.0):
        """Drains a searcher or deletes its entry; later reuses its address."""
        live = [s for s in self.searchers.values()
                if s.id not in self.ledger.leaving and s.service == "archive"]
        if victim is None:
            if len(live) < 4:
                return
            victim = self.random.choice(live)
        victim.leaves = True
        way = self.random.choice(["drain", "drain_cold", "delete", "delete"])
        if way == "delete":
            await self.store.delete("servers", victim.id)
        else:
            await self.store.put("servers", victim.id, victim.entry("draining"))
        acked_s = self.now()
        await asyncio.sleep(0)
        self.ledger.leaving[
            victim.id] = acked_s if self.store_is_stable() else acked_s + 9
        if way == "drain_cold":
            await self.report_cold_drain(victim, after)
        else:
            await asyncio.sleep(after)
        await self.store.delete("servers", victim.id)
        await victim.crash()
        if victim.service == "archive":
            await self.add_searcher("archive", victim.zone, victim.port)

    async def report_cold_drain(self, victim, seconds):
        """The entry of a draining searcher changes while it is cold."""
        end = self.now() + seconds
        while self.now() < end:
            left_ms = int(1000 * (end - self.now()))
            await self.store.put("servers", victim.id,
                                 victim.entry("draining", left_ms))
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def reshard(self):
        before = [s for s in self.searchers.values()
                  if s.service in self.shards]
        shards = await self.new_shards()
        await asyncio.sleep(2)
        self.shards = shards
        await self.change()
        await asyncio.sleep(IN_FORCE_TIMEOUT_S + 9)
        await asyncio.gather(*(self.leave(each) for each in before))

    def store_is_stable(self):
        return (self.store.outage is None
                and self.now() - self.store_available_since > 4)

    async def change(self):
        """Checks that a new configuration comes into force within the timeout
        at all instances that had no recent fault."""
        version = await self.publish()
        acked_s = self.now()
        if not self.store_is_stable():
            return
        await asyncio.sleep(IN_FORCE_TIMEOUT_S)
        await self.check_in_force(version, acked_s)

    async def silent_watch(self):
        """Loses one answer of the store to a watch on the configuration. Checks
        that all instances have the change once they are in touch again."""
        if not self.store_is_stable():
            return
        self.store.losing_kind = "config"
        version = await self.publish()
        acked_s = self.store_available_since = self.now()
        await asyncio.sleep(STABLE_WINDOW_S + .1)
        await self.check_in_force(version, acked_s)

    async def check_in_force(self, version, acked_s):
        for each in list(self.instances):
            elapsed_s = self.now() - acked_s
            if (not self.store_is_stable()
                    or f"v{version}" not in self.routes.named):
                continue
            if not each.undisturbed_for(elapsed_s + STABLE_WINDOW_S):
                continue
            attempt = self.new_attempt(f"v{version}", each)
            await self.send_request(each, f"v{version}", attempt=attempt)
            if self.ledger.statuses.get(attempt) == 404:
                self.ledger.record_violation(
                    "a configuration is in force within its timeout",
                    f"{version} at {each.name}")

    async def close_zone(self):
        if self.ledger.closed or not self.store_is_stable():
            return
        zone = self.random.choice(ZONES)
        self.ledger.closed[zone] = math.inf
        await self.store.put("evacuations", zone, {})
        acked_s = self.now()
        self.ledger.closed[zone] = acked_s
        await asyncio.sleep(CLOSE_TIMEOUT_S + 1)
        del self.ledger.closed[zone]
        await self.store.delete("evacuations", zone)

    async def inject_relay_fault(self, relay, instance):
        """Injects a random fault into the connections through a relay."""
        kind = self.random.choice(["delay", "reset", "silence", "cut", "there",
                                   "back"])
        instance.begin_fault()
        if kind == "delay":
            relay.delay_s = self.random.uniform(.02, .3)
        elif kind == "reset":
            relay.reset()
        elif kind == "silence":
            relay.silence()
        else:
            relay.cut_off(["there", "back"] if kind == "cut" else [kind])
        await asyncio.sleep(self.random.uniform(.3, 4))
        relay.restore()
        instance.end_fault()

    async def store_link(self):
        victim = self.random.choice(self.instances)
        await self.inject_relay_fault(victim.store_relay, victim)

    async def refuse_some(self):
        """The store refuses the calls of some instances, and serves others."""
        if any(each.store_relay.target == self.refusal_port
               for each in self.instances):
            return
        victims = self.random.sample(
            self.instances, self.random.randint(1, len(self.instances) - 1))
        self.store.refusal = self.random.choice(REFUSALS)
        for each in victims:
            each.begin_fault()
            each.store_relay.lead_to(self.refusal_port)
        await asyncio.sleep(self.random.uniform(.2, 4))
        for each in victims:
            each.store_relay.lead_to(self.store_port)
            each.end_fault()

    async def control_link(self):
        """Disturbs the links of other instances to this instance, which may be
        their source."""
        victim = self.random.choice(self.instances)
        for each in self.instances:
            each.begin_fault()
        await self.inject_relay_fault(victim.control_relay, victim)
        for each in self.instances:
            each.end_fault()

    async def caller_link(self):
        victim = self.random.choice(self.instances)
        await self.inject_relay_fault(victim.caller_relay, victim)

    async def start_without_store(self):
        """Checks that an instance which starts during an outage of the store
        gets its state from the other instances."""
        if self.store.outage:
            return
        victim = self.random.choice(self.instances)
        others = [each for each in self.instances if each is not victim]
        if not any(each.undisturbed_for(STABLE_WINDOW_S) for each in others):
            return
        self.store.outage = self.random.choice(OUTAGES)
        victim.killed = True
        victim.signal(signal.SIGKILL)
        began = self.now()
        while self.now() - began < START_TIMEOUT_S and not await victim.ready():
            await asyncio.sleep(.1)
        late = self.now() - began >= START_TIMEOUT_S
        undisturbed = all(each.undisturbed_for(START_TIMEOUT_S)
                          for each in others)
        if late and undisturbed and victim.undisturbed_for(START_TIMEOUT_S / 2):
            self.ledger.record_violation("an instance starts without the store",
                                         victim.name)
        self.store.outage = None
        self.store_available_since = self.now()

    def kinds(self):
        """Returns the faults by name."""
        kinds = [self.kill, self.freeze, self.restart, self.outage,
                 self.lose_history, self.pause, self.trouble, self.leave,
                 self.change, self.silent_watch, self.store_link, self.control_link,
                 self.caller_link, self.start_without_store, self.close_zone,
                 self.odd_entry, self.pipeline, self.hup_storm,
                 self.rewrite_settings, self.config_storm, self.stall_log,
                 self.close_log, self.stop_without_store, self.reshard,
                 self.announce_leaving, self.turn_away, self.restore_store,
                 self.refuse_some, self.restore_in_series]
        return {each.__name__: each for each in kinds}

    async def restore_once(self):
        """Restores the store at some time of a run of all faults."""
        await asyncio.sleep(self.routes.random.uniform(2, self.seconds))
        while self.store.outage:
            await asyncio.sleep(.1)
        await self.noted(self.restore_store)

    async def noted(self, fault):
        self.note(f"{fault.__name__} begins")
        await fault()
        self.note(f"{fault.__name__} ends")

    async def faults(self):
        kinds = self.kinds()
        running = []
        if self.only is None:
            # Goes on for most of a run, so it starts only once.
            running.append(asyncio.create_task(kinds.pop("reshard")()))
            running.append(asyncio.create_task(self.restore_once()))
        else:
            kinds = {each: kinds[each] for each in self.only.split(",")}
        end = self.now() + self.seconds
        while self.now() < end:
            await asyncio.sleep(self.random.uniform(.2, 1.2))
            running.append(asyncio.create_task(
                self.noted(self.random.choice([*kinds.values()]))))
        await asyncio.gather(*running)
