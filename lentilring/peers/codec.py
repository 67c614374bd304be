"""Encoding of messages: the name of the type, then a struct in Thrift's binary protocol.

The IDL file of a package declares the structs of its messages: `lentilring/pool/pool.thrift`
declares those of `lentilring.pool.messages`. Decoding skips unknown fields and uses defaults for
absent ones, so that processes of two versions understand each other during a rolling upgrade.
"""

import importlib
from collections.abc import Callable
from dataclasses import MISSING, dataclass, fields, is_dataclass
from enum import Enum
from pathlib import Path
from struct import Struct
from struct import error as StructError  # noqa: N812
from types import NoneType, UnionType
from typing import Any, TypeAlias, TypeVar, Union, get_args, get_origin, get_type_hints

from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TType
from thriftpy2.transport.memory import TCyMemoryBuffer

from ..errors import LentilringError
from .idl import find_struct
from .messages import MESSAGES

M = TypeVar("M")
Converter: TypeAlias = Callable[[Any], Any]

MAX_NESTING_DEPTH = 32

SCALAR_TYPES: dict[type, tuple[int, ...]] = {
    bool: (TType.BOOL,),
    int: (TType.I32, TType.I64),
    float: (TType.DOUBLE,),
    str: (TType.STRING,),
    bytes: (TType.BINARY,),
}
FIXED_SIZES_BYTES = {
    TType.BOOL: 1,
    TType.BYTE: 1,
    TType.I16: 2,
    TType.I32: 4,
    TType.I64: 8,
    TType.DOUBLE: 8,
}
LENGTH_FORMAT = Struct(">i")


@dataclass(kw_only=True, eq=False)
class DecodeFailed(LentilringError):
    """Report bytes that are not a valid message."""

    message: str
    detail: str


@dataclass(kw_only=True, eq=False)
class EncodeFailed(LentilringError):
    """Report a message whose values do not fit its struct, or that is not registered."""

    message: str
    detail: str


@dataclass(kw_only=True, eq=False)
class IdlMismatch(LentilringError):
    """Report a message class that differs from its struct in the IDL file."""

    message: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class _BoundField:
    name: str
    optional: bool
    default: Callable[[], Any] | None
    convert: Converter | None


@dataclass(frozen=True, kw_only=True)
class _Binding:
    cls: type
    struct: type
    fields: tuple[_BoundField, ...]

    def build(self, struct: Any) -> Any:
        """Convert a Thrift struct to a message; raise DecodeFailed if a field is missing."""
        values: dict[str, Any] = {}
        for field in self.fields:
            value = getattr(struct, field.name)
            if value is not None:
                values[field.name] = value if field.convert is None else field.convert(value)
            elif field.optional:
                values[field.name] = None
            elif field.default is not None:
                values[field.name] = field.default()
            else:
                raise DecodeFailed(message=self.cls.__name__, detail=f"no field {field.name}")
        return self.cls(**values)


_bindings: dict[type, _Binding] = {}


def encode(message: object) -> bytes:
    """Encode a registered message as its type name and struct; raise EncodeFailed."""
    name = type(message).__name__
    if MESSAGES.get(name) is not type(message):
        raise EncodeFailed(message=name, detail="is not a registered message")
    encoded_name = name.encode()
    return bytes((len(encoded_name),)) + encoded_name + encode_struct(message)


def decode(data: bytes) -> object:
    """Decode a message from the bytes that `encode` returned; raise DecodeFailed."""
    if not data or len(data) < 1 + data[0]:
        raise DecodeFailed(message="", detail="type name is incomplete")
    end = 1 + data[0]
    name = data[1:end].decode(errors="replace")
    cls = MESSAGES.get(name)
    if cls is None:
        raise DecodeFailed(message=name, detail="unknown message type")
    return decode_struct(cls, data[end:])


def encode_struct(message: object) -> bytes:
    """Encode a message's struct without its type name; raise EncodeFailed."""
    bind(type(message))
    buffer = TCyMemoryBuffer()
    try:
        TCyBinaryProtocol(buffer).write_struct(message)
    except Exception as error:
        raise EncodeFailed(message=type(message).__name__, detail=str(error)) from error
    return buffer.getvalue()


def decode_struct(cls: type[M], data: bytes) -> M:
    """Decode a message of a known class from its struct's bytes; raise DecodeFailed."""
    binding = bind(cls)
    try:
        check_layout(data)
        protocol = TCyBinaryProtocol(TCyMemoryBuffer(data), strict_decode=True)
        struct = protocol.read_struct(binding.struct())
        return binding.build(struct)
    except DecodeFailed as error:
        error.message = error.message or cls.__name__
        raise
    except Exception as error:
        detail = f"{type(error).__name__}: {error}"
        raise DecodeFailed(message=cls.__name__, detail=detail) from error


def bind(cls: type) -> _Binding:
    """Associate a message class with its struct; raise IdlMismatch if they differ.

    The class gets the struct's `thrift_spec`, so that thriftpy2 encodes instances directly.
    """
    binding = _bindings.get(cls)
    if binding is None:
        struct = _find_struct(cls)
        binding = _Binding(cls=cls, struct=struct, fields=_bind_fields(cls, struct))
        cls.thrift_spec = struct.thrift_spec  # type: ignore[attr-defined]
        _bindings[cls] = binding
    return binding


def find_idl(cls: type) -> Path:
    """Return the path of the IDL file that declares the struct of a message class."""
    package = importlib.import_module(cls.__module__.rpartition(".")[0])
    package_name = package.__name__.rpartition(".")[2]
    return Path(str(package.__file__)).with_name(f"{package_name}.thrift")


