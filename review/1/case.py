"""Another writer leaves an entry with a field of another type."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import tier as t  # noqa: E402

DEPTH = 200_000       # 400 KB of the 1,048,576 of value_bytes
RESTART_DELAY_S = 0.5
MARK = "@nested-lists@"


class StoreOfBytes(t.Store):
    """Keeps specs as the bytes that were written, however they are nested."""

    def encode(self, value):
        nested = "[" * DEPTH + "]" * DEPTH
        return json.dumps(value).replace(f'"{MARK}"', nested).encode()


async def scenario(tier, trouble):
    ends = {}
    finished = False

    async def supervise(instance):
        """Starts the process again whenever it ends, as the platform does."""
        while True:
            code = await instance.process.wait()
            if finished:
                return
            ends.setdefault(instance.name, []).append(code)
            tier.record.write("process_ended_by_itself",
                              instance=instance.name, exit=code)
            await asyncio.sleep(RESTART_DELAY_S)
            await instance.start()

    for i in range(4):
        await tier.add_searcher(f"i-archive-{i}", "coop-archive",
                                ["kigali-a", "huye-a"][i % 2])
    await tier.publish(1, [t.route("pull", service="coop-archive")],
                       ["coop-archive"])
    await tier.start_instances(["kigali-a", "huye-a", "musanze-a"])
    supervisors = [asyncio.create_task(supervise(each))
                   for each in tier.instances]
    await asyncio.sleep(t.STABLE_WINDOW_S)
    if trouble:
        entry = {**tier.searchers[0].entry(), "zone": MARK}
        await tier.store.put("servers", "i-other-writer", entry)
        tier.record.write("entry_of_another_writer", zone=f"{DEPTH} lists")
    for i in range(20):
        client = t.Client(tier, tier.instances[i % 3])
        await client.send(f"q{i:03d}", "/pull/x", 1000)
        client.close()
        await asyncio.sleep(.25)
    finished = True
    for each in supervisors:
        each.cancel()
    often = [name for name, codes in ends.items() if len(codes) >= 3]
    needed = max(2, -(-len(tier.instances) // 10))
    if len(often) < needed:
        return []
    return [f"Fault: the process of {name} ended by itself {len(ends[name])} "
            f"times, exits {ends[name][:3]}" for name in often]


t.Store = StoreOfBytes
t.run_case(FOLDER, scenario)
