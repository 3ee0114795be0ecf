"""A planned stop while some clients keep connections open."""

import asyncio
import math
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import tier as t  # noqa: E402

BUSY_CLIENTS = 6
IDLE_CLIENTS = 16
FIRST_S = 3.1       # of the requests of idle clients, after the SIGTERM
LAST_S = 4.47
TIME_BUDGET_MS = 5000
# work_ms of archive-permit-pull
MEAN_WORK_S = 0.22
SPREAD = 0.5
LONGEST_WORK_S = 1.3


def work_s(attempt):
    """The work of a request, the same at every searcher."""
    if attempt.startswith("long"):
        return LONGEST_WORK_S
    drawn = random.Random(attempt).gauss(0, SPREAD)
    return min(LONGEST_WORK_S,
               MEAN_WORK_S * math.exp(drawn - SPREAD * SPREAD / 2))


async def scenario(tier, trouble):
    record = tier.record
    for i in range(9):
        await tier.add_searcher(f"i-archive-{i}", "coop-archive",
                                ["kigali-a", "huye-a", "musanze-a"][i % 3],
                                work_s=work_s)
    await tier.publish(1, [t.route("pull", service="coop-archive")],
                       ["coop-archive"])
    await tier.start_instances(["kigali-a", "huye-a", "musanze-a"])
    stopped = tier.instances[0]
    stopping = False

    async def busy(i):
        client, number = t.Client(tier, stopped), 0
        while not stopping:
            number += 1
            await client.send(f"busy-{i}-{number}", "/pull/x", TIME_BUDGET_MS)
            await asyncio.sleep(tier.random.uniform(.1, .3))
        client.close()

    busy_clients = [asyncio.create_task(busy(i)) for i in range(BUSY_CLIENTS)]
    # These were served once and keep their connections, idle for less than
    # four fifths of idle_timeout_ms.
    idle_clients = [t.Client(tier, stopped) for _ in range(IDLE_CLIENTS)]
    for i, client in enumerate(idle_clients):
        await client.send(f"first-{i}", "/pull/x", TIME_BUDGET_MS)
    await asyncio.sleep(t.STABLE_WINDOW_S + .5)

    start = record.now()
    if trouble:
        stopped.signal(signal.SIGTERM)
    stopping = True

    async def later(i, client):
        await asyncio.sleep(
            FIRST_S + (LAST_S - FIRST_S) * i / (IDLE_CLIENTS - 1))
        if client.streams is None or client.streams[0].at_eof():
            record.write("connection_was_closed", client=i)
            return None
        sent = record.now()
        attempt = f"long-{i}"
        message = await client.send(attempt, "/pull/x", TIME_BUDGET_MS)
        return attempt, sent, record.now(), message

    results = await asyncio.gather(*(later(i, c)
                                     for i, c in enumerate(idle_clients)))
    await asyncio.gather(*busy_clients)
    code = await stopped.process.wait() if trouble else None
    record.write("process_exited", instance=stopped.name, exit=code,
                 after_s=f"{record.now() - start:.2f}")
    ran = {attempt for each in tier.searchers for _, attempt in each.runs}
    violations = []
    for attempt, sent, ended, message in filter(None, results):
        # Passed on to a searcher, and the connection ended without an answer
        # within 1 s after grace_s and before the time budget was over.
        if (message is None and attempt in ran
                and ended - start <= t.GRACE_S + 1
                and ended - sent < TIME_BUDGET_MS / 1000):
            violations.append(
                f"LOST {attempt}: sent {sent - start:.2f} s after the SIGTERM,"
                f" run by a searcher, connection ended {ended - sent:.2f} s "
                "later without an answer")
    return violations


t.run_case(FOLDER, scenario)
