"""Reads JSON5 files: JSON with comments, trailing commas and unquoted keys."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import json5


@dataclass(frozen=True)
class Document:
    """The decoded content of a file."""

    value: Any


@dataclass(frozen=True)
class Unreadable:
    """A file that cannot be read or is not JSON5."""

    path: Path
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


def read_document(path: Path) -> Document | Unreadable:
    """Reads a JSON5 file; rejects repeated keys of an object."""
    try:
        text = path.read_text(encoding="utf-8")
        return Document(_loads(text))
    except OSError as exc:
        return Unreadable(path, exc.strerror or str(exc))
    except (ValueError, RecursionError) as exc:
        return Unreadable(path, f"not JSON with comments: {exc}")


def _loads(text: str) -> Any:
    """Decodes plain JSON if it is that, which takes a hundredth of the time."""
    try:
        return json.loads(text, object_pairs_hook=_unique_members)
    except (ValueError, RecursionError):
        return json5.loads(text, object_pairs_hook=_unique_members)


def _unique_members(pairs: list[tuple[Any, Any]]) -> dict[str, Any]:
    members: dict[str, Any] = {}
    for key, value in pairs:
        if key in members:
            raise ValueError(f"the key {str(key)!r} appears twice in an object")
        members[str(key)] = value
    return members
