"""Renders a model's stream events as server-sent events or as one document."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from cornelpin.core.execution import Refusal

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

END_EVENT = b"data: [DONE]\n\n"


def format_sse(batches: Iterable[list[bytes]]) -> Iterator[bytes]:
    """Yields server-sent events, ending in ``[DONE]`` only after a complete response.

    A truncated response ends in an error event with ``may_have_run`` instead, so the
    caller can distinguish the two.
    """
    try:
        for batch in batches:
            yield b"".join(b"data: " + event + b"\n\n" for event in batch)
    except Refusal as exc:
        error = {
            "message": exc.detail,
            "type": exc.reason.value,
            "may_have_run": exc.execution.may_have_run,
        }
        yield b"data: " + json.dumps({"error": error}).encode() + b"\n\n"
        return
    yield END_EVENT


def merge_events(batches: Iterable[list[bytes]]) -> bytes:
    """Merges the stream events of a completion into one document."""
    document: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}
    for batch in batches:
        for event in batch:
            _merge_event(document, choices, json.loads(event))
    kind = str(document.get("object", ""))
    document["object"] = kind.removesuffix(".chunk")
    document["choices"] = [choices[index] for index in sorted(choices)]
    return json.dumps(document).encode()


def _merge_event(
    document: dict[str, Any], choices: dict[int, dict[str, Any]], event: dict[str, Any]
) -> None:
    for name, value in event.items():
        if name != "choices" and value is not None:
            document[name] = value
    for choice in event.get("choices", ()):
        _merge_choice(choices.setdefault(choice.get("index", 0), {}), choice)


def _merge_choice(merged: dict[str, Any], choice: dict[str, Any]) -> None:
    merged["index"] = choice.get("index", 0)
    merged.setdefault("finish_reason", None)
    if choice.get("finish_reason") is not None:
        merged["finish_reason"] = choice["finish_reason"]
    if "text" in choice:
        merged["text"] = merged.get("text", "") + (choice["text"] or "")
    delta = choice.get("delta")
    if delta is not None:
        message = merged.setdefault("message", {"role": "assistant", "content": ""})
        message["content"] += delta.get("content") or ""
        if delta.get("role"):
            message["role"] = delta["role"]
