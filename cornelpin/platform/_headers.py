"""Decodes and rewrites the headers of requests and responses between client and server.

Holds the platform's own header names and the rules for hop-by-hop headers.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Sequence

import attrs

Headers = Sequence[tuple[bytes, bytes]]

REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
AUTHORIZATION = b"authorization"
TOKEN_SCHEME = b"token "
TOKEN_USAGE = b"token-usage"
LENGTH_HINT = b"length-hint"
PROMPT_PREFIX = b"prompt-prefix"
"""Header with the parts of the prompt in order, as comma-separated ID:TOKENS entries.
The last part belongs to the request or its session; others may share the parts before
it."""
MAX_PROMPT_PARTS = 64
"""Parts of a prompt that are decoded; further ones are ignored."""
MAX_PART_ID_LENGTH = 64
"""Length to which ids of parts are cut: entries keep many of them."""
LAST_EVENT_ID = b"last-event-id"
TENANT = b"tenant"
"""Header with the name of the caller's workspace."""
TARGET_INSTANCE = b"target-instance"
"""Header with the id of the only server that may run the request."""
SEAL = b"response-seal"
"""Header with a server's signature of its response."""
NOT_EXECUTED = b"not-executed"
"""Header of a response that states that the request was not run."""
SERVER_LOAD = b"server-load"
"""Header with a server's running requests, waiting requests and slots. A fourth figure
says how long work takes there at this moment, in percent of the usual time."""
SLOWDOWN_FIELD = 3
"""Index of that figure."""
INSTANCE_ID = b"instance-id"
RETRY_AFTER = b"retry-after"
SERVER_LEAVING = b"server-leaving"
"""Header of a response of a server that leaves and wants no further requests."""
COLD_MS = b"cold-ms"
"""Header with the milliseconds for which a server remains cold."""
SERVER_LIMIT = b"server-limit"
"""Header with the requests per second that a server takes from all hosts together."""

