"""Upper bounds of encoded message sizes, to fill datagrams without encoding messages twice."""

from dataclasses import fields, is_dataclass
from functools import singledispatch

from ..peers.transport import MAX_DATAGRAM_BYTES

# The transport adds an authentication code, the sender, the type name and framing.
ENVELOPE_BYTES = 200
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES
FIELD_HEADER_BYTES = 3
LIST_HEADER_BYTES = 5
STRING_HEADER_BYTES = 4
NUMBER_BYTES = 8
# Size of a 32-bit key in a list; a variable-length integer takes up to 5 bytes.
KEY_BYTES = 5
STOP_BYTES = 1


@singledispatch
def estimate_size(value: object) -> int:
    """Return the maximum size in bytes of a value in thrift's binary protocol."""
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
