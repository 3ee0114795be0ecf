"""Stand-ins for the store, the searchers and the clients of a small deployment,
and a runner of entry processes.

Everything is on 127.0.0.1 and uses free ports. What is sent, answered and run
is written to a record.
"""

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = ["target/papayaglade", "entry"]  # `run` of deploy/system.toml

# Bounds of sites/ubucuruzi-faq.toml, as the platform puts them into settings.
DRAIN_S = 3.0
GRACE_S = 6.0
CONFIG_APPLY_S = 3.0
STABLE_WINDOW_S = 4.0
LOSS_SLACK_S = 0.2
HEARTBEAT_S = 1.2
IDLE_TIMEOUT_MS = 15000
RECORD_BYTES = 16


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():9.4f} {event} {text}\n")
        self.file.flush()


class Message:
    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_message(reader):
    """Returns the next message, or None if the connection ended."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = text.split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                fields[name.strip().lower()] = value.strip()
        length = int(fields.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Message(lines[0], fields, body)


def answer(status, body=b"", fields=(), reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


_next_port = 20000 + os.getpid() % 100 * 100


def free_port():
    """Picks a port below the range of outgoing connections."""
    global _next_port
    while True:
        _next_port = _next_port + 1 if _next_port < 31900 else 20000
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", _next_port))
                return _next_port
            except OSError:
                continue


class Store:
    """The platform's metadata store: objects, revisions, lists and watches."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.revision = 100
        self.objects = {}  # (kind, name) -> object
        self.history = []  # (revision, kind, object, deleted)
        self.changed = asyncio.Condition()
        # Called with the kind and the peer's port before a watch is answered;
        # true loses the answer, and the connection returns nothing further.
        self.loses_answer = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.connection, "127.0.0.1", self.port, limit=1 << 22)

    async def put(self, kind, name, spec, same=None):
        """Writes an object and returns its revision, the acknowledgement.
        `same` compares an old and a new spec; equal ones are no change."""
        old = self.objects.get((kind, name))
        if old is not None and same is not None and same(old["spec"], spec):
            old["spec"] = spec
            return self.revision
        async with self.changed:
            self.revision += 1
            entry = {"meta": {"name": name, "revision": self.revision,
                              "created": old["meta"]["created"] if old
                              else self.revision,
                              "finalizers": [], "deleting": False},
                     "spec": spec, "status": None}
            self.objects[kind, name] = entry
            self.history.append((self.revision, kind, entry, False))
            self.changed.notify_all()
        return self.revision

    async def delete(self, kind, name):
        async with self.changed:
            entry = self.objects.pop((kind, name), None)
            if entry is None:
                return
            self.revision += 1
            self.history.append((self.revision, kind, entry, True))
            self.changed.notify_all()

    async def connection(self, reader, writer):
        peer = writer.get_extra_info("peername")[1]
        try:
            while (message := await read_message(reader)) is not None:
                reply = await self.reply(message, peer)
                if reply is None:
                    # Lost: the connection stays open and returns nothing.
                    while await reader.read(65536):
                        pass
                    return
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def reply(self, message, peer):
        method, target, _ = message.start.split(" ", 2)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        names = [unquote(p) for p in parts.path.split("/") if p]
        kind = names[1]
        if method == "POST":
            body = json.loads(message.body)
            name = body["meta"]["name"]
            if (kind, name) in self.objects:
                return self.json(409, self.objects[kind, name])
            await self.put(kind, name, body["spec"])
            return self.json(200, self.objects[kind, name])
        if method == "DELETE":
            if (kind, names[2]) not in self.objects:
                return self.json(404, {})
            await self.delete(kind, names[2])
            return self.json(200, {})
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait_ms", 0)), peer)
        return self.list(kind, query.get("after", ""))

    def json(self, status, value):
        return answer(status, self.encode(value),
                      [("Content-Type", "application/json")])

    def encode(self, value):
        return json.dumps(value).encode()

    def list(self, kind, after, page=500):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, n] for n in names[:page]]
        return self.json(200, {"items": items, "has_more": len(names) > page,
                               "at": self.revision})

    async def watch(self, kind, since, wait_ms, peer):
        def events():
            return [{"deleted": gone, "object": entry}
                    for at, k, entry, gone in self.history
                    if at > since and k == kind]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(events),
                                       wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
            body = {"events": events(), "at": self.revision}
        if self.loses_answer is not None and self.loses_answer(
                kind, peer, body["events"]):
            self.record.write("store_answer_lost", kind=kind, peer=peer,
                              at=body["at"])
            return None
        return self.json(200, body)


def stamp_of(searcher, attempt):
    return hashlib.sha256(f"{searcher}/{attempt}".encode()).hexdigest()[:16]


def body_of(searcher, attempt, count=12):
    seed = f"{searcher}/{attempt}".encode()
    return b"".join(hashlib.sha256(seed + bytes([i])).digest()[:RECORD_BYTES]
                    for i in range(count))


