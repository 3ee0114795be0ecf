"""A stand-in for the platform's store: objects, revisions, watches, outages, and
restores from a copy that lacks the latest writes."""

import asyncio
import json
import math
from urllib.parse import parse_qs, unquote, urlsplit

from .http_text import answer, read_message, reset

OUTAGES = ["busy", "reset", "silent"]
REFUSALS = [429, 503, "reset", "silent"]
USERS, SYSTEM = "users", "system"  # who writes: those of the platform, or us


class Write:
    """One write that the store has acknowledged; without a spec, a deletion."""

    def __init__(self, at_s, revision, kind, name, spec):
        self.at_s = at_s
        self.revision = revision
        self.kind = kind
        self.name = name
        self.spec = spec


class Store:
    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.waiting = set()  # futures of watches that wait for a change
        self.outage = None  # None, "busy", "reset" or "silent"
        self.outage_ended = 0.0
        self.refusal = 503  # of the calls of some instances: REFUSALS
        self.losing_kind = None  # the next answer to a watch on it is lost
        self.lost_s = -math.inf  # when one was lost
        self.awaited_watches = {}  # kind -> event that its next watch sets
        self.oldest_revision = 100
        self.texts = {}  # placeholder of a spec -> its JSON text
        self.control_ports = {}  # control port -> port of its relay
        self.era = 1
        self.writes = []
        self.theirs = {}  # what the users have written last, None if deleted

    async def put(self, kind, name, spec, writer=USERS):
        self.write(kind, name, spec, writer)

    def write(self, kind, name, spec, writer=USERS):
        self.revision += 1
        entry = self.apply(self.record(writer, kind, name, spec))
        self.history.append((self.revision, kind, entry, False))
        self.wake_watches()

    def wake_watches(self):
        for each in self.waiting:
            if not each.done():
                each.set_result(None)

    async def changed(self, timeout_s):
        """Waits for a change, or until the time is over."""
        change = asyncio.get_running_loop().create_future()
        self.waiting.add(change)
        await asyncio.wait([change], timeout=timeout_s)
        self.waiting.discard(change)

    def record(self, writer, kind, name, spec):
        now = asyncio.get_running_loop().time()
        self.writes.append(Write(now, self.revision, kind, name, spec))
        if writer == USERS:
            self.theirs.pop((kind, name), None)  # the last is the latest
            self.theirs[kind, name] = spec
        return self.writes[-1]

    def apply(self, write):
        """Applies a write to the objects and returns its object, if any."""
        key = write.kind, write.name
        if write.spec is None:
            return self.objects.pop(key, None)
        self.objects[key] = {
            "meta": {"name": write.name, "revision": write.revision},
            "spec": write.spec, "status": None}
        return self.objects[key]

    async def load_copy(self, age_s):
        """Goes back to what was written until some seconds ago, in a new era."""
        until_s = asyncio.get_running_loop().time() - age_s
        self.writes = [each for each in self.writes if each.at_s <= until_s]
        self.objects = {}
        for each in self.writes:
            self.apply(each)
        self.revision = self.writes[-1].revision if self.writes else 100
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self.history = [each for each in self.history
                        if each[0] <= self.revision]
        self.era += 1
        self.wake_watches()

    def lacks(self, key):
        """Whether the object is not as the users have written it last."""
        known = self.objects.get(key)
        return (known and known["spec"]) != self.theirs[key]

    async def write_again(self, seconds):
        """Writes again what the users have written and the store has lost, over
        some time. If the store is restored meanwhile, the rest is left to the
        call that follows."""
        era = self.era
        lost = [key for key in self.theirs if self.lacks(key)]
        for key in lost:
            await asyncio.sleep(seconds / len(lost))
            if self.era != era:
                return
            if not self.lacks(key):
                continue
            if self.theirs[key] is None:
                self.remove(*key)
            else:
                self.write(*key, self.theirs[key])

    async def put_text(self, kind, name, text):
        """Writes an object whose spec is any JSON text."""
        placeholder = f"@text {len(self.texts)}@"
        self.texts[json.dumps(placeholder).encode()] = text
        await self.put(kind, name, placeholder)

    def encode(self, value):
        data = json.dumps(value).encode()
        for placeholder, text in self.texts.items():
            data = data.replace(placeholder, text)
        return data

    async def delete(self, kind, name, writer=USERS):
        self.remove(kind, name, writer)

    def remove(self, kind, name, writer=USERS):
        if writer == USERS:
            self.theirs[kind, name] = None
        if (kind, name) not in self.objects:
            return
        self.revision += 1
        entry = self.apply(self.record(writer, kind, name, None))
        self.history.append((self.revision, kind, entry, True))
        self.wake_watches()

    def discard_history(self):
        self.history.clear()
        self.oldest_revision = self.revision

    async def serve(self, port):
        return await asyncio.start_server(self.connection, "127.0.0.1", port)

    async def serve_refusals(self, port):
        """Refuses all calls, or does not answer them, by `refusal`."""
        async def connection(reader, writer):
            while await read_message(reader) is not None:
                if self.refusal == "silent":
                    continue
                if self.refusal == "reset":
                    return reset(writer)
                writer.write(self.answer(self.refusal))
            writer.close()

        return await asyncio.start_server(connection, "127.0.0.1", port)

    async def connection(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                reply = await self.reply(message)
                if reply is None:
                    reset(writer)
                    return
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(self, status, body=b""):
        return answer(status, body, [("Store-Era", self.era)])

    async def reply(self, message):
        if self.outage == "busy":
            return self.answer(503)
        if self.outage == "reset":
            return None
        if self.outage == "silent":
            await asyncio.sleep(3600)
        method, target, _ = message.start.split(" ", 2)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        names = [unquote(p) for p in parts.path.split("/") if p]
        kind = names[1]
        if method == "POST":
            return await self.create(kind, json.loads(message.body))
        if method == "DELETE":
            await self.delete(kind, names[2], SYSTEM)
            return self.answer(200, b"{}")
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait_ms", 0)))
        return self.list(kind, query.get("after", ""))

    async def create(self, kind, body):
        name = body["meta"]["name"]
        if (kind, name) in self.objects:
            return self.answer(409, json.dumps(self.objects[kind, name]).encode())
        if kind == "entries":
            self.relay_control(body["spec"])
        await self.put(kind, name, body["spec"], SYSTEM)
        return self.answer(200, json.dumps(self.objects[kind, name]).encode())

    def relay_control(self, entry):
        """Replaces the control port of an entry by the port of its relay, so
        that other instances connect through the relay."""
        address, _, port = entry["control"].rpartition(":")
        port = self.control_ports.get(int(port), port)
        entry["control"] = f"{address}:{port}"

    def list(self, kind, after, page=7):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, n] for n in names[:page]]
        return self.answer(200, self.encode(
            {"items": items, "has_more": len(names) > page,
             "at": self.revision}))

    async def watch_begun(self, kind):
        """Waits until a watch on the kind arrives."""
        self.awaited_watches[kind] = asyncio.Event()
        await self.awaited_watches[kind].wait()

    async def watch(self, kind, since, wait_ms):
        if kind in self.awaited_watches:
            self.awaited_watches.pop(kind).set()
        if not self.oldest_revision <= since <= self.revision:
            return self.answer(410, b"{}")
        era = self.era

        def events():
            return [{"deleted": gone, "object": entry}
                    for at, k, entry, gone in self.history
                    if at > since and k == kind]

        end = asyncio.get_running_loop().time() + wait_ms / 1000
        while (self.era == era and not events()
               and (left_s := end - asyncio.get_running_loop().time()) > 0):
            await self.changed(left_s)
        if self.era != era:
            return None  # the connection ends with the store's process
        body = {"events": events(), "at": self.revision}
        lost = body["events"] and self.losing_kind == kind
        if lost:
            self.losing_kind = None
            self.lost_s = asyncio.get_running_loop().time()
        if lost or self.outage == "silent":
            await asyncio.sleep(3600)
        return self.answer(200, self.encode(body))
