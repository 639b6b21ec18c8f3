"""Reads JSON of which some parts can't be read.

A response of the store holds objects of many writers. One that is nested too deeply,
has a number of thousands of digits, or bytes that are no text must not hide the others.
"""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

NAME = re.compile(r'"metadata"\s*:\s*\{[^{}]*?"name"\s*:\s*"([^"\\]{1,256})"')
"""Name of an object in its text, if it stands among its metadata."""
TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|\[+|\{+|\]+|\}+|,', re.DOTALL)
"""What tells where the parts of an array or object end; brackets in runs."""


@attrs.frozen
class Unreadable:
    """Stands for a part that can't be read.

    Attributes:
        name: Name of the object, as far as it can be told; may be empty.
        reason: Why it can't be read.
    """

    name: str
    reason: str


def loads(text: bytes) -> Any:
    """Returns decoded JSON, with ``Unreadable`` for elements that can't be read.

    These are the members of an object at the top, or the elements of their arrays.

    Raises:
        ValueError: If the parts can't be told from each other.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        # Bytes that are no text become characters that no valid text has.
        return _load_parts(text.decode(errors="surrogateescape"))


def _load_parts(text: str) -> dict[str, Any]:
    members = {}
    for part in _split(text):
        key_text, _, value_text = part.partition(":")
        key, value_text = json.loads(key_text), value_text.strip()
        if value_text.startswith("["):
            members[key] = [_load(element) for element in _split(value_text)]
        else:
            members[key] = _load(value_text)
    return members


def _load(text: str) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as exc:
        match = NAME.search(text)
        name = match.group(1) if match is not None else ""
        return Unreadable(name, f"{type(exc).__name__}: {str(exc)[:80]}")


def _split(text: str) -> Iterator[str]:
    """Yields the texts between the outermost brackets and the commas there.

    Raises:
        ValueError: If the brackets do not match.
    """
    depth = 0
    begin = end = 0
    for match in TOKEN.finditer(text):
        token = match.group()
        if token[0] in "[{":
            if not depth:
                begin = match.start() + 1
            depth += len(token)
        elif token[0] in "]}":
            depth -= len(token)
            end = match.end() - 1
            if depth < 0:
                break
        elif token == "," and depth == 1:
            yield text[begin : match.start()]
            begin = match.end()
    if depth:
        raise ValueError(f"{depth} brackets are not closed")
    if text[begin:end].strip():
        yield text[begin:end]
