"""Tables for people and JSON for programs."""

import json
from collections.abc import Iterable, Mapping, Sequence

from rich.console import Console
from rich.table import Table

console = Console()


def print_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows under column titles."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*("" if entry is None else str(entry) for entry in row))
    console.print(table, soft_wrap=False)


def print_json(content: object) -> None:
    """Print a value as JSON."""
    print(json.dumps(content, indent=2, sort_keys=True, default=str))


def pick(entry: object, *names: str) -> list[object]:
    """Return some fields of a mapping, empty where it has none."""
    if not isinstance(entry, Mapping):
        return ["" for _ in names]
    return [entry.get(name, "") for name in names]
