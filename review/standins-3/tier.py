"""A small deployment on loopback: a store, searchers, clients and instances.

The stand-ins follow the users' pages. Everything that is sent, answered and
run is written to the record file of a case, one JSON object a line.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BOUNDS = {"seed_lag_s": 3, "address_reuse_s": 2, "stable_window_ms": 4000,
          "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 3000,
          "rollback_slack_ms": 250, "max_stretch_ms": 12000,
          "retry_budget_ratio": 0.2, "retry_window_s": 10,
          "retry_budget_extra": 54, "warmup_overshoot": 1.5,
          "warmup_slack": 5, "evacuation_ms": 5000, "recovery_s": 12}
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "127.0.0.1"


# Below the ports that the system gives to outgoing connections.
PORTS = range(16000, 32000)
taken_ports = set()


def free_port():
    while True:
        port = random.choice(PORTS)
        if port in taken_ports:
            continue
        taken_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                pass  # another program has it


class Record:
    """The record file of a case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **values):
        line = {"t": round(self.now(), 4), "event": event, **values}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Message:
    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields  # lower-case names; the last value of each
        self.body = body

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_message(reader):
    """Returns the next message; raises if the connection ends before."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return Message(lines[0], fields, body)


def answer(status, body=b"", fields=()):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: objects by kind and name, one revision counter."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.revision = 500
        self.objects = {}
        self.history = []  # (revision, kind, object, deleted)
        self.writes = []   # (revision, writer, kind, name, spec or None)
        self.era = 1
        self.away = False
        self.changed = asyncio.Event()  # set by the next write
        self.connections = set()
    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def write(self, writer, kind, name, spec):
        """Writes or, without a spec, deletes an object; returns its
        revision, which is the ack."""
        self.revision += 1
        deleted = spec is None
        known = self.objects.get((kind, name))
        entry = {"meta": {"name": name, "revision": self.revision,
                          "created": known["meta"]["created"] if known
                          else self.revision,
                          "finalizers": [], "deleting": False},
                 "spec": known["spec"] if deleted and known else spec,
                 "status": None}
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = entry
        self.history.append((self.revision, kind, entry, deleted))
        self.writes.append((self.revision, writer, kind, name, spec))
        self.record.write("store_write", writer=writer, kind=kind, name=name,
                          deleted=deleted, era=self.era,
                          revision=self.revision)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def restore(self, copy_revision, away_s):
        """Goes away for a moment and comes back from the copy as of a
        revision. What the operator and the searchers wrote since is written
        again, in the same order; what the system wrote since is gone."""
        self.away = True
        self.record.write("store_away", revision=self.revision)
        for writer in list(self.connections):
            reset(writer)
        await asyncio.sleep(away_s)
        lost = [w for w in self.writes if w[0] > copy_revision]
        kept = [w for w in self.writes if w[0] <= copy_revision]
        before = self.revision
        self.revision = copy_revision
        self.history = [h for h in self.history if h[0] <= copy_revision]
        self.objects = {}
        for revision, _, kind, name, spec in kept:
            if spec is None:
                self.objects.pop((kind, name), None)
            else:
                self.objects[kind, name] = {
                    "meta": {"name": name, "revision": revision,
                             "created": revision, "finalizers": [],
                             "deleting": False},
                    "spec": spec, "status": None}
        self.writes = kept
        self.era += 1
        for _, writer, kind, name, spec in lost:
            if writer != "system":
                await self.write(writer, kind, name, spec)
        self.record.write("store_back", era=self.era, revision=self.revision,
                          revision_before=before,
                          gone=[[w[2], w[3]] for w in lost
                                if w[1] == "system"])
        self.away = False

    async def serve(self, reader, writer):
        if self.away:
            return reset(writer)
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                writer.write(await self.reply(message))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def answer(self, status, body):
        return answer(status, json.dumps(body).encode(),
                      [("Content-Type", "application/json"),
                       ("Store-Era", self.era)])

    async def reply(self, message):
        method, target, _ = message.start.split(" ", 2)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        names = [unquote(p) for p in parts.path.split("/") if p][1:]
        kind = names[0]
        name = names[1] if len(names) > 1 else None
        if method == "POST":
            body = json.loads(message.body)
            name = body["meta"]["name"]
            if (kind, name) in self.objects:
                return self.answer(409, self.objects[kind, name])
            await self.write("system", kind, name, body["spec"])
            return self.answer(200, self.objects[kind, name])
        known = self.objects.get((kind, name))
        if name is not None and known is None:
            return self.answer(404, {})
        if method == "PUT":
            body = json.loads(message.body)
            wanted = body.get("meta", {}).get("revision")
            if wanted not in (None, known["meta"]["revision"]):
                return self.answer(409, known)
            if known["spec"] != body["spec"]:
                await self.write("system", kind, name, body["spec"])
            return self.answer(200, self.objects[kind, name])
        if method == "DELETE":
            await self.write("system", kind, name, None)
            return self.answer(200, {})
        if name is not None:
            return self.answer(200, known)
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait_ms", 0)))
        found = sorted(n for k, n in self.objects
                       if k == kind and n > query.get("after", ""))
        items = [self.objects[kind, n] for n in found[:500]]
        return self.answer(200, {"items": items, "has_more": len(found) > 500,
                                 "at": self.revision})

    async def watch(self, kind, since, wait_ms):
        if since > self.revision:
            self.record.write("watch_gone", kind=kind, since=since,
                              revision=self.revision)
            return self.answer(410, {})

        def events():
            return [{"object": entry, "deleted": deleted}
                    for revision, k, entry, deleted in self.history
                    if k == kind and revision > since]

        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1000
        while not events() and loop.time() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - loop.time())
            except asyncio.TimeoutError:
                break
        return self.answer(200, {"events": events(), "at": self.revision})


class Searcher:
    """A searcher that runs `slots` requests at a time, each for `work_s`, has
    a queue for a few more, and echoes the id of each."""
    QUEUE = 18

    def __init__(self, tier, identity, service, zone, work_s=0.005, slots=6):
        self.tier = tier
        self.id = identity
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.sequence = 0  # of its reports to the store
        self.connections = set()
        self.runs = []  # (attempt id, time of arrival)
        self.free_slots = asyncio.Semaphore(slots)
        self.held = 0  # requests at work or in the queue

    def entry(self, state="ready", warmup_left_ms=0):
        return {"service": self.service, "address": f"{HOST}:{self.port}",
                "zone": self.zone, "version": "v1",
                "max_concurrency": self.slots, "state": state,
                "warmup_left_ms": warmup_left_ms, "sequence": self.sequence,
                "born": self.born}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def report(self, state="ready", warmup_left_ms=0):
        self.sequence += 1
        return await self.tier.store.write(
            "searcher", "servers", self.id, self.entry(state, warmup_left_ms))

    async def crash(self):
        """Ends at once; the platform removes its entry."""
        self.server.close()
        for writer in list(self.connections):
            reset(writer)
        self.tier.record.write("crashed", searcher=self.id)
        await self.tier.store.write("searcher", "servers", self.id, None)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not await self.exchange(message, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def exchange(self, message, writer):
        """Answers one request; returns whether the connection stays open."""
        target = message.get("papayaglade-target-instance")
        if target and target != self.id:
            writer.write(answer(421, fields=[
                ("Papayaglade-Instance-Id", self.id)]))
            return True
        if message.start.startswith("GET /health "):
            writer.write(answer(200, fields=[
                ("Papayaglade-Instance-Id", self.id)]))
            return True
        attempt = message.get("papayaglade-attempt-id")
        if self.held >= self.slots + self.QUEUE:
            writer.write(answer(503, fields=[("Papayaglade-Not-Executed", 1)]))
            return True
        self.runs.append((attempt, self.tier.record.now()))
        self.tier.record.write("run", searcher=self.id, service=self.service,
                               attempt=attempt, request=message.start)
        self.held += 1
        try:
            async with self.free_slots:
                await asyncio.sleep(self.work_s)
        finally:
            self.held -= 1
        writer.write(self.respond(attempt))
        return True

    def stamp(self, attempt):
        text = f"{self.id}/{attempt}".encode()
        return hashlib.sha256(text).hexdigest()[:16]

    def respond(self, attempt):
        return answer(200, f"answer of {self.id}".encode(), [
            ("Papayaglade-Attempt-Id", attempt),
            ("Papayaglade-Server-Stamp", self.stamp(attempt))])


class Instance:
    """One process of the deploy file's role, with its settings file."""

    def __init__(self, tier, name, zone, overrides=None):
        self.tier = tier
        self.name = name
        self.zone = zone
        self.overrides = overrides or {}
        self.ports = {key: free_port() for key in
                      ("front", "ready", "control", "metrics")}
        self.path = os.path.join(tier.folder, f"{name}.json")
        self.process = None
        self.ends = []

    def address(self, key):
        return f"{HOST}:{self.ports[key]}"

    def settings(self):
        fields = {
            "node_name": self.name, "zone": self.zone, "region": "kigali",
            "ip": HOST,
            "bind_addresses": {k: self.address(k)
                               for k in ("front", "ready", "control")},
            "platform": {"address": f"{HOST}:{self.tier.store_port()}"},
            "seed_nodes": [each.address("control")
                           for each in self.tier.instances[:3]],
            "limits": {"max_fds": 4100, "memory_mb": 260, "cpu_share": 0.25},
            "bounds": BOUNDS}
        fields.update(self.overrides)
        with open(os.path.join(ROOT, self.tier.role["template"]),
                  encoding="utf-8") as file:
            text = file.read()
        # Several machines share this one, so each has its own metrics port.
        text = text.replace("{{ip}}:9464", self.address("metrics"))
        return fill_template(text, fields)

    async def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        words = self.tier.role["run"].split()
        log = open(os.path.join(self.tier.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, words[0]), *words[1:], cwd=ROOT, stdout=log,
            stderr=log, env={"PATH": os.environ.get("PATH", ""),
                             "PAPAYAGLADE_CONFIG": self.path})
        log.close()
        self.tier.record.write("started", instance=self.name,
                               pid=self.process.pid)

    def signal(self, number):
        self.tier.record.write("signal", instance=self.name,
                               number=int(number))
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def stop(self):
        """Stops the process as the platform does; returns its exit code."""
        if not self.running():
            return self.process.returncode if self.process else None
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["grace_s"])
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.tier.record.write("ended", instance=self.name,
                               code=self.process.returncode)
        return self.process.returncode

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ports["ready"])
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.ready():
                self.tier.record.write("ready", instance=self.name)
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.name} did not become ready")


