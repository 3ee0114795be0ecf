"""The answers of stand-ins for upstreams: whole in each form, or broken off."""

from .http_text import chunked

CHUNK_BYTES = 50


def pieces_of(body, fields, form):
    """Returns the lines of the head and the pieces of the body; the form is
    "length", "chunked" or "to_close", which ends with the connection."""
    lines = [b"HTTP/1.1 200 X\r\n"]
    lines += [f"{name}: {value}\r\n".encode() for name, value in fields]
    if form == "chunked":
        lines.append(b"Transfer-Encoding: chunked\r\n")
    elif form == "length":
        lines.append(b"Content-Length: %d\r\n" % len(body))
    else:
        lines.append(b"Connection: close\r\n")
    pieces = chunked(body, CHUNK_BYTES) if form == "chunked" else [body]
    return lines + [b"\r\n"], pieces


def whole_answer(body, fields, form):
    head, pieces = pieces_of(body, fields, form)
    return b"".join(head + pieces)


def cut_answer(body, fields, random):
    """Returns the start of an answer that breaks off, and whether the
    connection has to be reset for the end to show."""
    form = random.choice(["length", "chunked", "to_close"])
    head, pieces = pieces_of(body, fields, form)
    place = random.choice(["line", "head", "piece", "body"])
    reset = random.random() < .5
    if place == "line":  # behind a whole line of the head
        return b"".join(head[:random.randint(1, len(head) - 1)]), reset
    text, head_bytes = b"".join(head + pieces), len(b"".join(head))
    if place == "head":
        return text[:random.randint(1, head_bytes - 1)], reset
    if place == "piece":  # between chunks, or behind the size of a chunk
        at = random.randint(0, len(pieces) - 1)
        start = head_bytes + len(b"".join(pieces[:at]))
        return text[:start + random.choice([0, 1, 2, 4])], True
    cut = random.randint(head_bytes, len(text) - 1)
    return text[:cut], reset or form == "to_close"
