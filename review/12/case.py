"""A zone is evacuated in the moment in which the store is back from a copy."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from tier import (BOUNDS, Instance, Searcher, configuration, route,  # noqa: E402
                  run_case)

EVACUATION_S = BOUNDS["evacuation_ms"] / 1000
MAX_STRETCH_S = BOUNDS["max_stretch_ms"] / 1000
AWAY_S = 0.5
COPY_AGE_S = 8.0
WATCHED_S = 8.0  # how long requests are sent after the bound
ZONES = ["kigali-a", "huye-a", "musanze-a"]
EVACUATED = ZONES[0]


async def play(tier):
    await tier.store.start()
    for zone in ZONES[:2]:
        for number in (1, 2):
            searcher = await tier.add_searcher(
                Searcher(tier, f"i-{zone}-{number}", "archive", zone))
            await searcher.report()
    state = configuration(10, [route("r-main", "/main/", "archive")],
                          ["archive"])
    await tier.store.write("operator", "config", "main", state)
    tier.instances = [Instance(tier, f"front-{zone}-1", zone)
                      for zone in ZONES]
    for each in tier.instances:
        await each.start()
    for each in tier.instances:
        await each.wait_ready()
    await asyncio.sleep(5)

    copy_revision = tier.store.revision
    copied = tier.record.now()
    tier.record.write("copy", revision=copy_revision)
    restarted = tier.instances[2]  # planned work
    await restarted.stop()
    await restarted.start()
    await restarted.wait_ready()
    await asyncio.sleep(copied + COPY_AGE_S - tier.record.now())
    added = [await tier.add_searcher(
        Searcher(tier, f"i-added-{n}", "archive", ZONES[2]))
             for n in range(3)]
    if tier.trouble:
        await tier.store.restore(copy_revision, AWAY_S)
    # The operator and the new searchers have waited for the store.
    await tier.store.write("operator", "evacuations", EVACUATED, {})
    acked = tier.record.now()
    tier.record.write("ack", evacuated=EVACUATED)
    for each in added:
        await each.report()

    bound = acked + MAX_STRETCH_S + EVACUATION_S
    late = {}
    while tier.record.now() < bound + WATCHED_S:
        for each in tier.instances:
            attempt, sent, _ = await tier.client.ask(each, "/main/a")
            if sent > bound:
                late[attempt] = (each.name, sent - acked)
        await asyncio.sleep(0.1)
    broken = []
    for searcher in tier.searchers:
        if searcher.zone != EVACUATED:
            continue
        broken += [f"request {attempt} was sent to {late[attempt][0]} "
                   f"{late[attempt][1]:.1f} s after the ack of the evacuation "
                   f"of {EVACUATED} and reached {searcher.id} there"
                   for attempt, _ in searcher.runs if attempt in late]
    return broken


run_case(play, HERE)
