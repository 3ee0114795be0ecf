"""A caller is told that a booking has not run, and it has."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-2"))

from tier2 import Searcher, answer, main, read_message  # noqa: E402

MACHINES = 3
SLOTS = 2
QUEUE = 2
WORK_S = 0.012
# A little more than the searcher can do, so that it sheds some requests.
REQUEST_GAP_S = 1 / 180
REQUESTS = 8000
SEND_S = 70.0  # at most
EXTRA_SHARE = 0.04  # of the answers that come a second time
SEED = 7


class RepeatingSearcher(Searcher):
    """Sends some answers a second time, late: at the point where the answer to
    the next request on the connection is expected."""

    def __init__(self, *arguments, **settings):
        super().__init__(*arguments, **settings)
        self.random = random.Random(SEED)

    async def connection(self, reader, writer):
        extra = None
        try:
            while (message := await read_message(reader)) is not None:
                if extra is not None:
                    self.tier.record(f"extra    {extra[0]} once more, before "
                                     f"the answer to "
                                     f"{message.get('papayaglade-attempt-id')}")
                    writer.write(extra[1])
                    extra = None
                reply = await self.exchange(message)
                writer.write(reply)
                await writer.drain()
                if self.tier.trouble and self.random.random() < EXTRA_SHARE:
                    extra = message.get("papayaglade-attempt-id"), reply
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def exchange(self, message):
        attempt = message.get("papayaglade-attempt-id")
        if self.in_flight >= self.slots + self.queue:
            self.tier.record(f"shed     {attempt}")
            return answer(503, fields=[("Papayaglade-Not-Executed", "1"),
                                       ("Papayaglade-Attempt-Id", attempt)])
        return await super().exchange(message)


async def case(tier):
    searcher = RepeatingSearcher(tier, "i-1", "desk", slots=SLOTS,
                                 work_s=WORK_S)
    searcher.queue = QUEUE
    await searcher.start()
    await tier.configure(2, [{"name": "r-book", "path_prefix": "/book/",
                              "type": "non_idempotent", "service": "desk"}],
                         ["desk"])
    entries = [await tier.add_entry(f"front-{i + 1}") for i in range(MACHINES)]
    for each in entries:
        await each.wait_until_ready()
    await asyncio.sleep(5)
    seen = {}

    async def book(entry, attempt):
        seen[attempt] = await tier.request(entry, attempt, "/book/x", "POST",
                                           body=b"one booking")

    began = tier.record.now()
    for i in range(REQUESTS):
        if tier.record.now() > began + SEND_S:
            break
        tier.spawn(book(entries[i % MACHINES], f"a-{i}"))
        await asyncio.sleep(max(
            0, began + (i + 1) * REQUEST_GAP_S - tier.record.now()))
    await asyncio.sleep(6)

    runs = [attempt for _, attempt, _, _ in searcher.runs]
    promised = [a for a, status in seen.items() if status in (408, 421, 429,
                                                               503)]
    false = [a for a in promised if a in runs]
    twice = sorted({a for a in runs if runs.count(a) > 1})
    tier.record(f"{len(seen)} requests, {len(promised)} were answered with a "
                f"promise that they have not run, {len(false)} of these ran")
    faults = []
    if false:
        faults.append(f"REFUSED: {len(false)} of {len(promised)} requests that "
                      f"were answered 503 have run: {false}")
    if twice:
        faults.append(f"TWICE: {len(twice)} requests ran more than once: "
                      f"{twice}")
    return faults


if __name__ == "__main__":
    sys.exit(main(__file__, case))
