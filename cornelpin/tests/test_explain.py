"""Tracing of a request from log lines, and the explain command."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from cornelpin.cli.main import cli
from cornelpin.gateway.request_trace import parse_lines, trace_request

LINES = [
    {"at": 1.0, "host": "a", "event": "config.in_force", "version": 3},
    {"at": 2.0, "host": "a", "event": "config.in_force", "version": 4},
    {"at": 2.5, "host": "b", "event": "config.in_force", "version": 5},
    {"at": 3.0, "host": "a", "event": "store.lost", "kind": "config"},
    {"at": 4.0, "host": "a", "event": "request.placed", "id": "r1", "server": "i-1"},
    {"at": 4.1, "host": "a", "event": "request.placed", "id": "r2", "server": "i-2"},
    {"at": 4.2, "host": "a", "event": "server.aside", "server": "i-1"},
    {"at": 4.3, "host": "a", "event": "server.aside", "server": "i-2"},
    {"at": 5.0, "host": "a", "event": "request.ended", "id": "r1", "took_ms": 1000},
    {"at": 6.0, "host": "a", "event": "config.in_force", "version": 6},
]


def test_trace_holds_the_request_its_servers_and_the_entry_state() -> None:
    traced = [(line["at"], line["event"]) for line in trace_request(LINES, "r1")]
    assert traced == [
        (2.0, "config.in_force"),
        (3.0, "store.lost"),
        (4.0, "request.placed"),
        (4.2, "server.aside"),
        (5.0, "request.ended"),
    ]
    assert trace_request(LINES, "none") == []


def part_line(at: float, event: str, part: str, host: str = "a") -> dict[str, object]:
    return {"at": at, "host": host, "event": event, "part": part}


def zone_line(at: float, event: str, name: str) -> dict[str, object]:
    return {"at": at, "host": "a", "event": event, "data_centre": name}


def limit_line(at: float, event: str, server: str) -> dict[str, object]:
    return {"at": at, "host": "a", "event": event, "server": server}


def lag_line(at: float, event: str, kind: str) -> dict[str, object]:
    return {"at": at, "host": "a", "event": event, "kind": kind}


STATES = [
    # Lines besides those of the request, which ends at 5.0, and those of them shown.
    ("quarantined part", [part_line(3.5, "part.quarantined", "p")], [3.5]),
    (
        "behind for one kind",
        [
            lag_line(3.0, "store.behind", "servers"),
            lag_line(3.1, "store.behind", "config"),
            lag_line(3.2, "store.caught_up", "servers"),
        ],
        [3.1],
    ),
    (
        "released part",
        [part_line(3.5, "part.quarantined", "p"), part_line(3.6, "part.released", "p")],
        [],
    ),
    (
        "two parts",
        [part_line(3.5, "part.quarantined", "p"), part_line(3.6, "part.released", "q")],
        [3.5],
    ),
    ("part quarantined later", [part_line(5.5, "part.quarantined", "p")], []),
    ("part at another entry", [part_line(3.5, "part.quarantined", "p", "b")], []),
    ("failed copy", [{"at": 3.5, "host": "a", "event": "store.copy_failed"}], [3.5]),
    (
        "copy after a failed one",
        [
            {"at": 3.5, "host": "a", "event": "store.copy_failed"},
            {"at": 3.6, "host": "a", "event": "store.copied", "kind": "servers"},
        ],
        [3.6],
    ),
    ("limit of its server", [limit_line(0.5, "server.limit_named", "i-1")], [0.5]),
    ("limit of another server", [limit_line(0.5, "server.limit_named", "i-3")], []),
    (
        "limit that kept it from a server",
        [
            limit_line(0.5, "server.limit_named", "i-3"),
            limit_line(0.6, "server.limit_changed", "i-3"),
            {
                "at": 4.5,
                "host": "a",
                "event": "request.refused",
                "id": "r1",
                "held_back": [{"server": "i-3", "limit_per_s": 2.0}],
            },
        ],
        [0.6, 4.5],
    ),
    (
        "ended limit",
        [
            limit_line(0.5, "server.limit_named", "i-1"),
            limit_line(0.6, "server.limit_ended", "i-1"),
        ],
        [],
    ),
    (
        "its server is cold and limited",
        [
            limit_line(0.5, "server.limit_named", "i-1"),
            limit_line(0.6, "server.cold", "i-1"),
            limit_line(0.7, "server.cold", "i-3"),
        ],
        [0.5, 0.6],
    ),
    (
        "its server is warm again",
        [
            limit_line(0.5, "server.cold", "i-1"),
            limit_line(0.6, "server.warm", "i-1"),
        ],
        [],
    ),
    (
        "evacuated data centres",
        [
            zone_line(0.3, "data_centre.evacuated", "south"),
            zone_line(0.4, "data_centre.evacuated", "north"),
            zone_line(0.5, "data_centre.in_use", "north"),
        ],
        [0.3],
    ),
    (
        "crash of its server",
        [{"at": 4.6, "host": "a", "event": "server.disconnected", "server": "i-1"}],
        [4.6],
    ),
    (
        "short of memory or connections around it",
        [
            {"at": 4.5, "host": "a", "event": "resources.short"},
            {"at": 5.4, "host": "a", "event": "resources.short"},
        ],
        [4.5, 5.4],
    ),
    (
        "short at another entry, or at another time",
        [
            {"at": 4.5, "host": "b", "event": "resources.short"},
            {"at": 25.0, "host": "a", "event": "resources.short"},
        ],
        [],
    ),
]


@pytest.mark.parametrize(
    ("lines", "shown"), [row[1:] for row in STATES], ids=[row[0] for row in STATES]
)
def test_trace_holds_quarantines_limits_and_failed_copies(
    lines: list[dict[str, object]], shown: list[float]
) -> None:
    plain = {line["at"] for line in trace_request(LINES, "r1")}
    traced = {line["at"] for line in trace_request([*LINES, *lines], "r1")}
    assert sorted(traced - plain) == shown


@pytest.mark.parametrize("prefix", ["", "  12.5 front-a-1 ", "Dec 4 host app[1]: "])
def test_lines_are_found_after_a_collector_prefix(prefix: str) -> None:
    texts = ["noise", "{broken", "[1]", *(prefix + json.dumps(x) for x in LINES)]
    assert list(parse_lines(texts)) == LINES


@pytest.mark.parametrize("as_file", [True, False])
def test_explain_reads_files_or_standard_input(tmp_path, as_file: bool) -> None:
    text = "\n".join(json.dumps(line) for line in reversed(LINES))
    log = tmp_path / "a.log"
    log.write_text(text)
    args = ["explain", "r1", *([str(log)] if as_file else [])]
    result = CliRunner().invoke(cli, args, input=None if as_file else text)
    assert result.exit_code == 0
    assert result.output.splitlines()[2].startswith("4.000 a request.placed server=i-1")
    missing = CliRunner().invoke(cli, ["explain", "none"], input=text)
    assert missing.exit_code == 1
    assert "none" in missing.output
