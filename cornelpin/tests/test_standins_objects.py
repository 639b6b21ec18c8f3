"""The object store stand-in: conditional writes, watches, rate limits and faults."""

from __future__ import annotations

import socket
import threading
from typing import Any

import pytest

from cornelpin.tests.test_standins_common import (
    Response,
    StandIn,
    running_stand_in,
    wait_until,
)
from standins._token_bucket import TokenBucket

KEY = "/objects/a/b"


def put(api: StandIn, value: bytes, version: int | None = None) -> Response:
    headers = {} if version is None else {"X-If-Version": str(version)}
    return api.call("PUT", KEY, value, headers)


def version_of(response: Response) -> int:
    return int(response.headers["X-Version"])


def test_writes_are_conditional_and_versions_never_repeat() -> None:
    with running_stand_in("objects") as api:
        assert api.call("GET", KEY).status == 404
        first = version_of(put(api, b"one", 0))
        conflicting = put(api, b"two", 0)
        assert (conflicting.status, version_of(conflicting)) == (409, first)
        second = version_of(put(api, b"two", first))
        assert second > first
        fetched = api.call("GET", KEY)
        assert (fetched.body, version_of(fetched)) == (b"two", second)
        stale_delete = api.call("DELETE", KEY, headers={"X-If-Version": str(first)})
        assert (stale_delete.status, version_of(stale_delete)) == (409, second)
        assert api.call("DELETE", KEY).status == 200
        assert api.call("DELETE", KEY).status == 404
        write_after_delete = put(api, b"x", second)
        assert (write_after_delete.status, version_of(write_after_delete)) == (409, 0)
        third = version_of(put(api, b"three"))
        assert third > second
        listed = api.call("GET", "/list?prefix=a/").json()
        assert listed == [{"key": "a/b", "version": third}]
        assert api.call("GET", "/list?prefix=b").json() == []
        log = api.call("GET", "/log").json()
        versions = [entry["version"] for entry in log]
        # The delete uses up a version as well.
        assert versions == [first, second, second + 1, third]
        assert api.call("GET", "/stats").json()["conflicts"] == 3


@pytest.mark.parametrize(
    ("size", "status"), [(0, 200), (1_000_000, 200), (1_000_001, 413)]
)
def test_size_limit(size: int, status: int) -> None:
    with running_stand_in("objects") as api:
        assert put(api, b"x" * size).status == status


def test_unchanged_object_is_not_sent_again() -> None:
    with running_stand_in("objects") as api:
        version = version_of(put(api, b"one"))
        headers = {"X-If-Version-Not": str(version)}
        unchanged = api.call("GET", KEY, headers=headers)
        assert (unchanged.status, version_of(unchanged)) == (304, version)
        put(api, b"two")
        assert api.call("GET", KEY, headers=headers).body == b"two"


def test_watch_returns_on_change_and_ends_after_its_timeout() -> None:
    with running_stand_in("objects") as api:
        version = version_of(put(api, b"one"))
        path = f"/watch?key=a/b&after={version}"
        assert api.call("GET", f"{path}&wait_s=0.05").status == 304
        responses: list[Response] = []
        watch = threading.Thread(
            target=lambda: responses.append(api.call("GET", f"{path}&wait_s=50"))
        )
        watch.start()
        put(api, b"two")
        watch.join(30)
        assert responses[0].body == b"two"
        assert version_of(responses[0]) > version
        assert api.call("GET", "/watch?key=a/b&after=0&wait_s=50").body == b"two"


@pytest.mark.parametrize(
    ("option", "method"), [("--writes-per-s", "PUT"), ("--reads-per-s", "GET")]
)
def test_rate_limits(option: str, method: str) -> None:
    with running_stand_in("objects", option, "0.001") as api:
        statuses = [api.call(method, KEY).status for _ in range(2)]
        assert statuses[1] == 429
        assert api.call("GET", "/stats").json()["rejected"] == 1


def test_token_bucket_refills_to_its_capacity() -> None:
    now = [0.0]
    bucket = TokenBucket(2.0, clock=lambda: now[0])
    assert [bucket.take() for _ in range(3)] == [0.0, 0.0, 0.5]
    now[0] = 100.0
    assert [bucket.take() > 0 for _ in range(3)] == [False, False, True]


@pytest.mark.parametrize(
    ("faults", "write", "read"),
    [
        ({"mode": "ok"}, (200, False), (200, b"new")),
        ({"mode": "outage"}, (503, False), (503, None)),
        ({"mode": "outage", "delay_s": 0.01}, (0, True), (0, None)),
        ({"mode": "slow", "delay_s": 0.01}, (200, False), (200, b"new")),
        ({"mode": "lose_answers", "rate": 1}, (0, True), (200, b"new")),
        ({"mode": "lose_answers", "rate": 0}, (200, False), (200, b"new")),
        ({"mode": "stale_reads", "rate": 1}, (200, False), (200, b"old")),
    ],
)
def test_faults(
    faults: dict[str, Any], write: tuple[int, bool], read: tuple[int, bytes | None]
) -> None:
    with running_stand_in("objects") as api:
        put(api, b"old")
        assert api.call("POST", "/faults", faults).status == 200
        response = put(api, b"new")
        assert (response.status, response.connection_lost) == write
        fetched = api.call("GET", KEY)
        assert fetched.status == read[0]
        assert read[1] in (None, fetched.body)
        assert api.call("POST", "/faults", {"mode": "ok"}).status == 200
        assert len(api.call("GET", "/log").json()) == 1 + (faults["mode"] != "outage")


def test_unknown_fault_mode_is_rejected() -> None:
    with running_stand_in("objects") as api:
        assert api.call("POST", "/faults", {"mode": "odd"}).status == 400


def test_outage_ends_a_watch() -> None:
    with running_stand_in("objects") as api:
        responses: list[Response] = []
        path = "/watch?key=a/b&after=0&wait_s=600"
        watch = threading.Thread(target=lambda: responses.append(api.call("GET", path)))
        watch.start()
        wait_until(lambda: api.call("GET", "/stats").json()["watches"] == 1)
        api.call("POST", "/faults", {"mode": "outage"})
        watch.join(30)
        assert responses[0].status == 503


def test_lost_responses_are_reproducible_with_a_seed() -> None:
    patterns = []
    for _ in range(2):
        with running_stand_in("objects", "--seed", "7") as api:
            api.call("POST", "/faults", {"mode": "lose_answers", "rate": 0.5})
            patterns.append([put(api, b"x").connection_lost for _ in range(20)])
    assert patterns[0] == patterns[1]
    assert set(patterns[0]) == {True, False}


def test_incomplete_request_writes_nothing() -> None:
    with running_stand_in("objects") as api:
        with socket.create_connection(("127.0.0.1", api.port)) as sock:
            sock.sendall(
                f"PUT {KEY} HTTP/1.1\r\nContent-Length: 9\r\n\r\npart".encode()
            )
        first = version_of(put(api, b"whole"))
        assert [e["version"] for e in api.call("GET", "/log").json()] == [first]
        assert api.call("GET", KEY).body == b"whole"
