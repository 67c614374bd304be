"""Structs of the IDL files, from a compiled form, since parsing the files takes most of a start.

`python -m lentilring.peers.idl` compiles all IDL files of the package into `structs.json`; a test
compares the two.
"""

from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import Any, TypeAlias

import msgspec
from thriftpy2.thrift import TPayload, TPayloadMeta, TType

PACKAGE = Path(__file__).parent.parent
COMPILED = Path(__file__).with_name("structs.json")

# A thrift type with what it holds: the name of a struct, the type of items, or nothing.
TypeDescription: TypeAlias = "tuple[int, str | TypeDescription | None]"


class FieldDescription(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one field of a struct."""

    number: int
    name: str
    type: Any
    required: bool


class StructDescription(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one struct."""

    name: str
    fields: tuple[FieldDescription, ...]


FileDescriptions: TypeAlias = dict[str, tuple[StructDescription, ...]]

_compiled: FileDescriptions = {}
_structs: dict[str, dict[str, type]] = {}


def find_struct(path: Path, name: str) -> type | None:
    """Return a struct of an IDL file, None if the file does not have it."""
    key = _name_file(path)
    structs = _structs.get(key)
    if structs is None:
        described = _read_compiled().get(key)
        if described is None:
            described = describe_file(path)
        structs = _structs[key] = _build_structs(described)
    return structs.get(name)


def describe_file(path: Path) -> tuple[StructDescription, ...]:
    """Parse an IDL file."""
    # The parser builds its tables when it is imported and at each use.
    from thriftpy2.parser import load

    module = load(str(path), module_name=f"{path.stem}_{abs(hash(str(path)))}_thrift")
    return tuple(
        StructDescription(
            name=struct.__name__,
            fields=tuple(
                _describe_field(number, spec) for number, spec in struct.thrift_spec.items()
            ),
        )
        for struct in _list_structs(module)
    )


def _list_structs(module: ModuleType) -> list[Any]:
    """Return the structs of a file and of those that it includes."""
    meta = module.__thrift_meta__
    included = [struct for entry in meta["includes"] for struct in _list_structs(entry)]
    return [*included, *meta["structs"]]


def describe_package() -> FileDescriptions:
    """Parse all IDL files of the package."""
    paths = sorted(PACKAGE.glob("*/*.thrift"))
    return {_name_file(path): describe_file(path) for path in paths}


def encode_descriptions(descriptions: FileDescriptions) -> bytes:
    """Return the compiled form."""
    return msgspec.json.format(msgspec.json.encode(descriptions), indent=1) + b"\n"


def _read_compiled() -> FileDescriptions:
    if not _compiled and COMPILED.is_file():
        _compiled.update(msgspec.json.decode(COMPILED.read_bytes(), type=FileDescriptions))
    return _compiled


def _name_file(path: Path) -> str:
    return path.relative_to(PACKAGE).as_posix() if path.is_relative_to(PACKAGE) else str(path)


def _describe_field(number: int, spec: tuple[Any, ...]) -> FieldDescription:
    thrift_type, name, *detail, required = spec
    return FieldDescription(
        number=number,
        name=name,
        type=_describe_type(thrift_type, detail[0] if detail else None),
        required=required,
    )


def _describe_type(thrift_type: int, detail: Any) -> TypeDescription:
    if detail is None:
        return thrift_type, None
    if isinstance(detail, type):
        return thrift_type, detail.__name__
    item = (detail, None) if isinstance(detail, int) else detail
    return thrift_type, _describe_type(*item)


def _build_structs(described: tuple[StructDescription, ...]) -> dict[str, type]:
    by_name = {struct.name: struct for struct in described}
    structs: dict[str, type] = {}

    def find(name: str) -> type:
        if name not in structs:
            structs[name] = _build_struct(by_name[name], find)
        return structs[name]

    for name in by_name:
        find(name)
    return structs


def _build_struct(struct: StructDescription, find: Callable[[str], type]) -> type:
    attributes = {
        "thrift_spec": {field.number: _build_field(field, find) for field in struct.fields},
        "default_spec": [(field.name, None) for field in struct.fields],
        "_ttype": TType.STRUCT,
    }
    built: type = TPayloadMeta(struct.name, (TPayload,), attributes)
    return built


def _build_field(field: FieldDescription, find: Callable[[str], type]) -> tuple[Any, ...]:
    thrift_type, detail = field.type
    held = _build_detail(detail, find)
    if held is None:
        return thrift_type, field.name, field.required
    return thrift_type, field.name, held, field.required


def _build_detail(detail: Any, find: Callable[[str], type]) -> Any:
    if detail is None:
        return None
    if isinstance(detail, str):
        return find(detail)
    item_type, item_detail = detail
    held = _build_detail(item_detail, find)
    return item_type if held is None else (item_type, held)


if __name__ == "__main__":
    COMPILED.write_bytes(encode_descriptions(describe_package()))
