"""The operator of a random soak, who moves, adds and removes routes all the
while, and senders that find out what is in force where."""

import asyncio
import collections
import random

MAIN_SERVICE, OTHER_SERVICE = "archive", "annex"
MOVING = [f"move-{i}" for i in range(3)]
SWITCHED = [f"on-{i}" for i in range(6)]
NEVER = "never"       # a route of no version
KEPT_NAMED = 50       # routes that are named after their version
RECENT = 6
PAUSES_S = [(0, .3), (.3, 2), (.3, 2), (1, 4), (4, 8)]
PROBE_INTERVAL_S = 0.5
CALLERS = 3


class Routes:
    """The routes of the next version that later ones change."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.services = dict.fromkeys(MOVING, MAIN_SERVICE)
        self.named = collections.deque(maxlen=KEPT_NAMED)
        self.recent = collections.deque(maxlen=RECENT)

    def change(self, version):
        """Moves, adds and removes some routes, and adds one for the version."""
        for each in self.random.sample(MOVING + SWITCHED,
                                       self.random.randint(1, 3)):
            if each in SWITCHED and self.services.pop(each, None):
                continue
            self.services[each] = (
                OTHER_SERVICE if self.services.get(each) == MAIN_SERVICE
                else MAIN_SERVICE)
            self.recent.append(each)
        self.named.append(f"v{version}")

    def all(self):
        return {**self.services, **dict.fromkeys(self.named, MAIN_SERVICE)}

    def to_ask_for(self):
        """Returns routes just changed, just added and any."""
        return [self.named[-1],
                self.random.choice([*self.recent, self.named[-1]]),
                self.random.choice([*MOVING, *SWITCHED, *self.named, NEVER])]


class Operator:
    """A mixin of Soak, whose configuration it changes."""

    async def change_all_the_while(self):
        while not self.finished:
            await self.publish()
            low_s, high_s = self.routes.random.choice(PAUSES_S)
            end = self.now() + self.routes.random.uniform(low_s, high_s)
            while self.now() < end and not self.finished:
                await asyncio.sleep(min(.1, end - self.now()))

    async def ask_all_instances(self):
        """Asks each instance in turn, on new connections, for the routes that
        show which version it goes by."""
        asking = {}
        while not self.finished:
            for each in self.instances:
                if each.name not in asking or asking[each.name].done():
                    asking[each.name] = asyncio.create_task(self.ask(each))
                await asyncio.sleep(PROBE_INTERVAL_S / len(self.instances))
        await asyncio.gather(*asking.values())

    async def ask(self, instance):
        connection = None
        for each in self.routes.to_ask_for():
            connection = await self.send_request(instance, each, connection)
        if connection is not None:
            connection[1].close()

    def operator_tasks(self):
        return [self.change_all_the_while(), self.ask_all_instances(),
                *(self.caller(self.routes.random.random(), MOVING)
                  for _ in range(CALLERS))]
