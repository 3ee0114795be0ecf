"""Cases in which an instance learns late that an upstream leaves, because its
open connections to the store have gone silent."""

import asyncio
import signal

from .case_tier import DRAIN_TIMEOUT_S, ObedientSearcher, outcome
from .faults import STABLE_WINDOW_S
from .ports import free_port

REQUEST_INTERVAL_S = 0.05
# Until after the drain time, had it begun only with the late news.
WATCHED_S = 7.0
# Long enough for the answer to tell that the store had no news before.
HELD_WATCH_S = 0.4
HELD_UP_S = 1.2
REPORT_INTERVAL_S = 1.2


class LeavingSearcher(ObedientSearcher):
    """Keeps the times at which requests arrive."""

    def __init__(self, *arguments, **settings):
        super().__init__(*arguments, **settings)
        self.arrivals = []

    async def exchange(self, message, writer):
        self.arrivals.append(asyncio.get_running_loop().time())
        return await super().exchange(message, writer)


async def press(tier):
    """Sends requests at a steady rate until cancelled."""
    async def one():
        reader, writer = await tier.connect()
        writer.write(tier.request(route="book", method="POST", body=b"one",
                                  budget_ms=500))
        await outcome(reader)
        writer.close()

    async with asyncio.TaskGroup() as callers:
        while True:
            callers.create_task(one())
            await asyncio.sleep(REQUEST_INTERVAL_S)


async def start_with_leaving(tier):
    """Starts the tier with another upstream of its service, which is to leave
    and has not written its entry yet."""
    await tier.start()
    leaving = LeavingSearcher("i-leaving", "archive", "kigali", free_port(), 0,
                              tier.ledger, slots=200)
    await leaving.start()
    return leaving


async def late_news(tier, leave):
    """The only upstream of a service that still serves leaves while the open
    connections to the store are silent. It gets nothing once its drain time
    is over and the instance is in touch with the store again."""
    leaving = await start_with_leaving(tier)
    await tier.store.put("servers", leaving.id, leaving.entry())
    callers = asyncio.create_task(press(tier))
    await asyncio.sleep(1.0)
    await tier.searchers["archive"].crash()
    await tier.store.watch_begun("servers")
    silent_s = tier.now()
    tier.instance.store_relay.silence()
    await leave(tier.store, leaving)
    acked_s = tier.now()
    await asyncio.sleep(WATCHED_S)
    callers.cancel()
    used = [each for each in leaving.arrivals if each > silent_s]
    end_s = max(acked_s + DRAIN_TIMEOUT_S, silent_s + STABLE_WINDOW_S)
    late = [round(each - acked_s, 2) for each in used if each > end_s]
    return bool(used) and not late, f"{len(used)} arrivals, late: {late}"


async def silent_store_hides_draining(tier):
    async def drain(store, searcher):
        await store.put("servers", searcher.id, searcher.entry("draining"))
    return await late_news(tier, drain)


async def silent_store_hides_removal(tier):
    async def remove(store, searcher):
        await store.delete("servers", searcher.id)
    return await late_news(tier, remove)


async def late_report_of_the_process_before(tier):
    """The only upstream of a service has started again under its id, and it
    drains. The store executes a report of the process before it late, until
    the next report of the new one."""
    leaving = await start_with_leaving(tier)
    await tier.searchers["archive"].crash()
    before = leaving.entry()
    await tier.store.put("servers", leaving.id, before)
    leaving.born += 5000
    leaving.sequence = 0
    await tier.store.put("servers", leaving.id, leaving.entry())
    callers = asyncio.create_task(press(tier))
    await asyncio.sleep(1.0)
    acked_s = tier.now()
    while tier.now() < acked_s + DRAIN_TIMEOUT_S:
        await tier.store.put("servers", leaving.id, leaving.entry("draining"))
        await asyncio.sleep(REPORT_INTERVAL_S)
    before["sequence"] += 1
    await tier.store.put("servers", leaving.id, before)
    await asyncio.sleep(REPORT_INTERVAL_S)
    await tier.store.put("servers", leaving.id, leaving.entry("draining"))
    callers.cancel()
    late = [round(each - acked_s, 2) for each in leaving.arrivals
            if each > acked_s + DRAIN_TIMEOUT_S]
    return bool(leaving.arrivals) and not late, (
        f"{len(leaving.arrivals)} arrivals, {len(late)} late: {late[:5]}")


async def held_up_while_draining_is_acknowledged(tier):
    """The answer that tells of a draining waits for a process that is held up.
    The drain time began when the store gave it, not when it is read."""
    leaving = await start_with_leaving(tier)
    await tier.store.put("servers", leaving.id, leaving.entry())
    callers = asyncio.create_task(press(tier))
    await asyncio.sleep(1.0)
    await tier.searchers["archive"].crash()
    await tier.store.watch_begun("servers")
    await asyncio.sleep(HELD_WATCH_S)
    tier.instance.signal(signal.SIGSTOP)
    await asyncio.sleep(.02)
    await tier.store.put("servers", leaving.id, leaving.entry("draining"))
    acked_s = tier.now()
    await asyncio.sleep(HELD_UP_S)
    tier.instance.signal(signal.SIGCONT)
    await asyncio.sleep(acked_s + WATCHED_S - tier.now())
    callers.cancel()
    late = [round(each - acked_s, 2) for each in leaving.arrivals
            if each > acked_s + DRAIN_TIMEOUT_S]
    return bool(leaving.arrivals) and not late, (
        f"{len(leaving.arrivals)} arrivals, late: {late}")


DRAIN_CASES = [silent_store_hides_draining, silent_store_hides_removal,
               late_report_of_the_process_before,
               held_up_while_draining_is_acknowledged]
