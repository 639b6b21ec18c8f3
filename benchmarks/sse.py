"""Parses an OpenAI-style stream of server-sent events."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import define

DONE = "[DONE]"
DATA_PREFIX = "data:"
READ_BYTES = 65536


@define
class StreamError(Exception):
    """An error event inside a stream.

    Attributes:
        problem: The problem document, or the content of ``error``.
    """

    problem: dict[str, Any]


def response_lines(response: http.client.HTTPResponse) -> Iterator[bytes]:
    """Yields the lines of a response body as they arrive.

    Iterating over the response itself would treat a chunked body that is truncated
    between two chunks as complete.

    Raises:
        http.client.IncompleteRead: The connection closed before the end of the body
            as framed.
    """
    rest = b""
    while part := response.read1(READ_BYTES):
        *lines, rest = (rest + part).split(b"\n")
        yield from lines
    if rest:
        yield rest


def completion_texts(lines: Iterable[bytes]) -> Iterator[str | None]:
    """Yields the text of each event, and None for the end marker.

    Raises:
        StreamError: The stream contains an error event.
    """
    for line in lines:
        text = line.decode("utf-8", "replace").strip()
        if not text.startswith(DATA_PREFIX):
            continue
        data = text[len(DATA_PREFIX) :].strip()
        if data == DONE:
            yield None
            return
        yield _event_text(json.loads(data))


def _event_text(event: dict[str, Any]) -> str:
    if "error" in event or "may_have_run" in event:
        problem = event.get("error", event)
        raise StreamError(problem if isinstance(problem, dict) else {"error": problem})
    return "".join(choice_text(choice) for choice in event.get("choices", []))


def choice_text(choice: dict[str, Any]) -> str:
    """Returns the text of a choice, of a text completion or a chat completion."""
    if "text" in choice:
        return choice["text"] or ""
    message = choice.get("delta") or choice.get("message") or {}
    return message.get("content") or ""
