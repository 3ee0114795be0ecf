"""Cases in which the store comes back from a copy, or instances from a cut, and
the users change something (issues 47 and 50). `--build` may name the build of
another commit, whose program then plays the same cases.
"""

import asyncio
import os
import tempfile

from .faults import CLOSE_TIMEOUT_S, STABLE_WINDOW_S
from .follower_cases import CONFIGURATION_BYTES
from .ledger import Ledger
from .restore_tier import (JUDGED, MOVED, REMOVED, UNJUDGED,
                           RestoreTier)
from .restores import MAX_REWRITE_S
from .soak import DRAIN_TIMEOUTS_S

CHANGES = 3  # what RestoreTier.change() writes
EARLY_S = 0.2
CUT_S = 2.0
# They and the changed one are above the 8 MB that are read of an answer.
MISSED_CONFIGURATIONS = 10
CASES_AT_ONCE = 3
CASE_TIMEOUT_S = 60.0


async def calm(tier, place):
    """The changes come once all instances are in touch again. Their revisions
    are below the one that instances know from before, end at it or are
    above."""
    known = await tier.lose()
    await tier.come_back(tier.draws.uniform(.1, MAX_REWRITE_S))
    await asyncio.sleep(STABLE_WINDOW_S + EARLY_S)
    if place == "at":
        await tier.fill(known - CHANGES)
    elif place == "above":
        await tier.fill(known + CHANGES)
    await tier.change()
    return known


async def early(tier, place):
    """The changes come as soon as the store is back. With `above`, the revision
    passes the known one before an instance has called again. CONFIG and DENIED
    are judged from STABLE_WINDOW_S after the return on. DRAIN counts acks of a
    stable store only, so its figures are shown and not judged."""
    known = await tier.lose()
    if place == "above":
        await tier.store.write_again(0)
        await tier.change()
        await tier.fill(known + CHANGES)
        await tier.come_back(0)
    else:
        await tier.come_back(0)
        await asyncio.sleep(EARLY_S)
        await tier.change()
    return known


async def again(tier, _):
    """The changes come before the store is away, are not in the copy, and are
    written again after the return. Their first acks count for all rules."""
    known = await tier.lose(tier.change)
    await tier.come_back(tier.draws.uniform(.1, MAX_REWRITE_S))
    return known


async def missed(tier, _):
    """The store holds, but all instances are cut off from it at once and miss
    more large configurations than they read of one answer (review/8)."""
    known = tier.store.revision
    for each in tier.instances:
        each.store_relay.cut_off(["there", "back"])
    for version in range(3, 3 + MISSED_CONFIGURATIONS):
        await tier.configure(version, {"pull": "archive", MOVED: "old",
                                       REMOVED: "old"}, CONFIGURATION_BYTES)
    await tier.change()
    await asyncio.sleep(CUT_S)
    for each in tier.instances:
        each.store_relay.restore()
    tier.back_s = tier.now()
    return known


VARIANTS = [(calm, "below"), (calm, "at"), (calm, "above"), (early, "below"),
            (early, "above"), (again, "below")]
# Run by name only.
SINGLE_VARIANTS = [(missed, "large")]


def name_of(variant, drain_timeout_s):
    when, place = variant
    return f"{when.__name__}_{place}_{drain_timeout_s:.0f}s"


class RestoreCases:
    """Runs the case that is named, or each variant with one of the bounds; the
    seed chooses the first, and they alternate."""

    def __init__(self, arguments):
        self.build = arguments.build
        self.seed = arguments.seed
        self.case = arguments.case
        self.folder = arguments.folder or tempfile.mkdtemp(prefix="restores-")
        os.makedirs(self.folder, exist_ok=True)
        self.ledger = Ledger(DRAIN_TIMEOUTS_S[0], CLOSE_TIMEOUT_S, {},
                             lambda *_: False)
        self.free = asyncio.Semaphore(CASES_AT_ONCE)

    @staticmethod
    def names():
        return [name_of(variant, bound)
                for variant in VARIANTS + SINGLE_VARIANTS
                for bound in DRAIN_TIMEOUTS_S]

    async def run(self):
        chosen = [(variant, bound)
                  for variant in VARIANTS + SINGLE_VARIANTS
                  for bound in DRAIN_TIMEOUTS_S
                  if self.case == name_of(variant, bound)]
        if self.case is None:
            chosen = [(variant, DRAIN_TIMEOUTS_S[(i + self.seed) % 2])
                      for i, variant in enumerate(VARIANTS)]
        await asyncio.gather(*(self.run_case(*each) for each in chosen))

    async def run_case(self, variant, bound):
        (when, place), name = variant, name_of(variant, bound)
        tier = RestoreTier(name, self, bound)
        async with self.free:
            try:
                async with asyncio.timeout(CASE_TIMEOUT_S):
                    await tier.start()
                    known = await when(tier, place)
                    await tier.watch_to_the_end()
                    broken, judged = tier.judge()
            except (OSError, asyncio.TimeoutError) as failed:
                return self.ledger.record_violation(name, repr(failed))
            finally:
                await tier.end()
        text = (f"{name}: broken {broken}, judged {dict(judged)}, revision "
                f"{known} known, {tier.store.revision} at the end")
        print(text)
        vacuous = [each for each in JUDGED if not judged[each]]
        failed = vacuous or [each for each in broken
                             if not each.endswith(UNJUDGED)]
        self.ledger.count("broken" if failed else "kept")
        if failed:
            self.ledger.record_violation(
                name, f"callers saw {broken}, nothing judged of {vacuous}")
