"""Callers that keep connections open, and what they saw of each request."""

import asyncio
import dataclasses
import hashlib

from .http_text import chunked, read_whole_message
from .instance import Lifetime

BODY_KINDS = ["none", "none", "length", "chunked"]
CHUNK_BYTES = 700
CONNECT_TIMEOUT_S = 1.0
LEAVE_AFTER_S = 1.0  # how long callers wait beyond their time budget
MAX_SENDS = 4
NEVER_RETRIED = {400, 401, 404, 413, 431}
PROMISES = {408, 421, 429, 503}  # say that the request never runs


@dataclasses.dataclass
class Connection:
    lifetime: Lifetime  # of the process at the other end
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def ended(self):
        return self.reader.at_eof() or self.reader.exception() is not None


@dataclasses.dataclass
class Call:
    """A request and how it ended: "answered", "closed", "reset" or "left"."""
    attempt: str
    kind: str
    lifetime: Lifetime
    budget_s: float
    sent_s: float = 0.0     # when the last byte was sent
    whole: bool = False     # all bytes were sent
    end: str = ""
    end_s: float = 0.0
    status: int = 0
    answer_bytes: int = 0   # of an answer that is not whole, as far as known
    retry_after_s: float = 0.0

    def may_be_retried(self):
        if self.status in NEVER_RETRIED or 200 <= self.status < 300:
            return False
        if self.kind != "book":
            return True
        # A reset without an answer says that the request was not read.
        return self.status in PROMISES or self.end == "reset"


def body_of(attempt):
    digest = hashlib.sha256(attempt.encode()).digest()
    return digest * (1 + digest[0] * digest[1] // 40)  # 32 bytes to 52 KB


class Caller:
    """Sends requests through a balancer; reports each call to a ledger."""

    def __init__(self, balancer, ledger, zone, random, new_attempt):
        self.balancer = balancer
        self.ledger = ledger
        self.zone = zone
        self.random = random
        self.new_attempt = new_attempt

    @staticmethod
    def now():
        return asyncio.get_running_loop().time()

    async def connect(self, instance):
        """Returns a connection, or None if none is established in time."""
        lifetime = instance.lifetime
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(
                    "127.0.0.1", instance.ports["callers"]), CONNECT_TIMEOUT_S)
        except (OSError, asyncio.TimeoutError):
            return None
        return Connection(lifetime, reader, writer)

    async def request(self, connection, kind, budget_s):
        """Sends a request, retries it on new connections as clients do, and
        returns the last connection if it is still open."""
        deadline_s = self.now() + budget_s
        for _ in range(MAX_SENDS):
            left_s = deadline_s - self.now()
            if left_s < .05:
                return connection
            if connection is None:
                connection = await self.connect(self.balancer.pick(self.zone))
            if connection is None:
                await asyncio.sleep(.05)
                continue
            call, is_open = await self.send(connection, kind, left_s)
            if not is_open:
                connection.writer.close()
                connection = None
            if not call.may_be_retried():
                return connection
            if connection is not None:
                connection.writer.close()
                connection = None
            await asyncio.sleep(min(call.retry_after_s, left_s / 3))
        return connection

    async def send(self, connection, kind, budget_s):
        """Sends one request; returns the call and whether the connection may
        be used again."""
        call = Call(self.new_attempt(kind), kind, connection.lifetime, budget_s)
        began_s = self.now()
        message = None
        try:
            await self.write(connection.writer, call)
            message = await asyncio.wait_for(
                read_whole_message(connection.reader),
                began_s + budget_s + LEAVE_AFTER_S - self.now())
            call.end, call.status = "answered", message.status
            call.retry_after_s = float(message.get("retry-after", "0"))
        except asyncio.IncompleteReadError as cut:
            call.end, call.answer_bytes = "closed", len(cut.partial)
        except asyncio.TimeoutError:
            call.end = "left"
        except OSError:
            call.end = "reset"
        call.end_s = self.now()
        self.ledger.record_call(call, message)
        return call, (message is not None
                      and message.get("connection").lower() != "close")

    async def write(self, writer, call):
        form = self.random.choice(BODY_KINDS)
        body = b"" if form == "none" else body_of(call.attempt)
        self.ledger.bodies[call.attempt] = body
        head = (f"{'POST' if body else 'GET'} /{call.kind}/x HTTP/1.1\r\n"
                "Host: shop.example\r\n"
                f"Papayaglade-Attempt-Id: {call.attempt}\r\n"
                f"Papayaglade-Deadline-Ms: {int(call.budget_s * 1000)}\r\n")
        pieces = [body] if body else []
        if form == "length":
            head += f"Content-Length: {len(body)}\r\n"
        elif form == "chunked":
            head += "Transfer-Encoding: chunked\r\n"
            pieces = chunked(body, CHUNK_BYTES)
        pieces.insert(0, head.encode() + b"\r\n")
        slow = self.random.random() < .2
        call.sent_s = self.now()
        for each in pieces[:-1]:
            writer.write(each)
            if slow:
                await asyncio.sleep(self.random.uniform(0, .6 / len(pieces)))
        # The request counts as sent from before its last byte, so that an end
        # during the write is not taken for one before it.
        call.sent_s, call.whole = self.now(), True
        writer.write(pieces[-1])
        await writer.drain()
