"""Cases in which an upstream sends bytes that are no answer."""

import asyncio

from .case_tier import ObedientSearcher, all_answered, outcome
from .http_text import answer
from .memory_cases import (LARGE_BYTES, MACHINE_MEMORY_MB,
                           SMALL_MACHINE_MEMORY_MB)

ENDLESS_CALLERS = 100
LARGE_PARTS = 50
SLOW_PART_S = 7.0
ENDLESS_PIECE = b"x" * 65536
ENDLESS_STARTS = {
    "body": b"HTTP/1.1 200 OK\r\n\r\n",
    "long body": b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "head": b"HTTP/1.1 200 OK\r\nX: ",
    "no head": b"",
}


class OddSearcher(ObedientSearcher):
    """Answers every request with the status 000, which no answer can have."""

    async def exchange(self, message, writer):
        text = answer(200, b"r" * 16, self.stamps(
            message.get("papayaglade-attempt-id")))
        writer.write(text.replace(b" 200 ", b" 000 ", 1))
        return True


class EndlessSearcher(ObedientSearcher):
    """Sends bytes until its caller closes the connection."""
    start_bytes = b""
    piece = ENDLESS_PIECE

    async def exchange(self, message, writer):
        writer.write(self.start_bytes)
        while True:
            writer.write(self.piece)
            await writer.drain()


class LargePartSearcher(ObedientSearcher):
    """Answers with the longest part that is taken."""

    async def exchange(self, message, writer):
        writer.write(answer(200, b"r" * LARGE_BYTES, self.stamps(
            message.get("papayaglade-attempt-id"))))
        await writer.drain()
        return True


class SlowSearcher(ObedientSearcher):
    """Answers after a long time."""

    async def exchange(self, message, writer):
        await asyncio.sleep(SLOW_PART_S)
        return await super().exchange(message, writer)


async def replace(tier, kind, service="archive"):
    """Puts a searcher of another kind in the place of a service's."""
    old = tier.searchers[service]
    await old.crash()
    odd = kind(old.id, old.service, old.zone, old.port, 0, tier.ledger,
               slots=200)
    await odd.start()
    tier.searchers[service] = odd
    return odd


async def status_000(tier):
    """Guards against MIXED: a status that no answer can have reaches a
    caller. It gets 502, also where the upstream states that it is its
    answer."""
    await tier.start()
    await replace(tier, OddSearcher)
    seen = []
    for route, method in (("pull", "GET"), ("book", "POST"), ("pull", "HEAD"),
                          ("search", "GET")):
        reader, writer = await tier.connect()
        writer.write(tier.request(route=route, method=method,
                                  budget_ms=1000))
        line = await reader.readline()
        seen.append(line.split(b" ")[1].decode())
        writer.close()
    return all(each in ("502", "504") for each in seen), seen


async def endless_answers(tier, name, memory_mb=MACHINE_MEMORY_MB):
    """Guards against LOST: an upstream that sends bytes without end to all who
    ask it takes the process over its memory, and the requests of other callers
    end with it."""
    tier.instance_settings = {"memory_mb": memory_mb, "descriptors": 4100}
    await tier.start()
    endless = await replace(tier, EndlessSearcher)
    endless.start_bytes = ENDLESS_STARTS[name]
    if name == "chunks":
        endless.piece = b"10000\r\n" + ENDLESS_PIECE + b"\r\n"
    calm = []

    async def ask(route, budget_ms):
        reader, writer = await tier.connect()
        writer.write(tier.request(route=route, budget_ms=budget_ms))
        seen = await outcome(reader)
        writer.close()
        return seen

    async def ask_calmly():
        for _ in range(100):
            calm.append(await ask("quick", 5000))
            await asyncio.sleep(.02)

    calmly = asyncio.create_task(ask_calmly())
    seen = []
    for _ in range(3):
        seen += await asyncio.gather(*(ask("pull", 3000)
                                       for _ in range(ENDLESS_CALLERS)))
    await calmly
    highest_mb = tier.highest_memory_mb()
    kept = (highest_mb < memory_mb and all_answered(seen)[0]
            and calm.count(200) >= .99 * len(calm))
    counts = {each: seen.count(each) for each in set(seen)}
    return kept, f"{highest_mb} MB, {counts}, calm {calm.count(200)}"


async def large_parts(tier):
    """Guards against LOST: searches that wait for a slow shard keep the large
    parts of the others whole."""
    tier.instance_settings = {"memory_mb": MACHINE_MEMORY_MB,
                              "descriptors": 4100}
    await tier.start()
    await replace(tier, LargePartSearcher)
    await replace(tier, SlowSearcher, "other")
    callers = []
    for _ in range(LARGE_PARTS):
        reader, writer = await tier.connect()
        writer.write(tier.request(route="search"))
        callers.append((reader, writer))
        await asyncio.sleep(.1)
    seen = [await outcome(reader) for reader, _ in callers]
    highest_mb = tier.highest_memory_mb()
    kept = highest_mb < MACHINE_MEMORY_MB and seen.count(200) == len(seen)
    return kept, f"{highest_mb} MB, {set(seen)}"


async def endless_body(tier):
    return await endless_answers(tier, "body")


async def endless_body_on_a_small_machine(tier):
    return await endless_answers(tier, "body", SMALL_MACHINE_MEMORY_MB)


async def endless_long_body(tier):
    return await endless_answers(tier, "long body")


async def endless_chunks(tier):
    return await endless_answers(tier, "chunks")


async def endless_head(tier):
    return await endless_answers(tier, "head")


async def endless_bytes(tier):
    return await endless_answers(tier, "no head")


ANSWER_CASES = [status_000]
ENDLESS_CASES = [endless_body, endless_body_on_a_small_machine,
                 endless_long_body, endless_chunks, endless_head,
                 endless_bytes, large_parts]
