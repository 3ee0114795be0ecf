"""Some instances and a store that comes back from a copy; judges what callers
and upstreams saw after it, by the bounds of the users' rules."""

import asyncio
import collections
import itertools
import math
import random
import signal

from .case_tier import ObedientSearcher, Tier
from .faults import IN_FORCE_TIMEOUT_S, STABLE_WINDOW_S
from .http_text import read_message
from .instance import ZONES, Instance
from .ports import free_port
from .restores import MAX_AWAY_S, MAX_COPY_AGE_S
from .soak import SEED_COUNT
from .store import OUTAGES, Store

MIN_AWAY_S = 0.5
MIN_COPY_AGE_S = 4.0
INSTANCES = 3
KEPT_CALLERS = 3  # for each instance
CALL_INTERVAL_S = 0.06
PROBE_INTERVAL_S = 0.07
# Written after the copy was made, so the revision goes back by as many.
LOST_WRITES = 40
# How long requests are judged beyond the last bound.
JUDGED_S = 2.5
CHANGED_VERSION = 50
REMOVED, MOVED, ADDED = "removed", "moved", "added"
JUDGED = [REMOVED, MOVED, ADDED, "drains", "leaves"]
UNJUDGED = " (not judged)"
TURNED_AWAY = set(range(300, 500)) - {408, 421, 429}  # as DENIED has it


class NotedSearcher(ObedientSearcher):
    """Keeps which request arrived when."""

    def __init__(self, *arguments, **settings):
        super().__init__(*arguments, **settings)
        self.arrivals = []

    async def exchange(self, message, writer):
        self.arrivals.append((message.get("papayaglade-attempt-id"),
                              asyncio.get_running_loop().time()))
        return await super().exchange(message, writer)


