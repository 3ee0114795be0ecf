"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio


class Message:
    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_message(reader, head=False):
    """Returns the next message, or None if the connection ended before it."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", 0))
    body = b"" if head or not length else await reader.readexactly(length)
    return Message(lines[0], fields, body)


def answer(status, body=b"", fields=(), reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
