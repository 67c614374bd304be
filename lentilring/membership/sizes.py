"""Upper estimates of encoded message sizes, so that datagrams are filled without encoding twice."""

from dataclasses import fields, is_dataclass
from functools import singledispatch

from ..peers.transport import MAX_DATAGRAM_BYTES

# Authentication code, sender, type name and framing that the transport adds.
ENVELOPE_BYTES = 200
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES
FIELD_HEADER_BYTES = 3
LIST_HEADER_BYTES = 5
STRING_HEADER_BYTES = 4
NUMBER_BYTES = 8
# A list of 32-bit keys; 5 bytes where the protocol uses variable-length integers.
KEY_BYTES = 5
STOP_BYTES = 1


@singledispatch
def estimate_size(value: object) -> int:
    """Return the most bytes that a value takes in thrift's binary protocol."""
    if not is_dataclass(value):
        return 0 if value is None else NUMBER_BYTES
    parts = (estimate_size(getattr(value, entry.name)) for entry in fields(value))
    return STOP_BYTES + sum(FIELD_HEADER_BYTES + part for part in parts)


@estimate_size.register
def _(value: str) -> int:
    return STRING_HEADER_BYTES + len(value.encode())


@estimate_size.register
def _(value: tuple) -> int:
    if value and isinstance(value[0], int):
        return LIST_HEADER_BYTES + KEY_BYTES * len(value)
    return LIST_HEADER_BYTES + sum(estimate_size(entry) for entry in value)
