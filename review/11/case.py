"""The store comes back from a copy, then the operator changes a route."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from tier import (BOUNDS, Instance, Searcher, configuration, route,  # noqa: E402
                  run_case)

CONFIG_APPLY_S = BOUNDS["config_apply_ms"] / 1000
STABLE_S = BOUNDS["stable_window_ms"] / 1000
AWAY_S = 0.5
COPY_AGE_S = 8.0
WATCHED_S = 10.0  # how long requests are sent after the bound
SERVICES = ["first", "second"]


def state(version, service):
    return configuration(version, [route("r-main", "/main/", service)],
                         SERVICES)


async def restart(instance):
    """Planned work: a rolling restart of one machine."""
    await instance.stop()
    await instance.start()
    await instance.wait_ready()


async def play(tier):
    await tier.store.start()
    for service in SERVICES:
        for zone in ("kigali-a", "huye-a"):
            searcher = await tier.add_searcher(
                Searcher(tier, f"i-{service}-{zone}", service, zone))
            await searcher.report()
    await tier.store.write("operator", "config", "main", state(10, "first"))
    tier.instances = [Instance(tier, f"front-{zone}-1", zone)
                      for zone in ("kigali-a", "huye-a", "musanze-a")]
    for each in tier.instances:
        await each.start()
    for each in tier.instances:
        await each.wait_ready()
    await asyncio.sleep(5)

    copy_revision = tier.store.revision
    copied = tier.record.now()
    tier.record.write("copy", revision=copy_revision)
    await restart(tier.instances[2])
    await asyncio.sleep(copied + COPY_AGE_S - tier.record.now())
    if tier.trouble:
        await tier.store.restore(copy_revision, AWAY_S)
    # The store is stable again, and calm machines are in touch.
    await asyncio.sleep(STABLE_S + 2)
    before = [await tier.client.ask(each, "/main/a") for each in tier.instances]
    if any(answer is None or answer.status != 200 for _, _, answer in before):
        return ["a machine does not serve before the change"]

    await tier.store.write("operator", "config", "main", state(14, "second"))
    acked = tier.record.now()
    tier.record.write("ack", version=14)
    late = {}
    while tier.record.now() < acked + CONFIG_APPLY_S + WATCHED_S:
        for each in tier.instances:
            attempt, sent, _ = await tier.client.ask(each, "/main/a")
            if sent > acked + CONFIG_APPLY_S:
                late[attempt] = (each.name, sent - acked)
        await asyncio.sleep(0.2)
    old = [s for s in tier.searchers if s.service == "first"]
    ran_old = {attempt for s in old for attempt, _ in s.runs}
    return [f"request {attempt} was sent to {name} {after:.1f} s after the "
            f"ack of version 14 and was run by the old service"
            for attempt, (name, after) in late.items() if attempt in ran_old]


run_case(play, HERE)