def same_but_sequence(a, b):
    return {**a, "sequence": 0} == {**b, "sequence": 0}


class Searcher:
    """One searcher: serves requests and reports its status to the store."""

    def __init__(self, identity, service, zone, store, record, slots=6,
                 queue=24, work_s=lambda attempt: .02, cold_s=0.0):
        self.id = identity
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.port = free_port()
        self.slots = asyncio.Semaphore(slots)
        self.max_concurrency = slots
        self.queue = queue
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.warm_at = time.monotonic() + cold_s
        self.in_flight = 0
        self.arrivals = []  # (time, attempt)
        self.runs = []      # (time, attempt)
        self.server = None
        self.heartbeat = None
        self.writers = set()
        self.on_request = None  # may answer instead; returns bytes or None

    async def start(self):
        self.server = await asyncio.start_server(
            self.connection, "127.0.0.1", self.port)
        await self.report()
        self.heartbeat = asyncio.create_task(self.report_for_ever())

    def entry(self):
        left = max(0, int(1000 * (self.warm_at - time.monotonic())))
        return {"service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": "v1",
                "max_concurrency": self.max_concurrency, "state": self.state,
                "warmup_left_ms": left, "sequence": self.sequence,
                "born": self.born}

    async def report(self):
        self.sequence += 1
        entry = self.entry()
        await self.store.put("servers", self.id, entry, same_but_sequence)
        self.record.write("status_report", searcher=self.id,
                          state=entry["state"],
                          warmup_left_ms=entry["warmup_left_ms"])

    async def report_for_ever(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.report()

    async def drain(self):
        """Reports that it leaves and returns the time of the store's ack."""
        self.state = "draining"
        await self.report()
        self.record.write("drain_acknowledged", searcher=self.id)
        return self.record.now()

    async def stop(self):
        if self.heartbeat is not None:
            self.heartbeat.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                # Reads on, to notice when the caller closes.
                reply = asyncio.create_task(self.reply(message, writer))
                closed = asyncio.create_task(self.wait_closed(reader))
                await asyncio.wait({reply, closed},
                                   return_when=asyncio.FIRST_COMPLETED)
                closed.cancel()
                if not reply.done():
                    reply.cancel()
                    return
                text = reply.result()
                if text is None:
                    return
                writer.write(text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def wait_closed(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(.01)

    async def reply(self, message, writer):
        method, target, _ = message.start.split(" ", 2)
        if target == "/health":
            return answer(200 if self.state == "ready" else 503,
                          fields=[("Papayaglade-Instance-Id", self.id)])
        attempt = message.get("papayaglade-attempt-id")
        now = self.record.now()
        if message.get("papayaglade-target-instance", self.id) != self.id:
            self.record.write("misdirected", searcher=self.id, attempt=attempt)
            return answer(421, fields=[("Papayaglade-Instance-Id", self.id)])
        self.arrivals.append((now, attempt))
        self.record.write("arrived", searcher=self.id, attempt=attempt,
                          method=method)
        if self.on_request is not None:
            text = self.on_request(message, attempt, writer)
            if text is not None:
                return text
        if self.in_flight >= self.max_concurrency + self.queue:
            self.record.write("shed", searcher=self.id, attempt=attempt)
            return answer(503, fields=[("Papayaglade-Not-Executed", 1)])
        self.in_flight += 1
        try:
            async with self.slots:
                self.runs.append((self.record.now(), attempt))
                self.record.write("run", searcher=self.id, attempt=attempt)
                await asyncio.sleep(self.work_s(attempt))
        except asyncio.CancelledError:
            self.record.write("run_dropped", searcher=self.id, attempt=attempt)
            raise
        finally:
            self.in_flight -= 1
        self.record.write("answered", searcher=self.id, attempt=attempt)
        return answer(200, body_of(self.id, attempt), [
            ("Papayaglade-Attempt-Id", attempt),
            ("Papayaglade-Server-Stamp", stamp_of(self.id, attempt))])


class Instance:
    """An entry process of the deploy file."""

    def __init__(self, name, zone, tier):
        self.name = name
        self.zone = zone
        self.tier = tier
        self.ports = {p: free_port() for p in
                      ("callers", "readiness", "control", "metrics")}
        self.process = None

    def write_settings(self, seeds):
        settings = {p: f"127.0.0.1:{n}" for p, n in self.ports.items()}
        settings.update({
            "name": self.name, "data_centre": self.zone, "region": "kigali",
            "store": f"127.0.0.1:{self.tier.store.port}", "seeds": seeds,
            "descriptors": 4100, "cores": 0.25,
            "repeats": {"ratio": 0.2, "extra": 54, "window_s": 10},
            "warmup": {"overshoot": 1.5, "slack": 5},
            "bounds": {"drain_ms": int(DRAIN_S * 1000),
                       "shutdown_s": GRACE_S}})
        self.path = os.path.join(self.tier.folder, f"{self.name}.json")
        with open(self.path, "w") as file:
            json.dump(settings, file)

    async def start(self):
        log = open(os.path.join(self.tier.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""),
                       "PAPAYAGLADE_CONFIG": self.path}
        self.process = await asyncio.create_subprocess_exec(
            *PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.tier.record.write("process_started", instance=self.name,
                               pid=self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.tier.record.write("signal", instance=self.name, number=number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports["readiness"])
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and message.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    def log_text(self):
        with open(os.path.join(self.tier.folder, f"{self.name}.log"),
                  errors="replace") as file:
            return file.read()


class Client:
    """A client that keeps one connection to one instance open."""

    def __init__(self, tier, instance):
        self.tier = tier
        self.instance = instance
        self.streams = None

    async def connect(self):
        self.streams = await asyncio.wait_for(asyncio.open_connection(
            "127.0.0.1", self.instance.ports["callers"]), 1)

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None

    async def send(self, attempt, path, deadline_ms, method="GET", body=b""):
        """Sends one attempt; returns the answer, or None if the connection
        ended without one."""
        record = self.tier.record
        try:
            if self.streams is None:
                await self.connect()
            reader, writer = self.streams
            head = (f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
                    f"Papayaglade-Attempt-Id: {attempt}\r\n"
                    f"Papayaglade-Deadline-Ms: {deadline_ms}\r\n")
            if body:
                head += f"Content-Length: {len(body)}\r\n"
            record.write("sent", attempt=attempt, instance=self.instance.name,
                         method=method, path=path)
            writer.write(head.encode() + b"\r\n" + body)
            message = await asyncio.wait_for(read_message(reader),
                                             deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError) as failed:
            record.write("no_answer", attempt=attempt,
                         why=type(failed).__name__)
            self.close()
            return None
        if message is None:
            record.write("closed_without_answer", attempt=attempt)
            self.close()
            return None
        record.write("client_answer", attempt=attempt, status=message.status,
                     stamp=message.get("papayaglade-server-stamp", "-"))
        if message.get("connection") == "close":
            self.close()
        return message


def route(name, **more):
    return {"name": name, "host": "shop.example", "path_prefix": f"/{name}/",
            "type": "idempotent", "timeout_ms": 5000, "target_latency_ms": 800,
            "priority": 2, "max_attempts": 2, **more}


class Tier:
    """A small deployment: a store, searchers and entry processes."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="papayaglade-review-")
        self.store = Store(self.record)
        self.searchers = []
        self.instances = []
        self.random = random.Random(1)

    async def add_searcher(self, identity, service, zone, **more):
        searcher = Searcher(identity, service, zone, self.store, self.record,
                            **more)
        await searcher.start()
        self.searchers.append(searcher)
        return searcher

    async def publish(self, version, routes, services, connections=100):
        await self.store.put("config", "main", {
            "version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health",
                          "max_connections": connections, "protocol": "h1",
                          "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": IDLE_TIMEOUT_MS}})
        self.record.write("configuration_acknowledged", version=version)
        return self.record.now()

    async def start_instances(self, zones):
        self.instances = [Instance(f"front-{zone}-{i + 1}", zone, self)
                          for i, zone in enumerate(zones)]
        seeds = [f"127.0.0.1:{each.ports['control']}"
                 for each in self.instances[:3]]
        for each in self.instances:
            each.write_settings(seeds)
        await asyncio.gather(*(each.start() for each in self.instances))
        for _ in range(100):
            states = await asyncio.gather(
                *(each.is_ready() for each in self.instances))
            if all(states):
                return
            await asyncio.sleep(.1)
        raise CannotRun("the processes did not become ready")

    async def stop(self):
        for each in self.instances:
            if each.process is not None and each.process.returncode is None:
                each.process.kill()
                await each.process.wait()
        for each in self.searchers:
            await each.stop()
        if self.store.server is not None:
            self.store.server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, scenario):
    """Runs `scenario(tier, trouble)`, which returns the violations seen, and
    exits with the status of the review issue."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        tier = Tier(case_folder)
        try:
            await tier.store.start()
            violations = await asyncio.wait_for(scenario(tier, trouble), 110)
            for each in violations:
                tier.record.write("VIOLATION", what=each)
            return violations
        finally:
            if os.environ.get("KEEP_LOGS"):
                for each in tier.instances:
                    shutil.copy(os.path.join(tier.folder, f"{each.name}.log"),
                                os.environ["KEEP_LOGS"])
            await tier.stop()

    try:
        if not os.access(os.path.join(ROOT, PROGRAM[0]), os.X_OK):
            raise CannotRun(f"{PROGRAM[0]} is not built")
        violations = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError,
            asyncio.CancelledError) as failed:
        print(f"could not run: {failed!r}")
        sys.exit(2)
    print(f"trouble={int(trouble)} violations={len(violations)}")
    for each in violations[:5]:
        print(each)
    sys.exit(1 if violations else 0)
