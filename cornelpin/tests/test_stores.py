"""HTTP drivers of the object store and the host list.

A write whose outcome is unknown must never be reported as not applied: its caller would
repeat it and apply it twice.
"""

from __future__ import annotations

import json
import socket

import pytest

from cornelpin.stores import host_list, object_store
from cornelpin.stores.hosts import Hosts
from cornelpin.stores.objects import (
    CallCounts,
    Conflict,
    Deleted,
    Found,
    Listed,
    ListedObject,
    Missing,
    Unavailable,
    Unchanged,
    Unknown,
    Written,
)
from cornelpin.tests.http_server import serve

VERSION = {"X-Version": "3"}


@pytest.mark.parametrize(
    ("answer", "read", "write"),
    [
        ((200, VERSION, b"x"), Found(b"x", 3), Written(3)),
        ((200, {}, b"x"), Unavailable, Unknown),
        ((304, {}, b""), Unchanged(), Unknown),
        ((404, {}, b""), Missing(), Unavailable),
        ((409, VERSION, b""), Unavailable, Conflict(3)),
        ((413, {}, b""), Unavailable, Unavailable),
        ((429, {}, b""), Unavailable, Unavailable),
        ((500, {}, b""), Unavailable, Unknown),
        ((502, {}, b""), Unavailable, Unknown),
        ((503, {}, b""), Unavailable, Unavailable),
        (None, Unavailable, Unknown),
    ],
)
def test_http_status_maps_to_the_outcome(
    answer: object, read: object, write: object
) -> None:
    with serve(lambda *request: answer) as url:
        store = object_store.create("http", url=url)
        outcomes = [
            (read, store.get("a/b c")),
            (read, store.watch("a", after=2, wait_s=0.1)),
            (write, store.put("a", b"x", if_version=2)),
        ]
    for expected, outcome in outcomes:
        matches = isinstance(expected, type) and isinstance(outcome, expected)
        assert matches or outcome == expected
    assert store.calls.counts() == CallCounts(reads=1, writes=1, watches=1)


def test_requests_carry_key_version_and_value() -> None:
    seen = []

    def respond(method: str, path: str, headers: dict, body: bytes) -> tuple:
        seen.append((method, path, headers.get("X-If-Version"), body))
        listing = json.dumps([{"key": "b", "version": 2}, {"key": "a", "version": 1}])
        return (200, VERSION, listing.encode())

    with serve(respond) as url:
        store = object_store.create("http", url=url)
        listed = store.list("p/")
        store.put("p/a b", b"x", if_version=0)
        assert store.delete("p/a", if_version=7) == Deleted()
        store.put("p", b"y", if_version=None)
    assert listed == Listed((ListedObject("a", 1), ListedObject("b", 2)))
    assert seen == [
        ("GET", "/list?prefix=p%2F", None, b""),
        ("PUT", "/objects/p/a%20b", "0", b"x"),
        ("DELETE", "/objects/p/a", "7", b""),
        ("PUT", "/objects/p", None, b"y"),
    ]


def test_write_without_connection_is_reported_as_not_applied() -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    store = object_store.create("http", url=f"http://127.0.0.1:{port}")
    assert isinstance(store.put("a", b"", if_version=0), Unavailable)


@pytest.mark.parametrize(
    ("state", "outcome"), [("live", Hosts), ("leaving", Hosts), ("dead", Unavailable)]
)
def test_host_list_accepts_only_known_states(state: str, outcome: type) -> None:
    entry = {"host": "h", "address": "10.0.0.1", "data_centre": "d", "state": state}
    with serve(lambda *request: (200, {}, json.dumps([entry]).encode())) as url:
        hosts = host_list.create("http", url=url).read()
    assert isinstance(hosts, outcome)
    if isinstance(hosts, Hosts):
        assert hosts.hosts[0].draining == (state == "leaving")


def test_unknown_kind_error_names_the_valid_kinds() -> None:
    with pytest.raises(ValueError, match="'htp' is not one of: http"):
        object_store.create("htp", url="http://h")
