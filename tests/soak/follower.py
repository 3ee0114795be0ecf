"""An instance that follows another one, as far as the other one can tell: it
subscribes to the copy of the store, and reads what it is sent or does not."""

import asyncio
import base64
import os
import socket
import struct

CONFIGURATION_KIND = 0
SUBSCRIPTION = 0
BINARY_FRAME = 0x82
MASKED = 0x80
UNKNOWN_DIGEST = 1


def encode_head(major_type, value):
    """Returns the head of a CBOR item."""
    head = major_type << 5
    if value < 24:
        return bytes([head | value])
    return bytes([head | 27]) + struct.pack(">Q", value)


def encode(value):
    """Returns a non-negative number, a text or a list in CBOR."""
    if isinstance(value, int):
        return encode_head(0, value)
    if isinstance(value, str):
        text = value.encode()
        return encode_head(3, len(text)) + text
    return encode_head(4, len(value)) + b"".join(map(encode, value))


class Follower:
    def __init__(self, name):
        self.name = name
        self.reader = None
        self.writer = None

    async def connect(self, port, receive_bytes=None):
        plain = socket.socket()
        if receive_bytes:
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                             receive_bytes)
        plain.connect(("127.0.0.1", port))
        plain.setblocking(False)
        self.reader, self.writer = await asyncio.open_connection(
            sock=plain, limit=4096)
        key = base64.b64encode(os.urandom(16)).decode()
        self.writer.write(
            f"GET / HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\n"
            "Upgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Key: {key}\r\n"
            "Sec-WebSocket-Version: 13\r\n\r\n".encode())
        await self.reader.readuntil(b"\r\n\r\n")

    def subscribe(self, revision):
        """Asks for the configurations after a revision."""
        payload = encode([SUBSCRIPTION, self.name,
                          [CONFIGURATION_KIND, revision, UNKNOWN_DIGEST]])
        # The key is zero, so the payload stays as it is.
        self.writer.write(bytes([BINARY_FRAME, MASKED | len(payload)])
                          + bytes(4) + payload)

    async def read_length(self):
        """Returns the length of the next message."""
        head = await self.reader.readexactly(2)
        length = head[1]
        if length == 126:
            length, = struct.unpack(">H", await self.reader.readexactly(2))
        elif length == 127:
            length, = struct.unpack(">Q", await self.reader.readexactly(8))
        return length

    async def skip(self, length):
        """Reads the payload of a message."""
        while length > 0:
            length -= len(await self.reader.readexactly(min(length, 65536)))

    def close(self):
        self.writer.close()
