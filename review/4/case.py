"""One answer of the store to a watch is lost."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import tier as t  # noqa: E402

RUN_AFTER_CHANGE_S = 14.0


async def scenario(tier, trouble):
    for service in ("coop-archive", "helpdesk-desk"):
        for i in range(4):
            await tier.add_searcher(f"i-{service}-{i}", service,
                                    ["kigali-a", "huye-a"][i % 2])
    services = ["coop-archive", "helpdesk-desk"]
    await tier.publish(1, [t.route("pull", service="coop-archive")], services)
    await tier.start_instances(["kigali-a", "huye-a", "musanze-a"])
    finished = False
    number = 0
    sent = {}

    async def caller(instance):
        nonlocal number
        client = t.Client(tier, instance)
        while not finished:
            number += 1
            attempt = f"q{number:06d}"
            sent[attempt] = (tier.record.now(), instance.name)
            await client.send(attempt, "/pull/x", 5000)
            await asyncio.sleep(tier.random.uniform(.1, .2))
        client.close()

    callers = [asyncio.create_task(caller(each)) for each in tier.instances
               for _ in range(2)]
    await asyncio.sleep(t.STABLE_WINDOW_S + .5)

    lost = []

    def loses_answer(kind, peer, events):
        if not trouble or lost or kind != "config" or not events:
            return False
        lost.append(peer)
        return True

    # A change of a timeout, after which all watches begin anew.
    await tier.publish(2, [t.route("pull", service="coop-archive",
                                   timeout_ms=4000)], services)
    await asyncio.sleep(1)
    tier.store.loses_answer = loses_answer
    acknowledged = await tier.publish(
        3, [t.route("pull", service="helpdesk-desk", timeout_ms=4000)],
        services)
    await asyncio.sleep(RUN_AFTER_CHANGE_S)
    finished = True
    await asyncio.gather(*callers)
    if trouble and not lost:
        raise t.CannotRun("no answer was lost")

    # The disturbance of the store ended with the lost answer, right after the
    # acknowledgement; from stable_window_ms later on all machines are in touch.
    from_s = acknowledged + t.STABLE_WINDOW_S + .5
    violations = []
    for each in tier.searchers:
        if each.service != "coop-archive":
            continue
        for at, attempt in each.runs:
            when, instance = sent[attempt]
            if when > from_s:
                violations.append(
                    f"CONFIG {attempt} sent to {instance} "
                    f"{when - acknowledged:.2f} s after the ack of version 3 "
                    f"was run by {each.id} of the old service")
    return violations


t.run_case(FOLDER, scenario)