class RestoreTier(Tier):
    """Some instances, which follow each other with the longer bound, and
    callers that ask all of them all the time."""

    def __init__(self, name, cases, drain_timeout_s):
        super().__init__(name, cases)
        self.drain_timeout_s = drain_timeout_s
        self.draws = random.Random(f"{cases.seed} {name}")
        self.instances = []
        self.tasks = []
        self.sent = {}  # attempt -> its route and when it was sent
        self.statuses = {}  # attempt -> status, if it was answered
        self.acked_s = {}  # of MOVED (all of the configuration), and upstreams
        self.away_s = math.inf  # the store went away
        self.back_s = 0.0  # the store was back, with what was written again

    async def configure(self, version, routes, padding=0):
        await self.store.put("config", "main", {
            "version": version, "limits": {"idle_timeout_ms": 15000},
            "padding": "x" * padding,
            "routes": [{"name": route, "path_prefix": f"/{route}/",
                        "type": "idempotent", "service": service,
                        "host": "shop.example", "priority": 1,
                        "target_latency_ms": 200, "max_attempts": 2,
                        "timeout_ms": 1200}
                       for route, service in routes.items()],
            "services": [{"name": service, "health_path": "/health",
                          "max_connections": 300, "protocol": "h1",
                          "tls": False, "warmup_s": 0, "warmup_per_s": 0}
                         for service in ("archive", "old", "new")]})

    async def start(self):
        self.store = Store()
        await self.store.serve(self.store_port)
        for name in ("stays", "drains", "leaves", "old", "new"):
            service = name if name in ("old", "new") else "archive"
            each = NotedSearcher(f"i-{name}", service, ZONES[0], free_port(),
                                 0, self.ledger, slots=200)
            await each.start()
            self.searchers[name] = each
            await self.store.put("servers", each.id, each.entry())
        await self.configure(2, {"pull": "archive", MOVED: "old",
                                 REMOVED: "old"})
        self.instances = [Instance(f"{self.name}-{i}", ZONES[i % 2], self)
                          for i in range(INSTANCES)]
        relays = {each.ports["control"]: each.control_relay.port
                  for each in self.instances}
        self.store.control_ports = relays
        for each in self.instances:
            await each.start_relays([f"127.0.0.1:{port}" for port in
                                     list(relays.values())[:SEED_COUNT]])
        self.running = [asyncio.create_task(each.run_once())
                        for each in self.instances]
        async with asyncio.timeout(15):
            while not all([await each.ready() for each in self.instances]):
                await asyncio.sleep(.05)
        for each in self.instances:
            calls = [self.call(each, ["pull"], CALL_INTERVAL_S, True)
                     for _ in range(KEPT_CALLERS)]
            calls.append(self.call(each, [MOVED, REMOVED, ADDED],
                                   PROBE_INTERVAL_S, False))
            self.tasks += map(asyncio.create_task, calls)
        await asyncio.sleep(.5)

    async def call(self, instance, routes, interval_s, keep):
        """Asks for routes in turn until cancelled, on kept connections or each
        time on a new one."""
        connection = None
        for route in itertools.cycle(routes):
            message, text = None, self.request(route=route, budget_ms=1000)
            attempt = f"a{self.requests}"
            try:
                reader, writer = connection or await asyncio.open_connection(
                    "127.0.0.1", instance.ports["callers"])
                connection = reader, writer
                self.sent[attempt] = route, self.now()
                writer.write(text)
                message = await asyncio.wait_for(read_message(reader), 2)
                self.statuses[attempt] = message and message.status
            except (OSError, asyncio.TimeoutError):
                pass
            closed = message is None or message.get("connection") == "close"
            if connection is not None and (closed or not keep):
                writer.close()
                connection = None
            await asyncio.sleep(interval_s)

    async def fill(self, revision):
        """Raises the revision by changes that nobody needs."""
        searcher = self.searchers["new"]
        while self.store.revision < revision:
            await self.store.put("servers", searcher.id, searcher.entry(
                warmup_left_ms=self.store.revision))

    async def change(self):
        """The operator's and the upstreams' changes, which the case judges."""
        await self.configure(CHANGED_VERSION, {"pull": "archive", MOVED: "new",
                                 ADDED: "new"})
        self.acked_s[MOVED] = self.now()
        drains, leaves = self.searchers["drains"], self.searchers["leaves"]
        await self.store.put("servers", drains.id, drains.entry("draining"))
        self.acked_s["drains"] = self.now()
        await self.store.delete("servers", leaves.id)
        self.acked_s["leaves"] = self.now()

    async def lose(self, change=None):
        """The store is away for a moment and comes back from a copy, without
        what is written first. It stays away until come_back(). Returns the
        revision that the instances know."""
        age_s = self.draws.uniform(MIN_COPY_AGE_S, MAX_COPY_AGE_S)
        away = self.draws.uniform(MIN_AWAY_S, MAX_AWAY_S)
        copied_s = self.now()
        await asyncio.sleep(.01)
        if change is not None:
            await change()
        else:
            await self.configure(3, {"pull": "archive", MOVED: "old",
                                     REMOVED: "old", "again": "old"})
        known = self.store.revision + LOST_WRITES
        await self.fill(known)
        await asyncio.sleep(copied_s + age_s - away - self.now())
        self.away_s = self.now()
        self.store.outage = self.draws.choice(OUTAGES)
        await asyncio.sleep(away)
        await self.store.load_copy(self.now() - copied_s - .005)
        return known

    async def come_back(self, rewrite_s):
        self.store.outage = None
        await self.store.write_again(rewrite_s)
        self.back_s = self.now()

    async def watch_to_the_end(self):
        last_s = max(self.back_s + STABLE_WINDOW_S,
                     *(acked_s + max(IN_FORCE_TIMEOUT_S, self.drain_timeout_s)
                       for acked_s in self.acked_s.values()))
        await asyncio.sleep(last_s + JUDGED_S - self.now())
        for each in self.tasks:
            each.cancel()

    def judge(self):
        """Machines in touch only: what comes STABLE_WINDOW_S after the store's
        return, and later than the bound after the ack. DRAIN counts from acks
        that the store gave while it was stable. Returns what is broken by
        rule, with how late the last was, and how many requests were judged."""
        stable_s = self.back_s + STABLE_WINDOW_S
        due_s = max(self.acked_s[MOVED] + IN_FORCE_TIMEOUT_S, stable_s)
        arrived = {name: {attempt for attempt, _ in each.arrivals}
                   for name, each in self.searchers.items()}
        ran_at_all = set().union(*arrived.values())
        judged, late = collections.Counter(), collections.defaultdict(list)
        for attempt, (route, sent_s) in self.sent.items():
            status = self.statuses.get(attempt)
            if route in ("pull", MOVED) and status in TURNED_AWAY:
                late["allowed by all"].append(sent_s - due_s)
            if sent_s <= due_s or route == "pull":
                continue
            judged[route] += status is not None
            if {MOVED: attempt in arrived["old"],
                REMOVED: attempt in ran_at_all or status not in (None, 404),
                ADDED: status in TURNED_AWAY}[route]:
                late[route].append(sent_s - due_s)
        for name in ("drains", "leaves"):
            times = [at for _, at in self.searchers[name].arrivals]
            acked_s = self.acked_s[name]
            due_s = max(acked_s + self.drain_timeout_s, stable_s)
            unstable = self.away_s <= acked_s < stable_s
            rule = name + UNJUDGED if unstable else name
            judged[name] += bool([at for at in times if at < acked_s])
            late[rule] += [at - due_s for at in times if at > due_s]
        broken = {rule: f"{len(each)}, last {max(each):.1f} s late"
                  for rule, each in late.items() if each}
        return broken, judged

    async def end(self):
        for each in self.tasks:
            each.cancel()
        for each in self.instances:
            each.killed = True
            each.signal(signal.SIGKILL)
        await asyncio.gather(*(self.running or []))
        for each in self.instances:
            for relay in each.relays():
                await relay.stop()
