"""Headers of requests and answers."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import attrs

Headers = Sequence[tuple[bytes, bytes]]

REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
AUTHORIZATION = b"authorization"
TOKEN_SCHEME = b"token "
TOKEN_USAGE = b"token-usage"
LENGTH_HINT = b"length-hint"
LAST_EVENT_ID = b"last-event-id"
TENANT = b"tenant"
TARGET_INSTANCE = b"target-instance"
SEAL = b"response-seal"
NOT_EXECUTED = b"not-executed"
SERVER_LOAD = b"server-load"
INSTANCE_ID = b"instance-id"
RETRY_AFTER = b"retry-after"

MODEL_HEADERS = {b"model", TOKEN_USAGE, b"prompt-prefix", REQUEST_ID}
"""Headers that a client cannot have dropped by naming them in ``Connection``."""
OURS_TO_SET = {
    TENANT,
    TARGET_INSTANCE,
    DEADLINE_MS,
    AUTHORIZATION,
    b"expected-version",
    b"pin-ms",
    b"hold",
    b"kv-backup",
    b"kv-from",
    b"kv-fetch",
}
"""Headers that reach a server only as the system sets them."""
HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
}
ANSWER_ONLY_HERE = {SERVER_LOAD, INSTANCE_ID}
"""Headers of an answer that say something of the server to us alone."""
MISDIRECTED = 421
MS = 1e-3
MAX_DEADLINE_S = 86_400.0


@attrs.frozen
class RequestInfo:
    """What a request's headers say.

    Attributes:
        request_id: The client's id of this attempt; empty if there is none.
        host: Host that it names, lower case, without port.
        key: The caller's API key.
        deadline_s: How long the client waits, seconds.
        prompt_tokens: Tokens to read; zero if not told.
        output_tokens: Most tokens to write; zero if not told.
        hinted_tokens: The client's estimate of the tokens to write.
        counts_tokens: Whether the token counts were told.
    """

    request_id: str
    host: str
    key: str | None = None
    deadline_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    hinted_tokens: int | None = None
    has_token_counts: bool = False


@attrs.frozen
class ResponseInfo:
    """What an answer's headers say.

    Attributes:
        request_id: The id of the request that it answers.
        sealed: Whether it bears the server's signature.
        other_server: Whether another server has the address, which runs nothing.
        not_run: Whether the server says that the request did not run there.
        encoded: Whether its body is encoded, which the server's own never is.
        keep_s: How long the server keeps an idle connection; None if not told.
        closing: Whether the server closes the connection after it.
    """

    request_id: str
    sealed: bool
    other_server: bool
    not_run: bool
    encoded: bool
    keep_s: float | None
    closing: bool


def read_request(headers: Headers) -> RequestInfo:
    """Reads the headers of a client's request; what can't be read is left out."""
    found = _last(headers)
    usage = _counts(found.get(TOKEN_USAGE, b""))
    return RequestInfo(
        request_id=_text(found.get(REQUEST_ID, b"")),
        host=_text(found.get(b"host", b"")).rsplit(":", 1)[0].lower(),
        key=_key(found.get(AUTHORIZATION)),
        deadline_s=_milliseconds(found.get(DEADLINE_MS)),
        # "Token-Usage" is no usage but a bound: prompt tokens, most output tokens.
        prompt_tokens=usage[0] if usage else 0,
        output_tokens=usage[1] if usage else 0,
        hinted_tokens=_whole(found.get(LENGTH_HINT, b"")),
        has_token_counts=usage is not None,
    )


def read_response(status: int, headers: Headers) -> ResponseInfo:
    """Reads the headers of a server's answer."""
    found = _last(headers)
    return ResponseInfo(
        request_id=_text(found.get(REQUEST_ID, b"")),
        sealed=SEAL in found,
        other_server=status == MISDIRECTED,
        not_run=NOT_EXECUTED in found or status == MISDIRECTED,
        encoded=found.get(b"content-encoding", b"identity").lower() != b"identity",
        keep_s=_keep_alive(found.get(b"keep-alive", b"")),
        closing=b"close" in found.get(b"connection", b"").lower(),
    )


def backend_headers(
    headers: Headers, *, server_id: str, deadline_s: float, workspace: str | None
) -> list[tuple[bytes, bytes]]:
    """Returns the headers with which a request goes to a server.

    Args:
        headers: The client's headers, names in lower case.
        server_id: Id of the server that alone may run it.
        deadline_s: Seconds left.
        workspace: Name of the caller's workspace.
    """
    kept = list(_end_to_end(headers, OURS_TO_SET))
    kept.append((DEADLINE_MS, str(max(1, math.floor(deadline_s / MS))).encode()))
    kept.append((TARGET_INSTANCE, server_id.encode()))
    if workspace is not None:
        kept.append((TENANT, workspace.encode()))
    return kept


def resume_headers(headers: Headers, last_event: str) -> list[tuple[bytes, bytes]]:
    """Returns a client's headers with the event after which a stream goes on."""
    kept = [(n, v) for n, v in headers if n != LAST_EVENT_ID]
    return [*kept, (LAST_EVENT_ID, last_event.encode())]


def response_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Returns the headers with which a server's answer goes to the client."""
    return list(_end_to_end(headers, ANSWER_ONLY_HERE))


def refusal_headers(
    request_id: str, retry_after_s: float | None
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an answer of our own."""
    headers = [(b"content-type", b"application/problem+json")]
    if request_id:
        headers.append((REQUEST_ID, request_id.encode("latin-1", "replace")))
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, f"{retry_after_s:.3f}".encode()))
    return headers


def _end_to_end(headers: Headers, dropped: set[bytes]) -> Iterable[tuple[bytes, bytes]]:
    named = {
        name.strip().lower()
        for header, text in headers
        if header == b"connection"
        for name in text.split(b",")
    }
    gone = dropped | HOP_BY_HOP | (named - MODEL_HEADERS - {b"host"})
    return ((name, text) for name, text in headers if name not in gone)


def _last(headers: Headers) -> dict[bytes, bytes]:
    return {name.lower(): text for name, text in headers}


def _text(raw: bytes) -> str:
    return raw.decode("latin-1")


def _key(raw: bytes | None) -> str | None:
    if raw is None or raw[: len(TOKEN_SCHEME)].lower() != TOKEN_SCHEME:
        return None
    return _text(raw[len(TOKEN_SCHEME) :].strip())


def _whole(raw: bytes) -> int | None:
    return int(raw) if raw.isdigit() else None


def _milliseconds(raw: bytes | None) -> float | None:
    try:
        seconds = float(raw) * MS if raw is not None else None
    except ValueError:
        return None
    if seconds is None or not 0 < seconds < MAX_DEADLINE_S:
        return None
    return seconds


def _counts(raw: bytes) -> tuple[int, int] | None:
    first, _, second = raw.partition(b",")
    prompt, output = _whole(first.strip()), _whole(second.strip())
    if prompt is None or output is None:
        return None
    return prompt, output


def _keep_alive(raw: bytes) -> float | None:
    for part in raw.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            seconds = _whole(number.strip())
            return None if seconds is None else float(seconds)
    return None
