"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import socket
import struct


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


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return body
        body += chunk


async def read_whole_message(reader):
    """Returns the next message; raises IncompleteReadError, or an OSError, if
    the connection ends before."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in fields or not lines[0].startswith("HTTP/"):
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    else:
        body = await reader.read()
    return Message(lines[0], fields, body)


async def read_message(reader):
    """Returns the next message, or None if the connection ended before its
    end."""
    try:
        return await read_whole_message(reader)
    except (asyncio.IncompleteReadError, OSError):
        return None


def answer(status, body=b"", fields=(), reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Ends a connection by a reset, not by an orderly close."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
    writer.transport.abort()


def chunked(body, size):
    """Returns the pieces of a body in chunks of at most `size` bytes."""
    pieces = [body[i:i + size] for i in range(0, len(body), size)]
    return [b"%x\r\n%s\r\n" % (len(p), p) for p in pieces] + [b"0\r\n\r\n"]
