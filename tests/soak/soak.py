"""Runs real entry instances with stand-ins and injects faults from a seed."""

import asyncio
import os
import random
import signal
import tempfile
import time

from .faults import CLOSE_TIMEOUT_S, STABLE_WINDOW_S, Faults
from .http_text import read_message
from .instance import ZONES, Instance
from .ledger import Ledger
from .operator import OTHER_SERVICE, Operator, Routes
from .operator_faults import request_text
from .ports import free_port
from .searcher import Searcher
from .store import Store

SHARDS = 8
# With the longer timeout, instances become followers of each other.
DRAIN_TIMEOUTS_S = [3.0, 6.0]
SEED_COUNT = 2
KINDS = ["search"] * 6 + ["pull"] * 2 + ["book"] * 2 + ["once"]


class Soak(Faults, Operator):
    def __init__(self, arguments):
        self.programs = [os.path.join(arguments.build, "papayaglade")]
        if arguments.second_program:
            self.programs.append(arguments.second_program)
        self.seconds = arguments.seconds
        self.random = random.Random(arguments.seed)
        self.folder = arguments.folder or tempfile.mkdtemp(prefix="soak-")
        os.makedirs(self.folder, exist_ok=True)
        self.drain_timeout_s = DRAIN_TIMEOUTS_S[
            arguments.seed % len(DRAIN_TIMEOUTS_S)]
        self.instance_count = arguments.instances
        self.searchers = {}
        self.ledger = Ledger(self.drain_timeout_s, CLOSE_TIMEOUT_S,
                             self.searchers, self.in_touch,
                             self.in_touch_for)
        self.only = arguments.only
        self.trap_port = free_port()  # at which nothing that is valid listens
        self.store = Store()
        self.store_port = free_port()
        self.refusal_port = free_port()
        self.shard_count = SHARDS
        self.route_timeout_s = 1.2
        self.instances = []
        self.version = 1
        self.routes = Routes(arguments.seed)
        self.generation = 0
        self.shards = []
        self.next_request = 0
        self.finished = False
        self.store_available_since = 0.0

    @staticmethod
    def now():
        return asyncio.get_running_loop().time()

    def searcher_traits(self, service):
        return {}

    def configuration_extras(self):
        return {}

    def instance_extras(self):
        return {}

    async def add_searcher(self, service, zone, port=None, seed=None):
        number = len(self.searchers)
        searcher = Searcher(f"i-{number}", service, zone, port or free_port(),
                            seed or self.random.random(), self.ledger,
                            **self.searcher_traits(service))
        await searcher.start()
        self.searchers[searcher.id] = searcher
        await self.store.put("servers", searcher.id, searcher.entry())

    async def new_shards(self):
        self.generation += 1
        names = [f"shard-{self.generation}-{i}"
                 for i in range(self.shard_count)]
        for i, name in enumerate(names):
            for zone in self.zones_of(i):
                await self.add_searcher(name, zone)
        return names

    @staticmethod
    def zones_of(shard):
        """Half of the shards have searchers in one zone only, so that
        instances of the other one hand them over."""
        if shard % 4 < 2:
            return ZONES
        return [ZONES[shard // 4 % len(ZONES)]] * len(ZONES)

    async def publish(self):
        self.version += self.random.randint(1, 3)
        self.ledger.shard_sets.append(list(self.shards))
        self.routes.change(self.version)

        def route(name, **more):
            return {"name": name, "host": "shop.example",
                    "path_prefix": f"/{name}/",
                    "timeout_ms": int(self.route_timeout_s * 1000),
                    "target_latency_ms": 200, "priority": 1,
                    **{"max_attempts": 2, **more}}

        routes = [route("search", type="idempotent", top_k=5,
                        fanout_services=self.shards, min_shard_share=.75),
                  route("pull", type="idempotent", service="archive"),
                  route("book", type="non_idempotent", service="archive"),
                  route("once", type="idempotent", service="archive",
                        max_attempts=1),
                  *(route(name, type="idempotent", service=service)
                    for name, service in self.routes.all().items())]
        services = [{"name": name, "health_path": "/health",
                     "max_connections": 30, "protocol": "h1", "tls": False,
                     "warmup_s": 0, "warmup_per_s": 0}
                    for name in [*self.shards, "archive", OTHER_SERVICE]]
        number = self.version
        version = self.ledger.versions.send(
            number, {each["name"]: set(each.get("fanout_services")
                                       or [each["service"]])
                     for each in routes}, self.now())
        await self.store.put("config", "main", {
            "version": number, "routes": routes, "services": services,
            "limits": {"idle_timeout_ms": 15000},
            **self.configuration_extras()})
        version.acked_s = self.now()
        self.note(f"version {number} acknowledged")
        return number

    def new_attempt(self, kind, instance=None):
        self.next_request += 1
        attempt = f"a{self.next_request:07d}"
        self.ledger.route_kinds[attempt] = kind
        self.ledger.senders[attempt] = instance
        self.ledger.sent_s[attempt] = self.now()
        self.ledger.versions.add(attempt, kind, instance, self.now())
        return attempt

    def in_touch(self, instance, since_s):
        """Whether neither the store nor the instance was disturbed since."""
        return self.store_is_stable() and (
            instance is None or
            instance.undisturbed_for(self.now() - since_s + STABLE_WINDOW_S))

    def in_touch_for(self, request):
        """Whether the instance that took a request was in touch, as the users'
        rules have it, when it was sent and ever since."""
        disturbed_s = max(self.store_available_since, self.store.lost_s)
        return (self.store.outage is None
                and disturbed_s <= request.sent_s - STABLE_WINDOW_S
                and self.in_touch(request.instance, request.sent_s))

    def note(self, text):
        """Writes what the soak does, by the clock of the instances' logs."""
        with open(os.path.join(self.folder, "soak.log"), "a") as log:
            log.write(f"{time.time():.3f} {text}\n")

    async def send_request(self, instance, kind, connection=None,
                           attempt=None):
        """Sends a request; returns the connection if still open, else None."""
        sent_s = self.now()
        attempt = attempt or self.new_attempt(kind, instance)
        message = None
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection(
                    "127.0.0.1", instance.caller_relay.port), 1)
            reader, writer = connection
            writer.write(request_text(kind, attempt))
            message = await asyncio.wait_for(read_message(reader), 2)
            end = "closed"
        except (OSError, asyncio.TimeoutError):
            end = "no answer"
        if message is not None:
            self.ledger.check_answer(attempt, kind, message, self.searchers)
            if message.get("connection") != "close":
                return connection
        else:
            self.ledger.count(f"{kind} {end}")
            # A kept-alive connection may close while the request is in
            # flight; then the request has not run, or the process was killed.
            if self.owed_an_answer(instance, attempt, sent_s):
                self.ledger.record_violation(
                    "a request that was accepted gets an answer",
                    f"{attempt} {kind} at {instance.name}: {end}, "
                    f"stopping {instance.stopping}")
        if connection is not None:
            connection[1].close()
        return None

    def owed_an_answer(self, instance, attempt, sent_s):
        calm = (not instance.killed and not instance.frozen
                and instance.active_faults == 0)
        since_sent = instance.undisturbed_since <= sent_s
        return (calm and (instance.stopping or since_sent)
                and bool(self.ledger.runs.get(attempt)))

    async def caller(self, seed, kinds=KINDS):
        rng = random.Random(seed)
        connection, instance = None, None
        while not self.finished:
            if connection is None:
                up = [i for i in self.instances if i in self.rotation]
                instance = rng.choice(up or self.instances)
            kind = rng.choice(kinds)
            connection = await self.send_request(instance, kind, connection)
            await asyncio.sleep(rng.uniform(0, .05))

    async def poll_readiness(self):
        while not self.finished:
            states = await asyncio.gather(
                *(each.ready() for each in self.instances))
            self.rotation = [i for i, up in zip(self.instances, states) if up]
            await asyncio.sleep(.2)

    def start_callers(self):
        callers = [self.caller(self.random.random()) for _ in range(12)]
        return [asyncio.create_task(each)
                for each in [*callers, *self.operator_tasks()]]

    async def run(self):
        servers = [await self.store.serve(self.store_port),
                   await self.store.serve_refusals(self.refusal_port),
                   await asyncio.start_server(self.trap, "127.0.0.1",
                                              self.trap_port)]
        self.shards = await self.new_shards()
        for _ in range(3):
            for zone in ZONES:
                await self.add_searcher("archive", zone)
        for zone in ZONES * 2:
            await self.add_searcher(OTHER_SERVICE, zone,
                                    seed=self.routes.random.random())
        await self.publish()
        self.instances = [Instance(f"entry-{i}", ZONES[i % 2], self, i)
                          for i in range(self.instance_count)]
        self.ledger.owners.instances = self.instances
        relays = {each.ports["control"]: each.control_relay.port
                  for each in self.instances}
        self.store.control_ports = relays
        seeds = [f"127.0.0.1:{port}" for port in relays.values()]
        for each in self.instances:
            each.more_settings = self.instance_extras()
            await each.start_relays(seeds[:SEED_COUNT])
        self.rotation = []
        supervisors = [asyncio.create_task(each.supervise())
                       for each in self.instances]
        balancer = asyncio.create_task(self.poll_readiness())
        await self.until_ready()
        callers = self.start_callers()
        await self.faults()
        await self.until_ready()
        await self.check_recovery()
        self.finished = True
        await asyncio.gather(balancer, *callers)
        for each in self.instances:
            each.signal(signal.SIGTERM)
        await asyncio.gather(*supervisors)
        for each in self.instances:
            for relay in each.relays():
                await relay.stop()
        for each in servers:
            each.close()
        self.ledger.counts["judged in touch"] = self.ledger.versions.judged

    async def until_ready(self, timeout_s=15):
        end = self.now() + timeout_s
        while len(self.rotation) < len(self.instances):
            if self.now() > end:
                return self.ledger.record_violation(
                    "instances become ready again",
                    f"{len(self.rotation)} are")
            await asyncio.sleep(.1)

    def served(self):
        return self.ledger.counts.get("search 200", 0)

    async def check_recovery(self):
        """Checks that requests are served after all faults have ended."""
        await asyncio.sleep(2)
        served = self.served()
        await asyncio.sleep(2)
        if self.served() - served < 20:
            self.ledger.record_violation(
                "requests are served after the faults", "too few answers")
