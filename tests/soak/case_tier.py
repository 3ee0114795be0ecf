"""One entry process with a store and an upstream for each service, and what
its callers see."""

import asyncio
import os
import signal
import socket
import types

from .http_text import answer, read_message, read_whole_message
from .instance import SHUTDOWN_TIMEOUT_S, Instance
from .ports import free_port
from .searcher import Searcher
from .store import Store

DRAIN_TIMEOUT_S = 3.0
START_TIMEOUT_S = 10.0
CASE_TIMEOUT_S = 25.0
SERVICES = ["archive", "other"]


class ObedientSearcher(Searcher):
    """Answers after X-Work seconds with X-Size bytes."""

    async def exchange(self, message, writer):
        await asyncio.sleep(float(message.get("x-work", ".01")))
        writer.write(answer(200, b"r" * int(message.get("x-size", "16")),
                            self.stamps(message.get("papayaglade-attempt-id"))))
        return True


class Tier:
    """One instance with its stand-ins."""

    def __init__(self, name, cases):
        self.name = name
        self.build = cases.build
        self.programs = [os.path.join(self.build, "papayaglade")]
        self.folder = cases.folder
        self.ledger = cases.ledger
        self.drain_timeout_s = DRAIN_TIMEOUT_S
        self.finished = False
        self.random = types.SimpleNamespace(random=lambda: 1.0)  # no log pipe
        self.store_port = free_port()
        self.store = None
        self.searchers = {}  # by service
        self.requests = 0
        self.instance = None
        self.instance_settings = {}
        self.running = None

    @staticmethod
    def now():
        return asyncio.get_running_loop().time()

    async def prepare(self, shutdown_s=SHUTDOWN_TIMEOUT_S):
        self.store = store = Store()
        await store.serve(self.store_port)
        for service in SERVICES:
            searcher = ObedientSearcher(f"i-{service}", service, "kigali",
                                        free_port(), 0, self.ledger, slots=200)
            self.searchers[service] = searcher
            await searcher.start()
            await store.put("servers", searcher.id, searcher.entry())
        common = {"host": "shop.example", "priority": 1,
                  "target_latency_ms": 200, "max_attempts": 1,
                  "timeout_ms": 20000}
        fanout = {"name": "search", "path_prefix": "/search/",
                  "type": "idempotent", "fanout_services": SERVICES,
                  "top_k": 5, "min_shard_share": 1, **common}
        await store.put("config", "main", {
            "version": 2, "limits": {"idle_timeout_ms": 15000},
            "routes": [{"name": name, "path_prefix": f"/{name}/",
                        "type": kind, "service": service, **common}
                       for name, kind, service in (
                           ("pull", "idempotent", "archive"),
                           ("book", "non_idempotent", "archive"),
                           ("quick", "idempotent", "other"))] + [fanout],
            "services": [{"name": service, "health_path": "/health",
                          "max_connections": 300, "protocol": "h1",
                          "tls": False, "warmup_s": 0, "warmup_per_s": 0}
                         for service in SERVICES]})
        self.instance = Instance(self.name, "kigali", self)
        self.instance.more_settings = self.instance_settings
        await self.instance.start_relays(
            [f"127.0.0.1:{self.instance.ports['control']}"])
        self.set_bound(shutdown_s)

    async def start(self, shutdown_s=SHUTDOWN_TIMEOUT_S):
        await self.prepare(shutdown_s)
        self.running = asyncio.create_task(self.instance.run_once())
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.instance.ready():
                await asyncio.sleep(.05)

    def set_bound(self, shutdown_s):
        self.instance.settings["bounds"]["shutdown_s"] = shutdown_s
        with open(self.instance.path, "w") as file:
            file.write(self.instance.settings_text())

    def terminate(self):
        self.instance.stopping = True
        self.instance.signal(signal.SIGTERM)

    async def log_lines_of(self, event, timeout_s=2):
        """Returns the log lines of an event, once there are any."""
        end = self.now() + timeout_s
        while True:
            with open(os.path.join(self.folder, f"{self.name}.log")) as log:
                lines = [each for each in log if f"event={event} " in each]
            if lines or self.now() > end:
                return lines
            await asyncio.sleep(.05)

    def highest_memory_mb(self):
        return self.instance.memory_mb()

    async def connect(self, receive_bytes=None):
        plain = socket.socket()
        if receive_bytes:
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                             receive_bytes)
        plain.connect(("127.0.0.1", self.instance.ports["callers"]))
        plain.setblocking(False)
        return await asyncio.open_connection(sock=plain, limit=2048)

    def request(self, route="pull", method="GET", budget_ms=15000, body=None,
                **fields):
        self.requests += 1
        lines = [f"{method} /{route}/x HTTP/1.1", "Host: shop.example",
                 f"Papayaglade-Attempt-Id: a{self.requests}",
                 f"Papayaglade-Deadline-Ms: {budget_ms}"]
        lines += [f"X-{k}: {v}" for k, v in fields.items()]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")

    async def once(self, **what):
        reader, writer = await self.connect()
        writer.write(self.request(**what))
        await read_message(reader)
        writer.close()

    async def end(self):
        if self.running is None:
            return
        if self.instance.process.returncode is None:
            self.instance.killed = True
            self.instance.signal(signal.SIGKILL)
        await self.running
        for each in self.instance.relays():
            await each.stop()


async def outcome(reader, timeout_s=CASE_TIMEOUT_S):
    """Returns what a caller sees: a status, or how the connection ended."""
    try:
        async with asyncio.timeout(timeout_s):
            return (await read_whole_message(reader)).status
    except asyncio.TimeoutError:
        return f"no answer within {timeout_s} s"
    except asyncio.IncompleteReadError as cut:
        return f"closed after {len(cut.partial)} bytes"
    except OSError as failed:
        return f"reset ({failed.strerror})"


def all_answered(seen):
    return all(isinstance(each, int) for each in seen), seen