class CouldNotRun(Exception):
    """The case cannot be run here."""


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        value = value[part]
    return value


def fill_template(text, fields):
    """Fills in the part of the platform's template language that the
    project's template uses."""
    def section(match):
        items = lookup(fields, match.group(1))
        last = len(items) - 1
        return "".join(
            match.group(2).replace("{{.|json}}", json.dumps(item))
            .replace("{{,}}", "," if i < last else "")
            for i, item in enumerate(items))

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text,
                  flags=re.S)

    def value(match):
        found = lookup(fields, match.group(1))
        return json.dumps(found) if match.group(2) else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Client:
    """Sends requests to instances, each on a connection of its own unless a
    kept one is given."""

    def __init__(self, tier, host="search.example"):
        self.tier = tier
        self.host = host
        self.count = 0

    def head(self, path, attempt, budget_ms, method="GET", body=b"",
             fields=()):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}",
                 f"Papayaglade-Attempt-Id: {attempt}",
                 f"Papayaglade-Deadline-Ms: {budget_ms}"]
        lines += [f"{name}: {value}" for name, value in fields]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def next_id(self):
        self.count += 1
        return f"{os.getpid():x}{self.count:08x}"

    async def ask(self, instance, path, budget_ms=2000, method="GET",
                  body=b"", fields=(), attempt=None):
        """Returns the answer, or None if there was none; records both."""
        attempt = attempt or self.next_id()
        record = self.tier.record
        sent = record.now()
        record.write("sent", attempt=attempt, instance=instance.name,
                     method=method, path=path)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(HOST, instance.ports["front"]), 1)
            writer.write(self.head(path, attempt, budget_ms, method, body,
                                   fields))
            message = await asyncio.wait_for(read_message(reader),
                                             budget_ms / 1000 + 1)
            writer.close()
        except (OSError, asyncio.IncompleteReadError,
                asyncio.TimeoutError) as failure:
            record.write("unanswered", attempt=attempt,
                         why=type(failure).__name__)
            return attempt, sent, None
        record.write("answered", attempt=attempt, status=message.status,
                     body=message.body[:60].decode("latin-1"))
        return attempt, sent, message


