"""Response bodies and stream events in the format of the OpenAI API."""

from __future__ import annotations

import json
from typing import Any

from standins.engine.batch import Run

DONE = b"data: [DONE]\n\n"


def usage(run: Run) -> dict[str, Any]:
    """Returns the ``usage`` object of a run."""
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.emitted,
        "total_tokens": run.prompt_tokens + run.emitted,
        "prompt_tokens_details": {"cached_tokens": run.cached_tokens},
    }


def _envelope(
    run: Run, model: str, kind: str, choice: dict[str, Any]
) -> dict[str, Any]:
    return {
        "id": run.request_id,
        "object": kind,
        "model": f"{model}@{run.version}",
        "choices": [{"index": 0, **choice}],
    }


def completion(run: Run, model: str) -> dict[str, Any]:
    """Returns the response body of a finished run."""
    text = "".join(run.tokens)
    choice: dict[str, Any] = {"finish_reason": run.finish_reason}
    if run.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if run.is_chat else "text_completion"
    return {**_envelope(run, model, kind, choice), "usage": usage(run)}


def _event(value: dict[str, Any]) -> bytes:
    return f"data: {json.dumps(value)}\n\n".encode()


def _chunk(run: Run, model: str, text: str, finish: str | None) -> dict[str, Any]:
    choice: dict[str, Any] = {"finish_reason": finish}
    if run.is_chat:
        choice["delta"] = {"content": text} if text else {}
    else:
        choice["text"] = text
    kind = "chat.completion.chunk" if run.is_chat else "text_completion"
    return _envelope(run, model, kind, choice)


def token_event(run: Run, model: str, token: str) -> bytes:
    """Returns the stream event for one token."""
    return _event(_chunk(run, model, token, None))


def final_event(run: Run, model: str) -> bytes:
    """Returns the last event before ``[DONE]``, with usage and finish reason."""
    chunk = _chunk(run, model, "", run.finish_reason)
    return _event({**chunk, "usage": usage(run)})
