"""A run with planned stops only, while callers keep their connections open.

Instances get SIGTERM alone, in series and several of a data centre at once.
Upstreams work as long as the users' do; on some days they use up the timeout
of a route, are short of room or slow. On some days the configuration changes
all the while, or the store is out during the stops. Every request must get its
answer.
"""

import asyncio
import math
import random

from .balancer import Balancer
from .calls import Caller
from .instance import SHUTDOWN_TIMEOUT_S, ZONES
from .losses import Losses
from .soak import Soak
from .store import OUTAGES

BUSY_CALLERS = 24
IDLE_CALLERS = 24          # for each planned stop
NEWCOMERS_PER_S = 20
IDLE_TIMEOUT_S = 15.0
LONGEST_IDLE_S = .8 * IDLE_TIMEOUT_S
LONGEST_LEAD_S = LONGEST_IDLE_S - SHUTDOWN_TIMEOUT_S
TIME_BUDGETS_S = [1.2, 2.0, 5.0, 15.0]
ROUTE_TIMEOUTS_S = [5.0, 5.0, 1.1]
MEAN_WORK_S = .22
WORK_SPREAD = .5
LONGEST_WORK_S = 1.3
LONG_SHARES = [0, .25]     # of the work that takes longest
SLOTS = [2, 4, 16]
QUEUE = 16
SPEEDS = [.8, 1.0, 1.3]
SLOWDOWNS = [1, 1, 1, 8]   # of some upstreams, a disturbance
SLOW_SHARE = .25
PAUSE_S = .25
PAUSE_SHARE = .04
PLANS = ["alone", "series", "overlapping", "most", "all"]
KINDS = ["search", "search", "pull", "pull", "book", "once"]


