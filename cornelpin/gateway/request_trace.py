"""Reconstructs what happened to one request from the log lines of all entries."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

LogLine = dict[str, Any]

EVENT_MARGIN_S = 5.0
"""Time before and after a request within which events of its servers, and of a lack of
memory or connections, are included, in seconds."""
SHORT_EVENT = "resources.short"
STORE_EVENTS = {"store.lost", "store.regained", "store.copied", "store.history_lost"}
LAG_EVENTS = {"store.behind", "store.caught_up"}
COPY_EVENTS = {"store.copied", "store.copy_failed"}
COPY_KEY = "copy"
"""Key of the last copy of any kind; a failed one has no kind."""
PART_EVENTS = {"part.quarantined", "part.released"}
LIMIT_EVENTS = {"server.limit_named", "server.limit_changed", "server.limit_ended"}
COLD_EVENTS = {"server.cold", "server.warm"}
DATA_CENTRE_EVENTS = {"data_centre.evacuated", "data_centre.in_use"}
PROCESS_EVENTS = {"entry.started", "entry.stopping", "entry.stopped"}
STATE_EVENTS = (
    STORE_EVENTS
    | LAG_EVENTS
    | PART_EVENTS
    | PROCESS_EVENTS
    | DATA_CENTRE_EVENTS
    | {"config.in_force"}
)
"""Events that tell the state of an entry, until the next one of the same kind."""
ENDED_EVENTS = {
    "store.caught_up",
    "part.released",
    "server.limit_ended",
    "server.warm",
    "data_centre.in_use",
}
"""Events after which a trace no longer shows the state before."""


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the JSON log lines in a text, without a log collector's prefix."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line and "at" in line:
            yield line


def trace_request(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Returns the log lines related to a request, in order of time.

    These are the request's own lines and, from the entry that served it:

    * events of the servers it was sent to, and lines of a lack of memory or
      connections, from ``EVENT_MARGIN_S`` before the request to as long after it;
    * the last line before the end of the request about the configuration, about each
      kind of store objects and about the process;
    * the kinds of store objects of which the entry is behind others at that time;
    * a failed copy from another entry, if no copy has succeeded since;
    * the parts of prompts that are quarantined at the end of the request;
    * the data centres that are evacuated at the end of the request;
    * the limits of servers that it was sent to, or that limits kept it from, and which
      of them are cold.

    Args:
        lines: Log lines of all entries.
        request_id: Id of the request.
    """
    ordered = sorted(lines, key=lambda line: line["at"])
    own = [line for line in ordered if line.get("id") == request_id]
    if not own:
        return []
    host = own[-1].get("host")
    began, ended = _span(own)
    servers = {line["server"] for line in own if line.get("server")}
    limited = servers | {
        server["server"] for line in own for server in line.get("held_back", ())
    }
    chosen = list(own)
    last: dict[str, LogLine] = {}
    for line in ordered:
        if line.get("host") != host or line in own:
            continue
        event = line["event"]
        near = began - EVENT_MARGIN_S <= line["at"] <= ended + EVENT_MARGIN_S
        of_server = _is_about_server(event) and line.get("server") in servers
        if near and (of_server or event == SHORT_EVENT):
            chosen.append(line)
        elif line["at"] > ended:
            continue
        elif event in STATE_EVENTS or (
            event in LIMIT_EVENTS | COLD_EVENTS and line.get("server") in limited
        ):
            last[_state_key(line)] = line
        if event in COPY_EVENTS:
            last[COPY_KEY] = line
    chosen += [line for key, line in last.items() if _is_of_interest(key, line)]
    return sorted(chosen, key=lambda line: line["at"])


def _span(own: list[LogLine]) -> tuple[float, float]:
    ended = own[-1]["at"]
    took_s = own[-1].get("took_ms", 0) / 1e3
    return min(own[0]["at"], ended - took_s), ended


def _is_about_server(event: str) -> bool:
    """Returns whether events of this name are shown around a request's time."""
    return event.startswith("server.") and event not in LIMIT_EVENTS | COLD_EVENTS


def _state_key(line: LogLine) -> str:
    """Returns the part of the entry's state that a line reports."""
    event = line["event"]
    if event in STORE_EVENTS:
        return f"store {line.get('kind')}"
    if event in LAG_EVENTS:
        return f"behind {line.get('kind')}"
    if event in LIMIT_EVENTS:
        return f"limit {line.get('server')}"
    if event in COLD_EVENTS:
        return f"cold {line.get('server')}"
    if event in DATA_CENTRE_EVENTS:
        return f"data centre {line.get('data_centre')}"
    if event in PART_EVENTS:
        return f"part {line.get('part')}"
    return "process" if event in PROCESS_EVENTS else event


def _is_of_interest(key: str, line: LogLine) -> bool:
    """Returns whether a trace shows the last line about a part of the state."""
    if key == COPY_KEY:
        return line["event"] == "store.copy_failed"
    return line["event"] not in ENDED_EVENTS


def format_line(line: LogLine) -> str:
    """Returns a log line as readable text."""
    fields = {
        key: value
        for key, value in line.items()
        if key not in {"at", "host", "event", "level", "id"} and value not in ("", [])
    }
    details = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"{line['at']:.3f} {line.get('host', '-')} {line['event']} {details}"
