"""Cases in which the instances that follow another one make it hold more than
its machine has."""

import asyncio

from .case_tier import outcome
from .follower import Follower
from .memory_cases import SMALL_MACHINE_MEMORY_MB

# Nearly as large as the store allows.
CONFIGURATION_BYTES = 900_000
CHANGE_INTERVAL_S = 0.1
MISSED_CONFIGURATIONS = 66
RETURNING_FOLLOWERS = 3
SILENT_FOLLOWERS = 60
UNREAD_CONFIGURATIONS = 40
SUBSCRIBE_INTERVAL_S = 2.0
CONFIGURATIONS_IN_AN_ANSWER = 8
ROUTES = 1400


async def change_configuration(tier, count):
    """Writes large configurations in quick succession."""
    for _ in range(count):
        latest = tier.store.objects["config", "main"]["spec"]
        await tier.store.put("config", "main", {
            **latest, "version": latest["version"] + 1,
            "padding": "x" * CONFIGURATION_BYTES})
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def ask_calmly(tier, count):
    seen = []
    for _ in range(count):
        reader, writer = await tier.connect()
        writer.write(tier.request(route="quick"))
        seen.append(await outcome(reader))
        writer.close()
        await asyncio.sleep(.02)
    return seen


async def start_small(tier):
    tier.instance_settings = {"memory_mb": SMALL_MACHINE_MEMORY_MB,
                              "descriptors": 4100}
    await tier.start()


def judge(tier, calm, more=""):
    highest_mb = tier.highest_memory_mb()
    kept = (highest_mb < SMALL_MACHINE_MEMORY_MB
            and calm.count(200) == len(calm))
    return kept, f"{highest_mb} MB, calm {calm.count(200)}{more}"


async def memory_of_returning_followers(tier):
    """Guards against LOST: instances that come back after many large
    configurations are sent each of them, which takes the process that answers
    over its memory (review/6)."""
    await start_small(tier)
    before = tier.store.revision
    await change_configuration(tier, MISSED_CONFIGURATIONS)
    followers = [Follower(f"f-{i}") for i in range(RETURNING_FOLLOWERS)]
    for each in followers:
        await each.connect(tier.instance.ports["control"])
    for each in followers:
        each.subscribe(before)
    sizes = [await each.read_length() for each in followers]
    await asyncio.gather(*map(Follower.skip, followers, sizes),
                         return_exceptions=True)
    calm = await ask_calmly(tier, 50)
    for each in followers:
        each.close()
    kept, seen = judge(tier, calm, f", messages of {sizes}")
    return kept and max(sizes) < 2 * CONFIGURATION_BYTES, seen


async def memory_of_silent_followers(tier):
    """Guards against LOST: instances that are cut off, but not given up yet,
    make the process hold what each of them has not read."""
    await start_small(tier)
    followers = [Follower(f"f-{i}") for i in range(SILENT_FOLLOWERS)]
    for each in followers:
        await each.connect(tier.instance.ports["control"], 4096)
        each.subscribe(tier.store.revision)

    async def stay_subscribed():
        while True:
            await asyncio.sleep(SUBSCRIBE_INTERVAL_S)
            for each in followers:
                each.subscribe(tier.store.revision)

    subscribed = asyncio.create_task(stay_subscribed())
    changes = asyncio.create_task(
        change_configuration(tier, UNREAD_CONFIGURATIONS))
    calm = await ask_calmly(tier, 100)
    await changes
    subscribed.cancel()
    for each in followers:
        each.close()
    return judge(tier, calm)


async def memory_of_missed_configurations(tier):
    """The store returns as many large configurations at once as one answer
    may have."""
    await start_small(tier)
    tier.instance.store_relay.cut_off(["there", "back"])
    latest = tier.store.objects["config", "main"]["spec"]
    route = latest["routes"][0]
    shards = [f"shard-{i:02d}-a" for i in range(30)]
    services = latest["services"] + [
        {**latest["services"][0], "name": each} for each in shards]
    for version in range(3, 3 + CONFIGURATIONS_IN_AN_ANSWER):
        routes = latest["routes"] + [
            {**route, "name": f"r-{i:05d}", "path_prefix": f"/q{i:05d}/",
             "service": None, "fanout_services": shards, "top_k": 5,
             "min_shard_share": 1} for i in range(ROUTES)]
        await tier.store.put("config", "main", {
            **latest, "version": version, "routes": routes,
            "services": services})
    await asyncio.sleep(3)
    tier.instance.store_relay.restore()
    await asyncio.sleep(3)
    calm = await ask_calmly(tier, 50)
    return judge(tier, calm)


FOLLOWER_CASES = [memory_of_returning_followers, memory_of_silent_followers,
                  memory_of_missed_configurations]
