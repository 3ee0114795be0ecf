"""A stand-in for the platform's store: objects, revisions, watches, outages."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from .http_text import answer, read_message, reset

OUTAGES = ["busy", "reset", "silent"]


class Store:
    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.outage = None  # None, "busy", "reset" or "silent"
        self.outage_ended = 0.0
        self.losing_kind = None  # the next answer to a watch on it is lost
        self.awaited_watches = {}  # kind -> event that its next watch sets
        self.oldest_revision = 100
        self.texts = {}  # placeholder of a spec -> its JSON text
        self.control_ports = {}  # control port -> port of its relay

    async def put(self, kind, name, spec):
        async with self.changed:
            self.revision += 1
            entry = {"meta": {"name": name, "revision": self.revision},
                     "spec": spec, "status": None}
            self.objects[kind, name] = entry
            self.history.append((self.revision, kind, entry, False))
            self.changed.notify_all()

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

    async def delete(self, kind, name):
        async with self.changed:
            entry = self.objects.pop((kind, name), None)
            if entry is None:
                return
            self.revision += 1
            self.history.append((self.revision, kind, entry, True))
            self.changed.notify_all()

    def discard_history(self):
        self.history.clear()
        self.oldest_revision = self.revision

    async def serve(self, port):
        return await asyncio.start_server(self.connection, "127.0.0.1", port)

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

    async def reply(self, message):
        if self.outage == "busy":
            return answer(503)
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
            await self.delete(kind, names[2])
            return answer(200, b"{}")
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait_ms", 0)))
        return self.list(kind, query.get("after", ""))

    async def create(self, kind, body):
        name = body["meta"]["name"]
        if (kind, name) in self.objects:
            return answer(409, json.dumps(self.objects[kind, name]).encode())
        if kind == "entries":
            self.relay_control(body["spec"])
        await self.put(kind, name, body["spec"])
        return answer(200, json.dumps(self.objects[kind, name]).encode())

    def relay_control(self, entry):
        """Replaces the control port of an entry by the port of its relay, so
        that other instances connect through the relay."""
        address, _, port = entry["control"].rpartition(":")
        port = self.control_ports.get(int(port), port)
        entry["control"] = f"{address}:{port}"

    def list(self, kind, after, page=7):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, n] for n in names[:page]]
        return answer(200, self.encode(
            {"items": items, "has_more": len(names) > page,
             "at": self.revision}))

    async def watch_begun(self, kind):
        """Waits until a watch on the kind arrives."""
        self.awaited_watches[kind] = asyncio.Event()
        await self.awaited_watches[kind].wait()

    async def watch(self, kind, since, wait_ms):
        if kind in self.awaited_watches:
            self.awaited_watches.pop(kind).set()
        if since < self.oldest_revision:
            return answer(410, b"{}")

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
        lost = body["events"] and self.losing_kind == kind
        if lost:
            self.losing_kind = None
        if lost or self.outage == "silent":
            await asyncio.sleep(3600)
        return answer(200, self.encode(body))