PROTECTED_HEADERS = {b"model", TOKEN_USAGE, PROMPT_PREFIX, REQUEST_ID}
"""Headers that are forwarded even if a client names them in ``Connection``."""
RESERVED_HEADERS = {
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
"""Headers reserved for this proxy and dropped from a client's request, because servers
trust them. ``backend_headers`` sets deadline, target and tenant; the others, such as
the client's API key, are not forwarded.
"""
HOP_BY_HOP_HEADERS = {
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
"""Headers that apply to a single connection. Content-Length and Expect are among them,
because the body is framed again for the next one."""
INTERNAL_RESPONSE_HEADERS = {SERVER_LOAD, INSTANCE_ID, COLD_MS}
"""Headers of a response that are not for the client: state and id of the server."""
MISDIRECTED_REQUEST = 421
UNAVAILABLE = 503
MAX_PAUSE_S = 300.0
"""Bound on the pause that a server may ask for; no value over it is plausible."""
MAX_LIMIT_PER_S = 1e6
"""Bound on the limit that a server may name; no value over it is plausible."""
DECIMAL = re.compile(r"\d{1,12}(\.\d{0,12})?|\.\d{1,12}", re.ASCII)
MS = 1e-3
"""Seconds per millisecond."""
PERCENT = 1e-2
MAX_DIGITS = 9
"""Length of a whole number above which it counts as missing: a billion tokens."""
MAX_DEADLINE_S = 86_400.0
"""Deadlines at or above this count as missing."""


@attrs.frozen
class RequestInfo:
    """Decoded headers of a request.

    Attributes:
        request_id: Id given by the client, kept when this entry resends the request;
            empty if missing. Client retries are recognised by content, not by this id.
        host: Requested host in lower case, without port.
        key: The caller's API key; None if not given.
        deadline_s: Time that the client waits for the response, seconds; None if not
            given.
        prompt_tokens: Number of prompt tokens; zero if not given.
        max_output_tokens: Maximum number of output tokens; zero if not given.
        hinted_tokens: The client's estimate of the output tokens; None if not given.
        has_token_counts: Whether the request gives prompt and output token counts.
        shared_parts: Ids of the parts of its prompt that other requests may share, in
            order.
    """

    request_id: str
    host: str
    key: str | None = None
    deadline_s: float | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    hinted_tokens: int | None = None
    has_token_counts: bool = False
    shared_parts: tuple[str, ...] = ()


@attrs.frozen
class ResponseInfo:
    """Decoded headers of a response.

    Attributes:
        request_id: Id of the request to which it responds.
        sealed: Whether it has the header with the server's signature, which is not
            verified.
        misdirected: Whether a server other than the addressed one responded; it did not
            run the request.
        not_run: Whether the response states that the request was not run.
        encoded: Whether its body has a content encoding. Servers never encode theirs,
            so something on the way altered the response.
        keep_alive_s: Time that the server keeps an idle connection; None if not given.
        closes_connection: Whether the server closes the connection after the response.
        leaving: Whether the server leaves and wants no further requests.
        pause_s: Seconds for which it wants no requests from this host; None if it asks
            for no pause.
        bad_pause: A value in place of ``pause_s`` that is not a valid one.
        limit_per_s: Requests per second that the server takes from all hosts together;
            None if it names no valid limit.
        bad_limit: Values in place of ``limit_per_s`` that are not a single valid one.
        cold_s: Seconds for which the server remains cold; zero if it does not say so.
        slowdown: Factor on the usual time of work at the server at this moment; None if
            it states no valid one.
        bad_slowdown: Whether it states one that is not valid.
    """

    request_id: str
    sealed: bool
    misdirected: bool
    not_run: bool
    encoded: bool
    keep_alive_s: float | None
    closes_connection: bool
    leaving: bool = False
    pause_s: float | None = None
    bad_pause: str = ""
    limit_per_s: float | None = None
    bad_limit: str = ""
    cold_s: float = 0.0
    slowdown: float | None = None
    bad_slowdown: bool = False


def read_request(headers: Headers) -> RequestInfo:
    """Decodes the headers of a client's request; unreadable values count as missing."""
    fields = _fields(headers)
    token_counts = _token_counts(fields.get(TOKEN_USAGE, b""))
    return RequestInfo(
        request_id=_text(fields.get(REQUEST_ID, b"")),
        host=_text(fields.get(b"host", b"")).rsplit(":", 1)[0].lower(),
        key=_api_key(fields.get(AUTHORIZATION)),
        deadline_s=_seconds_from_ms(fields.get(DEADLINE_MS)),
        # "Token-Usage" gives prompt tokens and the maximum of output tokens.
        prompt_tokens=token_counts[0] if token_counts else 0,
        max_output_tokens=token_counts[1] if token_counts else 0,
        hinted_tokens=_integer(fields.get(LENGTH_HINT, b"")),
        has_token_counts=token_counts is not None,
        shared_parts=_shared_parts(_text(fields.get(PROMPT_PREFIX, b""))),
    )


def read_response(status: int, headers: Headers) -> ResponseInfo:
    """Decodes the headers of a server's response."""
    fields = _fields(headers)
    pause_s, bad_pause = None, ""
    if status == UNAVAILABLE and RETRY_AFTER in fields:
        pause_s, bad_pause = _pause_s(_text(fields[RETRY_AFTER]))
    limit_per_s, bad_limit = _limit_per_s(headers)
    slowdown, bad_slowdown = _slowdown(_text(fields.get(SERVER_LOAD, b"")))
    return ResponseInfo(
        request_id=_text(fields.get(REQUEST_ID, b"")),
        sealed=SEAL in fields,
        misdirected=status == MISDIRECTED_REQUEST,
        not_run=NOT_EXECUTED in fields or status == MISDIRECTED_REQUEST,
        encoded=fields.get(b"content-encoding", b"identity").lower() != b"identity",
        keep_alive_s=_keep_alive_s(fields.get(b"keep-alive", b"")),
        closes_connection=b"close" in fields.get(b"connection", b"").lower(),
        leaving=fields.get(SERVER_LEAVING) == b"1",
        pause_s=pause_s,
        bad_pause=bad_pause,
        limit_per_s=limit_per_s,
        bad_limit=bad_limit,
        cold_s=_cold_s(fields.get(COLD_MS, b"")),
        slowdown=slowdown,
        bad_slowdown=bad_slowdown,
    )


def _slowdown(load: str) -> tuple[float | None, bool]:
    """Returns the slowdown that a load states, and whether one is there but invalid."""
    figures = load.split(",")
    if len(figures) <= SLOWDOWN_FIELD:
        return None, False
    text = figures[SLOWDOWN_FIELD].strip()
    if not DECIMAL.fullmatch(text) or not float(text):
        return None, True
    return float(text) * PERCENT, False


def _cold_s(raw: bytes) -> float:
    text = _text(raw).strip()
    return float(text) * MS if DECIMAL.fullmatch(text) else 0.0


def _limit_per_s(headers: Headers) -> tuple[float | None, str]:
    """Returns a server's limit, and what it named if that is not one valid value.

    Of several valid values the smallest holds. A value over the bound is cut to it.
    """
    named = [_text(value).strip() for n, value in headers if n.lower() == SERVER_LIMIT]
    if not named:
        return None, ""
    text = ",".join(named)
    values = [float(v) for v in map(str.strip, text.split(",")) if DECIMAL.fullmatch(v)]
    limit_per_s = min(values, default=None)
    if limit_per_s is None:
        return None, text or "empty"
    valid = len(values) == 1 and DECIMAL.fullmatch(text) is not None
    if limit_per_s > MAX_LIMIT_PER_S:
        return MAX_LIMIT_PER_S, text
    return limit_per_s, "" if valid else text


def _pause_s(text: str) -> tuple[float | None, str]:
    """Returns a server's Retry-After in seconds, and the text if it is not valid.

    A value over the bound is cut to it; one that is no number of seconds is ignored.
    """
    try:
        pause_s = float(text)
    except ValueError:
        return None, text
    if not 0.0 <= pause_s < math.inf:
        return None, text
    return min(pause_s, MAX_PAUSE_S), text if pause_s > MAX_PAUSE_S else ""


def backend_headers(
    headers: Headers, *, server_id: str, deadline_s: float, workspace: str | None
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a request to a server.

    Args:
        headers: The client's headers, names in lower case.
        server_id: Id of the only server that may run the request.
        deadline_s: Time until the request's deadline, seconds.
        workspace: Name of the caller's workspace; None if there is none.
    """
    forwarded = list(_end_to_end(headers, RESERVED_HEADERS))
    forwarded.append((DEADLINE_MS, str(max(1, math.floor(deadline_s / MS))).encode()))
    forwarded.append((TARGET_INSTANCE, server_id.encode()))
    if workspace is not None:
        forwarded.append((TENANT, workspace.encode()))
    return forwarded


def resume_headers(headers: Headers, last_event: str) -> list[tuple[bytes, bytes]]:
    """Returns a client's headers with the event id after which the stream resumes."""
    forwarded = [(n, v) for n, v in headers if n != LAST_EVENT_ID]
    return [*forwarded, (LAST_EVENT_ID, last_event.encode())]


def response_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a server's response that are forwarded to the client."""
    return list(_end_to_end(headers, INTERNAL_RESPONSE_HEADERS))


def refusal_headers(
    request_id: str, retry_after_s: float | None
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an error response that this entry creates itself."""
    headers = [(b"content-type", b"application/problem+json")]
    if request_id:
        headers.append((REQUEST_ID, request_id.encode("latin-1", "replace")))
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, f"{retry_after_s:.3f}".encode()))
    return headers


def _end_to_end(headers: Headers, dropped: set[bytes]) -> Iterable[tuple[bytes, bytes]]:
    """Returns headers without hop-by-hop ones and others to be dropped."""
    connection_options = {
        name.strip().lower()
        for header, text in headers
        if header == b"connection"
        for name in text.split(b",")
    }
    dropped_names = (
        dropped
        | HOP_BY_HOP_HEADERS
        | (connection_options - PROTECTED_HEADERS - {b"host"})
    )
    return ((name, text) for name, text in headers if name not in dropped_names)


def _fields(headers: Headers) -> dict[bytes, bytes]:
    return {name.lower(): text for name, text in headers}


def _text(raw: bytes) -> str:
    return raw.decode("latin-1")


def _api_key(raw: bytes | None) -> str | None:
    if raw is None or raw[: len(TOKEN_SCHEME)].lower() != TOKEN_SCHEME:
        return None
    return _text(raw[len(TOKEN_SCHEME) :].strip())


def _integer(raw: bytes) -> int | None:
    """Returns a whole number; None if it is malformed or out of range."""
    return int(raw) if raw.isdigit() and len(raw) <= MAX_DIGITS else None


def _seconds_from_ms(raw: bytes | None) -> float | None:
    """Returns a deadline given in milliseconds; None if missing or out of range."""
    try:
        seconds = float(raw) * MS if raw is not None else None
    except ValueError:
        return None
    if seconds is None or not 0 < seconds < MAX_DEADLINE_S:
        return None
    return seconds


def _token_counts(raw: bytes) -> tuple[int, int] | None:
    first, _, second = raw.partition(b",")
    prompt, output = _integer(first.strip()), _integer(second.strip())
    if prompt is None or output is None:
        return None
    return prompt, output


def _shared_parts(text: str) -> tuple[str, ...]:
    entries = [entry.strip() for entry in text.split(",", MAX_PROMPT_PARTS)]
    return tuple(
        entry.partition(":")[0][:MAX_PART_ID_LENGTH] for entry in entries[:-1] if entry
    )


def _keep_alive_s(raw: bytes) -> float | None:
    for part in raw.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            seconds = _integer(number.strip())
            return None if seconds is None else float(seconds)
    return None