def check_layout(data: bytes) -> None:
    """Raise DecodeFailed unless the bytes are exactly one struct of thrift's binary protocol.

    thriftpy2's compiled reader does not check for the end of its memory buffer and trusts the
    counts that it reads: a damaged length makes it loop for hours or read uninitialised memory.
    """
    try:
        end = _skip_struct(data, 0, 0)
    except (IndexError, StructError):
        raise DecodeFailed(message="", detail="struct is incomplete") from None
    if end != len(data):
        raise DecodeFailed(message="", detail="bytes after the end of the struct")


def _skip_struct(data: bytes, offset: int, depth: int) -> int:
    if depth > MAX_NESTING_DEPTH:
        raise DecodeFailed(message="", detail="nested too deeply")
    while (field_type := data[offset]) != TType.STOP:
        size = FIXED_SIZES_BYTES.get(field_type)
        if size is not None:
            offset += 3 + size
        else:
            offset = _skip_value(data, offset + 3, field_type, depth + 1)
    return offset + 1


def _skip_value(data: bytes, offset: int, value_type: int, depth: int) -> int:
    if value_type == TType.STRING:
        return offset + 4 + _read_length(data, offset)
    if value_type == TType.STRUCT:
        return _skip_struct(data, offset, depth)
    if value_type in (TType.LIST, TType.SET):
        count = _read_length(data, offset + 1)
        return _skip_items(data, offset + 5, (data[offset],), count, depth)
    if value_type == TType.MAP:
        count = _read_length(data, offset + 2)
        return _skip_items(data, offset + 6, (data[offset], data[offset + 1]), count, depth)
    raise DecodeFailed(message="", detail=f"unknown type {value_type}")


def _skip_items(data: bytes, offset: int, types: tuple[int, ...], count: int, depth: int) -> int:
    if depth > MAX_NESTING_DEPTH:
        raise DecodeFailed(message="", detail="nested too deeply")
    sizes = [FIXED_SIZES_BYTES.get(item_type) for item_type in types]
    if None not in sizes:
        return offset + count * sum(size for size in sizes if size is not None)
    for _ in range(count):
        for item_type, size in zip(types, sizes, strict=True):
            if size is not None:
                offset += size
            else:
                offset = _skip_value(data, offset, item_type, depth + 1)
    return offset


def _read_length(data: bytes, offset: int) -> int:
    length: int = LENGTH_FORMAT.unpack_from(data, offset)[0]
    if length < 0:
        raise DecodeFailed(message="", detail="negative length")
    return length


def _find_struct(cls: type) -> Any:
    path = find_idl(cls)
    if not path.is_file():
        raise IdlMismatch(message=cls.__name__, detail=f"no file {path}")
    struct = find_struct(path, cls.__name__)
    if struct is None:
        raise IdlMismatch(message=cls.__name__, detail=f"no struct in {path.name}")
    return struct


def _bind_fields(cls: type, struct: Any) -> tuple[_BoundField, ...]:
    assert is_dataclass(cls)
    hints = get_type_hints(cls)
    declared = [(spec[1], spec[0], spec[2:-1]) for spec in struct.thrift_spec.values()]
    names = [field.name for field in fields(cls)]
    if names != [name for name, _, _ in declared]:
        raise IdlMismatch(message=cls.__name__, detail=f"fields differ: {names}")
    bound = []
    for field, (name, thrift_type, type_arguments) in zip(fields(cls), declared, strict=True):
        hint, optional = _split_optional(hints[name])
        try:
            convert = _bind_type(hint, thrift_type, type_arguments[0] if type_arguments else None)
        except TypeError as error:
            raise IdlMismatch(message=cls.__name__, detail=f"field {name}: {error}") from error
        bound.append(
            _BoundField(name=name, optional=optional, default=_find_default(field), convert=convert)
        )
    return tuple(bound)


def _find_default(field: Any) -> Callable[[], Any] | None:
    if field.default is not MISSING:
        return lambda: field.default
    return None if field.default_factory is MISSING else field.default_factory


def _split_optional(hint: Any) -> tuple[Any, bool]:
    if get_origin(hint) not in (Union, UnionType):
        return hint, False
    others = [entry for entry in get_args(hint) if entry is not NoneType]
    return (others[0] if len(others) == 1 else hint), True


def _bind_type(hint: Any, thrift_type: int, type_argument: Any) -> Converter | None:
    """Return a converter from a Thrift value to a type, or None if the value needs no conversion.

    Raise TypeError if the Thrift type does not match."""
    if hint in SCALAR_TYPES:
        if thrift_type not in SCALAR_TYPES[hint]:
            raise TypeError(f"{hint.__name__} is thrift type {thrift_type}")
        return None
    if isinstance(hint, type) and issubclass(hint, Enum) and issubclass(hint, str):
        if thrift_type != TType.STRING:
            raise TypeError(f"{hint.__name__} is thrift type {thrift_type}")
        return hint
    if isinstance(hint, type) and is_dataclass(hint):
        if thrift_type != TType.STRUCT or type_argument.__name__ != hint.__name__:
            raise TypeError(f"{hint.__name__} is thrift type {thrift_type}")
        return bind(hint).build
    arguments = get_args(hint)
    if get_origin(hint) is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        if thrift_type != TType.LIST:
            raise TypeError(f"{hint} is thrift type {thrift_type}")
        item_type, item_argument = (
            (type_argument, None) if isinstance(type_argument, int) else type_argument
        )
        return _make_items_converter(_bind_type(arguments[0], item_type, item_argument))
    raise TypeError(f"{hint} has no Thrift type")


def _make_items_converter(convert: Converter | None) -> Converter:
    if convert is None:
        return tuple
    return lambda values: tuple([convert(value) for value in values])