class Stops(Soak):
    def __init__(self, arguments):
        super().__init__(arguments)
        # The stops of a seed are the same in each run, whatever callers do.
        self.plan_random = random.Random(arguments.seed)
        self.route_timeout_s = self.plan_random.choice(ROUTE_TIMEOUTS_S)
        self.slots = self.plan_random.choice(SLOTS)
        self.slowdown = self.plan_random.choice(SLOWDOWNS)
        self.long_share = self.plan_random.choice(LONG_SHARES)
        self.shard_count = 4
        self.changing = arguments.seed % 5 in (1, 3)
        self.store_out = arguments.seed % 5 == 4
        self.recovering = False
        self.balancer = None
        self.stops = 0
        self.longest_stop_s = 0.0
        self.extra_callers = []

    def searcher_traits(self, service):
        speed = self.random.choice(SPEEDS)
        slow = self.random.random() < SLOW_SHARE

        def work_s():
            factor = self.slowdown if slow and not self.recovering else 1
            return factor * speed * self.work_s()

        return {"slots": self.slots if service == "archive" else max(SLOTS),
                "queue": QUEUE, "work_s": work_s}

    def served(self):
        return sum(n for event, n in self.ledger.counts.items()
                   if event.endswith(" 200"))

    def work_s(self):
        if self.random.random() < self.long_share:
            return LONGEST_WORK_S
        pause_s = 0
        if self.random.random() < PAUSE_SHARE:
            pause_s = self.random.uniform(0, PAUSE_S)
        drawn = self.random.gauss(0, WORK_SPREAD) - WORK_SPREAD ** 2 / 2
        return pause_s + min(LONGEST_WORK_S, MEAN_WORK_S * math.exp(drawn))

    async def poll_readiness(self):
        self.balancer = Balancer(self.instances, self.random)
        while not self.finished:
            await self.balancer.poll()
            self.rotation = self.balancer.rotation()
            await asyncio.sleep(1 if self.rotation else .1)

    def new_caller(self, zone=None):
        return Caller(self.balancer, self.ledger,
                      zone or self.random.choice(ZONES), self.random,
                      self.new_attempt)

    async def request(self, caller, connection=None):
        return await caller.request(connection, self.random.choice(KINDS),
                                    self.random.choice(TIME_BUDGETS_S))

    def start_callers(self):
        tasks = [self.busy(self.random.random() * .5)
                 for _ in range(BUSY_CALLERS)]
        return [asyncio.create_task(each)
                for each in [*tasks, self.newcomers()]]

    async def busy(self, pause_s):
        caller, connection = self.new_caller(), None
        while not self.finished:
            if connection is not None and connection.ended():
                connection.writer.close()
                connection = None
            connection = await self.request(caller, connection)
            await asyncio.sleep(self.random.uniform(0, pause_s))
        if connection is not None:
            connection.writer.close()

    async def newcomers(self):
        while not self.finished:
            self.extra_callers.append(asyncio.create_task(self.newcomer()))
            await asyncio.sleep(self.random.expovariate(NEWCOMERS_PER_S))
        await asyncio.gather(*self.extra_callers)

    async def newcomer(self):
        connection = await self.request(self.new_caller())
        if connection is not None:
            connection.writer.close()

    async def idle(self, victim, connect_s, send_s, closing):
        """Is served once, keeps the connection and sends on it at `send_s`, or
        as soon as other connections of the instance are closed."""
        await self.sleep_until(connect_s)
        caller = self.new_caller(victim.zone)
        connection = await caller.connect(victim)
        if connection is None:
            return
        _, is_open = await caller.send(connection, self.random.choice(KINDS),
                                       max(TIME_BUDGETS_S))
        if is_open:
            await self.wait_idle(connection, send_s, closing)
        if connection.ended() or not is_open:
            closing.set()
            connection.writer.close()
            connection = None
        connection = await self.request(caller, connection)
        if connection is not None:
            connection.writer.close()

    async def wait_idle(self, connection, send_s, closing):
        racing = self.random.random() < .3
        while self.now() < send_s and not connection.ended():
            if racing and closing.is_set():
                return
            await asyncio.sleep(.002 if racing else .02)

    async def sleep_until(self, time_s):
        await asyncio.sleep(max(0.0, time_s - self.now()))

    async def stop(self, victim, term_s):
        """Stops an instance at `term_s`, after callers have gathered."""
        now = self.now()
        lead_s = min(term_s - now, LONGEST_LEAD_S)
        closing = asyncio.Event()
        for _ in range(IDLE_CALLERS):
            connect_s = term_s - self.random.uniform(0, lead_s)
            send_s = term_s + self.random.uniform(-.1, SHUTDOWN_TIMEOUT_S)
            self.extra_callers.append(asyncio.create_task(
                self.idle(victim, connect_s, send_s, closing)))
        await self.sleep_until(term_s)
        self.stops += 1
        lifetime = victim.lifetime
        if not await victim.stop():
            self.ledger.record_violation("a shutdown ends within its timeout",
                                         victim.name)
        self.longest_stop_s = max(self.longest_stop_s,
                                  self.now() - lifetime.term_s)

    def plan(self):
        """Returns the instances of the next stops and the pauses between."""
        zone = self.plan_random.choice(ZONES)
        near = [each for each in self.instances if each.zone == zone]
        form = self.plan_random.choice(PLANS)
        if form == "alone":
            return [self.plan_random.choice(self.instances)], 0
        if form == "series":
            victims = self.plan_random.sample(self.instances, 2)
            return victims, SHUTDOWN_TIMEOUT_S + self.plan_random.uniform(0, 1)
        if form == "all":
            victims = self.plan_random.sample(self.instances,
                                              len(self.instances))
            return victims, self.plan_random.uniform(.8, 2.5)
        victims = self.plan_random.sample(near, len(near) // 2 + 1)
        if form == "most":
            victims += self.plan_random.sample(
                [each for each in self.instances if each.zone != zone], 1)
        return victims, self.plan_random.uniform(0, 3)

    async def change_often(self):
        while not self.recovering:
            for _ in range(self.random.choice([1, 1, 20])):
                await self.publish()
                await asyncio.sleep(.03)
            await asyncio.sleep(self.random.uniform(.5, 3))

    async def faults(self):
        changes = asyncio.gather(
            *([self.change_often()] if self.changing else []))
        await self.stop_in_waves()
        self.recovering = True
        await changes

    async def stop_in_waves(self):
        end = self.now() + self.seconds
        while self.now() < end:
            victims, pause_s = self.plan()
            first_s = self.now() + self.plan_random.uniform(.5, LONGEST_LEAD_S)
            if self.store_out:
                self.store.outage = self.random.choice(OUTAGES)
            await asyncio.gather(*(
                self.stop(each, first_s + i * pause_s)
                for i, each in enumerate(victims)))
            self.store.outage = None
            await self.until_ready()

    async def run(self):
        await super().run()
        Losses(self.ledger, self.route_timeout_s,
               self.slowdown == 1 and not self.store_out).report()
        print(f"{self.stops} stops, longest {self.longest_stop_s:.2f} s, "
              f"route timeout {self.route_timeout_s} s, "
              f"{self.slots} slots, slowdown {self.slowdown}, "
              f"long share {self.long_share}"
              + ", changes" * self.changing
              + ", store out" * self.store_out)
