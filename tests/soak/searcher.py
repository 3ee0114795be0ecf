"""A stand-in for an upstream, which records what it received."""

import asyncio
import hashlib
import random

from .answers import cut_answer, whole_answer
from .http_text import answer, read_message, reset

RECORD_BYTES = 16
ANSWER_FORMS = ["length"] * 8 + ["chunked"] * 2 + ["to_close"]


def stamp_of(searcher, attempt):
    text = f"{searcher}/{attempt}".encode()
    return hashlib.sha256(text).hexdigest()[:16]


def records_of(searcher, attempt, count=12):
    seed = f"{searcher}/{attempt}".encode()
    return b"".join(
        hashlib.sha256(seed + bytes([i])).digest()[:RECORD_BYTES]
        for i in range(count))


class Searcher:
    def __init__(self, identity, service, zone, port, seed, ledger, slots=3,
                 queue=6, work_s=None):
        self.id = identity
        self.service = service
        self.zone = zone
        self.port = port
        self.random = random.Random(seed)
        self.ledger = ledger
        self.max_concurrency = slots
        self.queue = queue
        self.slots = asyncio.Semaphore(slots)
        self.work_s = work_s or (lambda: self.random.uniform(.001, .01))
        self.in_flight = 0
        self.paused_until = 0.0
        self.fault_mode = None
        self.server = None
        self.writers = set()
        self.senders = {}  # connection -> instance
        self.born = 1700000000000 + port
        self.sequence = 0
        self.leaves = False      # its entry is not written as ready again
        self.announces = False   # says in all its answers that it leaves
        self.retry_after = None  # turns requests away with this value

    def entry(self, state="ready", warmup_left_ms=0):
        """Returns a report to the store; each has a later sequence."""
        self.sequence += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": "v1", "state": state,
                "max_concurrency": self.max_concurrency,
                "warmup_left_ms": warmup_left_ms, "sequence": self.sequence,
                "born": self.born}

    async def start(self):
        self.server = await asyncio.start_server(
            self.connection, "127.0.0.1", self.port)

    async def crash(self):
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.exchange(message, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.senders.pop(writer, None)
            writer.close()

    async def exchange(self, message, writer):
        attempt = message.get("papayaglade-attempt-id")
        if message.get("papayaglade-target-instance") != self.id:
            writer.write(answer(421))
            return True
        now = asyncio.get_running_loop().time()
        sender = self.sender(writer)
        self.ledger.record_arrival(self, attempt, now)
        self.ledger.notices.arrived(self, sender, attempt, now)
        full = self.in_flight >= self.max_concurrency + self.queue
        if full or self.fault_mode == "shed" or self.retry_after is not None:
            writer.write(self.refusal(sender, now))
            return True
        self.in_flight += 1
        try:
            async with self.slots:
                self.ledger.record_run(self, attempt, message, now)
                if not await self.work(message, attempt, now):
                    writer.write(answer(504, fields=self.stamps(attempt)
                                        + self.notice(sender, attempt)))
                    return True
        finally:
            self.in_flight -= 1
        return self.respond(attempt, sender, writer)

    async def work(self, message, attempt, arrived_s):
        """Works on a request; returns whether its time budget sufficed."""
        start_s = asyncio.get_running_loop().time()
        left_s = arrived_s - start_s + int(
            message.get("papayaglade-deadline-ms", "3600000")) / 1000
        work_s = max(0.0, self.paused_until - arrived_s) + self.work_s()
        spent_s = max(0.0, min(work_s, left_s))
        self.ledger.record_work(attempt, start_s, start_s + spent_s)
        await asyncio.sleep(spent_s)
        return work_s <= left_s

    def sender(self, writer):
        """Returns the instance that sent what a connection brings, if it
        matters what this searcher has said to it."""
        if writer in self.senders:
            return self.senders[writer]
        if not (self.announces or self.retry_after is not None
                or self.ledger.notices.concerns(self)):
            return None
        sender = self.ledger.owners.owner_of(writer)
        if sender is not None:
            self.senders[writer] = sender
        return sender

    def refusal(self, sender, now):
        fields = [("Papayaglade-Not-Executed", 1)]
        if self.announces:
            fields.append(("Server-Leaving", 1))
            self.ledger.notices.refuses_leaving(self, sender, now)
        if self.retry_after is not None:
            fields.append(("Retry-After", self.retry_after))
        if isinstance(self.retry_after, (int, float)):
            self.ledger.notices.asked_for_pause(self, sender, now,
                                                self.retry_after)
        return answer(503, fields=fields)

    def notice(self, sender, attempt):
        if not self.announces:
            return []
        self.ledger.notices.answers_leaving(self, sender, attempt)
        return [("Server-Leaving", 1)]

    def stamps(self, attempt):
        return [("Papayaglade-Attempt-Id", attempt),
                ("Papayaglade-Server-Stamp", stamp_of(self.id, attempt))]

    def respond(self, attempt, sender, writer):
        """Writes an answer; returns whether the connection stays open."""
        body = records_of(self.id, attempt)
        fields = self.stamps(attempt) + self.notice(sender, attempt)
        draw = self.random.random()
        if self.fault_mode == "cut" and draw < .5:
            text, by_reset = cut_answer(body, fields, self.random)
            writer.write(text)
            reset(writer) if by_reset else writer.close()
            return False
        if self.fault_mode == "garble" and draw < .4:
            return self.garble(body, fields, draw, writer)
        form = self.random.choice(ANSWER_FORMS)
        writer.write(whole_answer(body, fields, form))
        return form != "to_close"

    @staticmethod
    def garble(body, fields, draw, writer):
        text = whole_answer(body, fields, "length")
        if draw < .1:
            writer.write(text[:len(text) // 2])
            reset(writer) if draw < .05 else writer.close()
        elif draw < .2:
            writer.write(text + text)
        elif draw < .3:
            reset(writer)
        else:
            writer.write(answer(500, b"no", fields))
        return .1 <= draw < .2 or draw >= .3
