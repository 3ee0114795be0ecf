"""A soak in which configurations are nearly as large as the store allows and
come in quick succession, while instances are cut off, frozen, stopped and
killed. What an instance has missed must reach it, and no process may exceed the
memory of its machine."""

import asyncio

from .faults import STABLE_WINDOW_S
from .memory_cases import SMALL_MACHINE_MEMORY_MB
from .soak import Soak

PADDING_BYTES = (100_000, 900_000)
# As many as fit one answer of the store.
STORM_CHANGES = (2, 7)
STORM_INTERVAL_S = (0.0, 0.3)
CUT_S = (0.5, 3.0)
MEMORY_CHECK_S = 0.1
FAULTS = ["kill", "freeze", "restart", "outage", "change", "silent_watch",
          "store_link", "control_link", "start_without_store", "reshard"]


class LargeChanges(Soak):
    """Runs the faults that make instances miss configurations."""

    def __init__(self, arguments):
        super().__init__(arguments)
        self.only = None
        self.highest_mb = {}

    def configuration_extras(self):
        return {"padding": "x" * self.random.randint(*PADDING_BYTES)}

    def instance_extras(self):
        return {"memory_mb": SMALL_MACHINE_MEMORY_MB}

    def kinds(self):
        kinds = super().kinds()
        own = [self.storm, self.cut_off]
        return {**{each: kinds[each] for each in FAULTS},
                **{each.__name__: each for each in own}}

    async def storm(self):
        """Changes the configuration in quick succession; the last change must
        be in force in time."""
        for _ in range(self.random.randint(*STORM_CHANGES)):
            await self.publish()
            await asyncio.sleep(self.random.uniform(*STORM_INTERVAL_S))
        await self.change()

    async def cut_off(self):
        """Cuts instances from the store and from those that follow them."""
        count = self.random.randint(1, max(1, len(self.instances) // 3))
        victims = self.random.sample(self.instances, count)
        relays = [relay for each in victims
                  for relay in (each.store_relay, each.control_relay)]
        for each in self.instances:
            each.begin_fault()
        for each in relays:
            each.cut_off(["there", "back"])
        await asyncio.sleep(self.random.uniform(*CUT_S))
        for each in relays:
            each.restore()
        for each in self.instances:
            each.end_fault()

    async def faults(self):
        watch = asyncio.create_task(self.watch_memory())
        await super().faults()
        await asyncio.sleep(STABLE_WINDOW_S)
        # After all faults, in force everywhere.
        await self.change()
        watch.cancel()
        self.ledger.counts["highest MB"] = max(self.highest_mb.values())
        for name, highest_mb in self.highest_mb.items():
            if highest_mb > SMALL_MACHINE_MEMORY_MB:
                self.ledger.record_violation(
                    "an instance keeps within its memory",
                    f"{name} uses {highest_mb} MB")

    async def watch_memory(self):
        while True:
            for each in self.instances:
                used_mb = each.memory_mb()
                self.highest_mb[each.name] = max(
                    self.highest_mb.get(each.name, 0), used_mb)
            await asyncio.sleep(MEMORY_CHECK_S)
