"""A fault of the store: it comes back from a copy that lacks the latest writes."""

import asyncio

from .store import OUTAGES

# Instances enter themselves again by then.
ENTERED_TIMEOUT_S = 4.0
MAX_AWAY_S = 1.5
MAX_COPY_AGE_S = 8.0
MAX_REWRITE_S = 1.5
SETTLED_S = 7.0


class Restores:
    """A mixin of Soak, whose state the fault changes."""

    async def restore_store(self):
        """The store is away for a moment and comes back from a copy. What was
        not ours is written again, at once or a little later. Checks that the
        instances enter themselves again."""
        if self.store.outage:
            return
        self.store.outage = self.random.choice(OUTAGES)
        await asyncio.sleep(self.random.uniform(.1, MAX_AWAY_S))
        await self.store.load_copy(self.random.uniform(.5, MAX_COPY_AGE_S))
        rewrite_s = self.random.choice(
            [0, self.random.uniform(.1, MAX_REWRITE_S)])
        if rewrite_s == 0:
            await self.store.write_again(0)
        self.store.outage = None
        self.store_available_since = self.now()
        if rewrite_s > 0:
            await self.store.write_again(rewrite_s)
            self.store_available_since = self.now()
        await self.check_entered(self.store.era)

    async def restore_in_series(self):
        """The store is away several times, and back only until an instance
        watches again; then the configuration changes in calm."""
        if self.store.outage or not self.store_is_stable():
            return
        for self.store.outage in ["busy", "busy", "busy", "silent"]:
            await asyncio.sleep(self.random.uniform(.2, .4))
            await self.store.load_copy(self.random.uniform(.5, 2))
            await self.store.write_again(0)
            self.store.outage = None
            self.store_available_since = self.now()
            try:
                await asyncio.wait_for(self.store.watch_begun("evacuations"),
                                       1)
            except asyncio.TimeoutError:
                pass
        await self.publish()
        await asyncio.sleep(SETTLED_S)

    async def check_entered(self, era):
        began = self.now()
        await asyncio.sleep(ENTERED_TIMEOUT_S)
        elapsed_s = self.now() - began
        if self.store.era != era or self.store_available_since > began:
            return
        for each in self.instances:
            if not each.undisturbed_for(elapsed_s + ENTERED_TIMEOUT_S):
                continue
            if ("entries", each.name) not in self.store.objects:
                self.ledger.record_violation(
                    "an instance enters a restored store again"
                    + each.lifetime.by_program(), each.name)
