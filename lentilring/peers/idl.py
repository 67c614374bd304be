"""Structs of the IDL files, read from a compiled file.

Parsing the IDL files would take most of the startup time.

`python -m lentilring.peers.idl` compiles all IDL files of the package into `structs.json`; a test
checks that this file is up to date.
"""

from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import Any, TypeAlias

import msgspec
from thriftpy2.thrift import TPayload, TPayloadMeta, TType

PACKAGE_PATH = Path(__file__).parent.parent
COMPILED_PATH = Path(__file__).with_name("structs.json")

# A Thrift type and its argument: a struct's name, the type of a list's items, or None.
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
    """Return a struct of an IDL file, or None if the file does not declare it."""
    key = _make_file_key(path)
    structs = _structs.get(key)
    if structs is None:
        descriptions = _read_compiled().get(key)
        if descriptions is None:
            descriptions = describe_file(path)
        structs = _structs[key] = _build_structs(descriptions)
    return structs.get(name)


def describe_file(path: Path) -> tuple[StructDescription, ...]:
    """Parse an IDL file and describe its structs."""
    # Imported here because the parser builds its tables on import, and again on each use.
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
    """Parse all IDL files of the package and describe their structs."""
    paths = sorted(PACKAGE_PATH.glob("*/*.thrift"))
    return {_make_file_key(path): describe_file(path) for path in paths}


def encode_descriptions(descriptions: FileDescriptions) -> bytes:
    """Return descriptions in the format of `structs.json`."""
    return msgspec.json.format(msgspec.json.encode(descriptions), indent=1) + b"\n"


def _read_compiled() -> FileDescriptions:
    if not _compiled and COMPILED_PATH.is_file():
        _compiled.update(msgspec.json.decode(COMPILED_PATH.read_bytes(), type=FileDescriptions))
    return _compiled


def _make_file_key(path: Path) -> str:
    return (
        path.relative_to(PACKAGE_PATH).as_posix()
        if path.is_relative_to(PACKAGE_PATH)
        else str(path)
    )


def _describe_field(number: int, spec: tuple[Any, ...]) -> FieldDescription:
    thrift_type, name, *type_arguments, required = spec
    return FieldDescription(
        number=number,
        name=name,
        type=_describe_type(thrift_type, type_arguments[0] if type_arguments else None),
        required=required,
    )


def _describe_type(thrift_type: int, type_argument: Any) -> TypeDescription:
    if type_argument is None:
        return thrift_type, None
    if isinstance(type_argument, type):
        return thrift_type, type_argument.__name__
    item = (type_argument, None) if isinstance(type_argument, int) else type_argument
    return thrift_type, _describe_type(*item)


def _build_structs(descriptions: tuple[StructDescription, ...]) -> dict[str, type]:
    by_name = {struct.name: struct for struct in descriptions}
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
    thrift_type, type_argument = field.type
    built_argument = _build_type_argument(type_argument, find)
    if built_argument is None:
        return thrift_type, field.name, field.required
    return thrift_type, field.name, built_argument, field.required


def _build_type_argument(type_argument: Any, find: Callable[[str], type]) -> Any:
    if type_argument is None:
        return None
    if isinstance(type_argument, str):
        return find(type_argument)
    item_type, item_argument = type_argument
    built_argument = _build_type_argument(item_argument, find)
    return item_type if built_argument is None else (item_type, built_argument)


if __name__ == "__main__":
    COMPILED_PATH.write_bytes(encode_descriptions(describe_package()))
