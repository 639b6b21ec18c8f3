"""Prints tables and JSON."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

import click

_GAP = "  "


def echo_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def echo_table(rows: Sequence[Mapping[str, Any]]) -> None:
    """Prints rows as a table; its columns are the keys in order of appearance."""
    if not rows:
        click.echo("(none)")
        return
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [columns, *([format_cell(row.get(key)) for key in columns] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = (text.ljust(width) for text, width in zip(line, widths, strict=True))
        click.echo(_GAP.join(padded).rstrip())


def echo_sections(sections: Mapping[str, Any], names: Iterable[str]) -> None:
    """Prints the named sections as tables with headings."""
    for index, name in enumerate(names):
        if index:
            click.echo()
        click.echo(f"{name}:")
        echo_table(sections.get(name) or [])


def format_cell(value: Any) -> str:
    """Returns a value as one line of text without control characters."""
    if value is None:
        return "-"
    text = value if isinstance(value, str) else json.dumps(value)
    # Control characters in a caller's data could manipulate the terminal.
    return "".join(c if c.isprintable() else "?" for c in text)


def format_timestamp(seconds: Any) -> str:
    """Formats Unix time in seconds as ISO 8601 in UTC with milliseconds."""
    try:
        moment = datetime.fromtimestamp(seconds, UTC)
    except (TypeError, ValueError, OverflowError, OSError):
        return format_cell(seconds)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
