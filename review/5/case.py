"""A searcher that drains while it is cold, beside one that pauses."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import tier as t  # noqa: E402

SHARDS = 20
WARMUP_S = 3.0       # warmup_s of the service
PAUSE_S = 0.25       # pauses of the shards
PAUSE_EVERY_S = 6.0
SERVES_ON_S = 6.0    # after drain_ms: "at times many seconds"
RUN_S = 14.0


async def pauses(tier, searchers):
    """Each searcher pauses at its own time."""
    async def pause(each):
        await asyncio.sleep(tier.random.uniform(0, PAUSE_EVERY_S))
        while True:
            each.paused_until = asyncio.get_running_loop().time() + PAUSE_S
            await asyncio.sleep(PAUSE_EVERY_S)
    await asyncio.gather(*(pause(each) for each in searchers))


async def scenario(tier, trouble):
    loop = asyncio.get_running_loop()
    names = [f"shop-answers-{i}" for i in range(SHARDS)]

    async def add(identity, name, zone, **more):
        each = await tier.add_searcher(identity, name, zone, slots=3, queue=18,
                                       **more)
        each.paused_until = 0.0
        each.work_s = lambda attempt: (
            tier.random.uniform(.004, .02)
            + max(0.0, each.paused_until - loop.time()))
        return each

    for i, name in enumerate(names):
        for zone in ("kigali-a", "huye-a"):
            await add(f"i-{i}-{zone}", name, zone)
    await tier.publish(1, [t.route(
        "search", fanout_services=names, top_k=50, min_shard_share=.89,
        timeout_ms=1200, target_latency_ms=200, priority=1)], names, 31)
    await tier.start_instances(["kigali-a", "huye-a", "musanze-a"])
    pausing = asyncio.create_task(pauses(tier, list(tier.searchers)))
    finished = False
    number = 0

    async def caller(instance):
        nonlocal number
        client = t.Client(tier, instance)
        while not finished:
            number += 1
            await client.send(f"q{number:06d}", "/search/x", 1200)
            await asyncio.sleep(tier.random.uniform(.05, .15))
        client.close()

    callers = [asyncio.create_task(caller(tier.instances[i % 3]))
               for i in range(9)]
    await asyncio.sleep(t.STABLE_WINDOW_S + .5)

    # Planned work: some searchers are emptied and taken away.
    leaving = tier.searchers[:6:2]
    acknowledged = {}
    for each in leaving:
        if trouble:
            each.warm_at = loop.time() + WARMUP_S  # became cold again
            await each.report()
        acknowledged[each.id] = await each.drain()
    await asyncio.sleep(t.DRAIN_S + SERVES_ON_S)
    for each in leaving:
        await each.stop()
        await tier.store.delete("servers", each.id)
    await asyncio.sleep(1)
    finished = True
    await asyncio.gather(*callers)
    pausing.cancel()

    violations = []
    for each in leaving:
        late = [(at, attempt) for at, attempt in each.arrivals
                if at > acknowledged[each.id] + t.DRAIN_S]
        for at, attempt in late:
            violations.append(
                f"DRAIN {attempt} reached {each.id} "
                f"{at - acknowledged[each.id]:.2f} s after the ack")
    return violations


t.run_case(FOLDER, scenario)
