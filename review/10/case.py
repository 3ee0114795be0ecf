"""A searcher that drains gets requests too late after a watch went silent."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-2"))

from tier2 import BOUNDS, Searcher, main  # noqa: E402

DRAIN_S = BOUNDS["drain_ms"] / 1000
STABLE_WINDOW_S = 4.0
# The searcher serves on for drain_ms after its report was accepted, and a
# little longer.
SERVES_LONGER_S = 1.6
WATCHED_S = 7.0
SLOTS = 4
WORK_S = 0.16
# Two searchers bear this, one of them does not.
REQUEST_GAP_S = 1 / 38


class LeavingSearcher(Searcher):
    """Ends some time after its report; what it works on then is lost."""

    def __init__(self, *arguments, **settings):
        super().__init__(*arguments, **settings)
        self.working = set()
        self.lost = []

    async def exchange(self, message):
        attempt = message.get("papayaglade-attempt-id")
        self.working.add(attempt)
        try:
            return await super().exchange(message)
        finally:
            self.working.discard(attempt)

    async def end_after(self, delay_s):
        await asyncio.sleep(delay_s)
        begun = {each for _, each, _, _ in self.runs}
        self.lost = sorted(self.working & begun)
        self.tier.record(f"end      {self.id}, at work on {self.lost}")
        self.server.close()
        self.abort_connections()


async def ask(tier, entry, seen):
    count = 0
    while True:
        count += 1
        attempt = f"a-{count}"

        async def one(attempt=attempt):
            seen[attempt] = await tier.request(
                entry, attempt, "/book/x", "POST", body=b"one booking")

        tier.spawn(one())
        await asyncio.sleep(REQUEST_GAP_S)


async def case(tier):
    stays = Searcher(tier, "i-stays", "desk", slots=SLOTS, work_s=WORK_S)
    drains = LeavingSearcher(tier, "i-drains", "desk", slots=SLOTS,
                             work_s=WORK_S)
    await stays.start()
    await drains.start()
    await tier.configure(2, [{"name": "r-book", "path_prefix": "/book/",
                              "type": "non_idempotent", "service": "desk"}],
                         ["desk"])
    entry = await tier.add_entry("front-1")
    await entry.wait_until_ready()
    seen = {}
    asker = tier.spawn(ask(tier, entry, seen))
    await asyncio.sleep(STABLE_WINDOW_S + 1)

    # As a watch on the searchers has just begun.
    await tier.store.watch_begun("servers")
    silent_at = tier.record.now()
    if tier.trouble:
        tier.record("silence  open connections to the store say nothing more")
        entry.store_proxy.silence()
    await asyncio.sleep(0.1)
    await drains.tell("draining")
    acked_at = tier.record.now()
    tier.record("ack      i-drains is draining")
    tier.spawn(drains.end_after(DRAIN_S + SERVES_LONGER_S))
    await asyncio.sleep(silent_at + WATCHED_S - tier.record.now())
    asker.cancel()
    await asyncio.sleep(3)

    # The silence counts as a reset of connections, so that the machine is in
    # touch again one stable window after it.
    judged_from = max(acked_at + DRAIN_S, silent_at + STABLE_WINDOW_S)
    late = [(at, each) for at, each, _, _ in drains.runs if at > judged_from]
    lost = [each for _, each in late if each in drains.lost]
    tier.record(f"i-drains ran {len(drains.runs) - len(late)} requests before "
                f"the bound and {len(late)} after it, {lost} of these never to "
                f"the end; their callers saw {[seen.get(e) for e in lost]}")
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached the draining searcher more "
            f"than drain_ms after its ack from a machine in touch, the last "
            f"one {late[-1][0] - acked_at:.2f} s after it; "
            f"{len(lost)} of these were lost with it"]


if __name__ == "__main__":
    sys.exit(main(__file__, case))
