"""Entries of kind `servers` as another writer may leave them."""

import json

LARGEST_BYTES = 1_000_000  # of an entry that the store takes
NESTING = 200_000
# Values that are no number, text or object as an entry needs it, as JSON.
WRONG_TYPES = [b"null", b"true", b"-1", b"1e400", b"%d" % 2 ** 70, b"[]", b"{}",
               b'"x"', b"1.5"]
PORTS = ["0", "-1", "65536", "99999999999999999999", "", "80x"]
NOT_UTF_8 = [b'"\xff\xfe"', b'"\\udce9"', b'"a\xc3"', b'"\\u0000"']
TEXT_FIELDS = ["service", "address", "zone", "state"]
NUMBER_FIELDS = ["max_concurrency", "warmup_left_ms", "sequence", "born"]


def nested(opening, closing):
    depth = min(NESTING, LARGEST_BYTES // len(opening + closing))
    return opening * depth + b"1" + closing * depth


def with_field(entry, field, value):
    """Returns an entry as JSON, with the JSON text `value` in a field."""
    text = json.dumps({**entry, field: "@value@"}).encode()
    return text.replace(b'"@value@"', value)


def odd_entry(entry, random):
    """Returns the JSON text of an entry, made odd in one place; `entry` is a
    valid one, of an upstream that nothing may use."""
    form = random.choice(["nested", "number", "type", "port", "text", "missing",
                          "whole"])
    field = random.choice(TEXT_FIELDS + NUMBER_FIELDS)
    if form == "nested":
        return with_field(entry, field, random.choice(
            [nested(b"[", b"]"), nested(b'{"a":', b"}")]))
    if form == "number":
        # The pages leave open whether such an entry names an upstream.
        entry = {**entry, "address": "127.0.0.1:1"}
        return with_field(entry, random.choice(NUMBER_FIELDS), random.choice(
            [b"1e400", b"-1e400", b"%d" % 2 ** 70, b"%d" % -2 ** 70, b"-1"]))
    if form == "type":
        return with_field(entry, random.choice(["service", "address"]),
                          random.choice(WRONG_TYPES))
    if form == "port":
        return with_field(entry, "address", json.dumps(
            f"127.0.0.1:{random.choice(PORTS)}").encode())
    if form == "text":
        return with_field(entry, random.choice(["service", "address", "state"]),
                          random.choice(NOT_UTF_8))
    if form == "missing":
        left_out = random.choice(["service", "address", "state"])
        return json.dumps({name: value for name, value in entry.items()
                           if name != left_out}).encode()
    return random.choice([nested(b"[", b"]"), *WRONG_TYPES])