class Tier:
    """All parts of one case."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]
        program = self.role["run"].split()[0]
        if not os.access(os.path.join(ROOT, program), os.X_OK):
            raise CouldNotRun(f"{program} is not built")
        self.store = Store(self.record)
        self.searchers = []
        self.instances = []
        self.client = Client(self)
        self.forwarded_store = None

    def store_port(self):
        return self.forwarded_store or self.store.port

    async def add_searcher(self, searcher):
        await searcher.start()
        self.searchers.append(searcher)
        return searcher

    async def close(self):
        for each in self.instances:
            if each.running():
                each.process.kill()
                await each.process.wait()
        self.temporary.cleanup()


def configuration(version, routes, services, **limits):
    """Returns a desired state; `limits` are those of each service."""
    listed = [{"name": s, "health_path": "/health", "max_connections": 100,
               "protocol": "h1", "tls": False, "warmup_s": 3.0,
               "warmup_per_s": 0.0, **limits} for s in services]
    return {"version": version, "routes": routes, "services": listed,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def route(name, prefix, service, kind="idempotent", timeout_ms=5000, **more):
    result = {"name": name, "host": "search.example", "path_prefix": prefix,
              "type": kind, "timeout_ms": timeout_ms,
              "target_latency_ms": 800, "priority": 2, "max_attempts": 2}
    result.update({"service": service} if service else {})
    result.update(more)
    return result


def run_case(play, folder, limit_s=110):
    """Plays a case and ends the process with its exit code. `play` gets the
    tier and returns a list of what broke the rule."""
    async def whole():
        tier = Tier(folder)
        try:
            broken = await asyncio.wait_for(play(tier), limit_s)
            for each in broken[:20]:
                tier.record.write("broken", what=each)
            tier.record.write("verdict", broken=len(broken),
                              trouble=tier.trouble)
            print(f"{len(broken)} breaches" if broken else "the rule held",
                  *broken[:5], sep="\n  ")
            return BROKEN if broken else HELD
        finally:
            await tier.close()

    try:
        sys.exit(asyncio.run(whole()))
    except (CouldNotRun, asyncio.TimeoutError, OSError) as why:
        print(f"could not run: {why!r}")
        sys.exit(COULD_NOT_RUN)
