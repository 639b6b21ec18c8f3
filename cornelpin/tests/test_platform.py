"""Platform adapter: settings, configuration, registered servers, headers, store."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
from typing import TYPE_CHECKING, Any

import pytest

from cornelpin.core.revision import Revision
from cornelpin.platform import (
    BadValue,
    ConfigDecoder,
    Store,
    StoreUnavailable,
    backend_headers,
    decode_server,
    load_host_settings,
    read_request,
    read_response,
    refusal_headers,
    response_headers,
    resume_headers,
)
from cornelpin.scheduling.routing import RouteKind
from cornelpin.tests.gateway_harness import config
from standins.fleet.store import FleetStore

if TYPE_CHECKING:
    from pathlib import Path

SETTINGS: dict[str, Any] = {
    "node": "front-1",
    "zone": "here",
    "ip": "127.0.0.1",
    "listen": {"front": "127.0.0.1:80", "ready": "127.0.0.1:81"},
    "internal_ports": [7600, 7615],
    "seeds": ["127.0.0.2:8229"],
    "limits": {"memory_mb": 150, "max_fds": 4100},
    "bounds": {"drain_ms": 3000, "grace_s": 9, "budget_ratio": 0.3, "unknown": 1},
    "provider": {"address": "10.0.0.1:8225"},
    "field_of_tomorrow": {"x": 1},
}


def write_and_load(tmp_path: Path, document: object) -> Any:
    path = tmp_path / "local.json"
    path.write_text(json.dumps(document))
    return load_host_settings(path)


def test_settings_are_decoded(tmp_path: Path) -> None:
    settings = write_and_load(tmp_path, SETTINGS)
    assert settings.callers == ("127.0.0.1", 80)
    assert settings.store == ("10.0.0.1", 8225)
    assert settings.seeds == ("127.0.0.2",)
    assert (settings.peer_port, settings.metrics_port) == (7600, 7615)
    assert settings.bounds.drain_s == pytest.approx(3.0)
    assert settings.bounds.grace_s == 9
    assert settings.bounds.config_s == pytest.approx(2.0)


INVALID_SETTINGS = [
    ("node", None, "node"),
    ("node", 5, "node"),
    ("listen", {"front": "nowhere"}, "listen.front"),
    ("listen", {"front": "a:1"}, "listen.ready"),
    ("internal_ports", [1], "internal_ports"),
    ("internal_ports", [9, 2], "internal_ports"),
    ("internal_ports", [True, 2], "internal_ports"),
    ("seeds", ["x"], "seeds"),
    ("seeds", "x", "seeds"),
    ("provider", {"address": "h:99999"}, "provider.address"),
    ("bounds", {"drain_ms": "2"}, "drain_ms"),
    ("limits", {"max_fds": 1.5}, "limits.max_fds"),
]


@pytest.mark.parametrize(("key", "found", "path"), INVALID_SETTINGS)
def test_error_of_an_invalid_setting_names_it_and_the_expected_type(
    tmp_path: Path, key: str, found: object, path: str
) -> None:
    with pytest.raises(BadValue, match=path) as caught:
        write_and_load(tmp_path, SETTINGS | {key: found})
    assert "expected" in str(caught.value)


@pytest.mark.parametrize("text", ["", "{", "[]", "5"])
def test_settings_file_without_a_json_object_is_rejected(
    tmp_path: Path, text: str
) -> None:
    path = tmp_path / "local.json"
    path.write_text(text)
    with pytest.raises(BadValue, match="local.json"):
        load_host_settings(path)
    with pytest.raises(BadValue, match="missing.json"):
        load_host_settings(tmp_path / "missing.json")


def test_configuration_is_decoded() -> None:
    cfg = ConfigDecoder().decode(config(7))
    assert cfg.version == 7
    route = cfg.route("shop.example", "/stream/resumable/x")
    assert route is not None
    assert (route.kind, route.resumable, route.idempotent) == (
        RouteKind.STREAM,
        True,
        True,
    )
    assert route.timeout_s == pytest.approx(2.0)
    assert cfg.route("shop.example", "/stream/x") is not route
    assert cfg.route("other.example", "/stream/x") is None
    small = cfg.workspace("key-small")
    assert small is not None
    assert (small.by_tokens, small.plain_tokens, small.rate_per_s) == (True, 200, 1000)
    assert cfg.workspace(None) is None
    assert cfg.workspace("no") is None
    assert cfg.limits.header_timeout_s == pytest.approx(0.4)


def test_routes_of_the_configuration_before_are_not_decoded_again() -> None:
    decoder = ConfigDecoder()
    document = config(7)
    before = decoder.decode(document)
    document["routes"][1]["timeout_ms"] = 700
    del document["routes"][0]
    after = decoder.decode(document)
    assert after.routes[0].timeout_s == pytest.approx(0.7)
    assert all(
        route is kept
        for route, kept in zip(after.routes[1:], before.routes[2:], strict=True)
    )
    # To Python, 1 equals True.
    document["routes"][1]["priority"] = True
    with pytest.raises(BadValue, match="priority"):
        decoder.decode(document)


def test_weighted_backends_and_event_tokens_are_decoded() -> None:
    document = config()
    del document["routes"][0]["service"]
    document["routes"][0]["backends"] = [
        {"service": "a", "weight": 9},
        {"service": "b", "weight": 1},
    ]
    document["services"][0]["engine"] = {"stride": 6}
    cfg = ConfigDecoder().decode(document)
    assert cfg.routes[0].backends == (("a", 9), ("b", 1))
    assert cfg.event_tokens("app") == 6
    assert cfg.event_tokens("unknown") == 1


INVALID_CONFIGS = [
    ("version", "1"),
    ("version", None),
    ("routes", {}),
    ("routes", [{"name": "x"}]),
    ("services", [{}]),
    ("tenants", [{"name": 1}]),
    ("limits", []),
]


@pytest.mark.parametrize(("key", "found"), INVALID_CONFIGS)
def test_invalid_configuration_is_rejected(key: str, found: object) -> None:
    document = copy.deepcopy(config())
    document[key] = found
    with pytest.raises(BadValue):
        ConfigDecoder().decode(document)


def test_server_is_decoded() -> None:
    spec = {
        "service": "app",
        "address": "10.0.0.9:8080",
        "zone": "z",
        "version": "v2",
        "slots": 9,
        "state": "draining",
        "cold_left_ms": 1500,
        "born": 1_700_000_000_000,
    }
    server = decode_server("i-1", spec)
    assert server.address == ("10.0.0.9", 8080)
    assert (server.leaving, server.cold_s, server.slots) == (True, 1.5, 9)
    assert server.incarnation == ("i-1", 1_700_000_000_000)


def test_request_headers_are_decoded_with_unreadable_ones_missing() -> None:
    info = read_request(
        [
            (b"host", b"Shop.Example:80"),
            (b"request-id", b"r1"),
            (b"authorization", b"Token abc"),
            (b"deadline-ms", b"1500"),
            (b"token-usage", b"1460,80"),
            (b"length-hint", b"33"),
        ]
    )
    assert (info.host, info.request_id, info.key) == ("shop.example", "r1", "abc")
    assert info.deadline_s == pytest.approx(1.5)
    assert (info.prompt_tokens, info.max_output_tokens, info.hinted_tokens) == (
        1460,
        80,
        33,
    )
    unreadable = read_request(
        [
            (b"authorization", b"Basic abc"),
            (b"deadline-ms", b"soon"),
            (b"token-usage", b"many"),
            (b"length-hint", b"-1"),
        ]
    )
    assert (
        unreadable.key,
        unreadable.deadline_s,
        unreadable.has_token_counts,
        unreadable.hinted_tokens,
    ) == (
        None,
        None,
        False,
        None,
    )


@pytest.mark.parametrize(
    ("text", "shared"),
    [
        (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b" a:1 , b:2", ("a",)),
        (b"own:250", ()),
        (b"", ()),
        (b",,own:3", ()),
        (b"a,b", ("a",)),
        (b",".join(b"%d:1" % n for n in range(200)), tuple(map(str, range(64)))),
    ],
)
def test_shared_parts_of_a_prompt_are_decoded(
    text: bytes, shared: tuple[str, ...]
) -> None:
    assert read_request([(b"prompt-prefix", text)]).shared_parts == shared


@pytest.mark.parametrize("deadline", [b"0", b"-5", b"nan", b"inf", b"1e99"])
def test_invalid_deadline_counts_as_missing(deadline: bytes) -> None:
    assert read_request([(b"deadline-ms", deadline)]).deadline_s is None


def test_request_headers_are_filtered_and_set_for_the_server() -> None:
    headers = [
        (b"host", b"h"),
        (b"connection", b"keep-alive, x-hop, request-id"),
        (b"x-hop", b"1"),
        (b"request-id", b"r"),
        (b"tenant", b"forged"),
        (b"deadline-ms", b"9"),
        (b"transfer-encoding", b"chunked"),
        (b"prompt-prefix", b"a:1"),
    ]
    sent = backend_headers(headers, server_id="i-1", deadline_s=0.25, workspace="blue")
    assert sent == [
        (b"host", b"h"),
        (b"request-id", b"r"),
        (b"prompt-prefix", b"a:1"),
        (b"deadline-ms", b"250"),
        (b"target-instance", b"i-1"),
        (b"tenant", b"blue"),
    ]
    assert resume_headers([(b"last-event-id", b"1")], "7") == [(b"last-event-id", b"7")]


RESPONSES = [
    (200, [(b"response-seal", b"s"), (b"request-id", b"r")], (True, False, False)),
    (503, [(b"not-executed", b"1")], (False, True, False)),
    (421, [(b"instance-id", b"i-2")], (False, True, False)),
    (500, [(b"response-seal", b"s")], (True, False, False)),
    (200, [(b"content-encoding", b"gzip")], (False, False, True)),
]


@pytest.mark.parametrize(("status", "headers", "expected"), RESPONSES)
def test_response_headers_are_decoded(
    status: int, headers: list, expected: tuple
) -> None:
    info = read_response(status, headers)
    assert (info.sealed, info.not_run, info.encoded) == expected


def test_connection_headers_of_a_response_are_decoded_and_not_forwarded() -> None:
    headers = [
        (b"keep-alive", b"timeout=7, max=5"),
        (b"connection", b"Close"),
        (b"server-load", b"1,0,8"),
        (b"x-own", b"1"),
    ]
    info = read_response(200, headers)
    assert (info.keep_alive_s, info.closes_connection) == (7.0, True)
    assert response_headers(headers) == [(b"x-own", b"1")]
    assert (b"retry-after", b"0.250") in refusal_headers("r", 0.25)


def run_with_store(check: Any) -> None:
    async def scenario() -> None:
        stand_in = FleetStore()
        await stand_in.server.start("127.0.0.1")
        try:
            await check(stand_in, Store(stand_in.server.address))
        finally:
            await stand_in.server.stop()

    asyncio.run(scenario())


def test_objects_are_listed_read_created_and_replaced() -> None:
    async def check(stand_in: FleetStore, store: Store) -> None:
        assert await store.create("things", "a b/c", {"x": 1})
        assert not await store.create("things", "a b/c", {"x": 2})
        found = await store.get("things", "a b/c")
        assert found is not None
        assert found.spec == {"x": 1}
        assert await store.set_status("things", "a b/c", found.revision, {"s": 1})
        assert not await store.set_status("things", "a b/c", found.revision, {"s": 2})
        assert stand_in.status("things", "a b/c") == {"s": 1}
        assert await store.replace("things", "a b/c", {"x": 3})
        assert not await store.replace("things", "none", {})
        assert await store.get("things", "none") is None
        assert [c.name for c in (await store.list("things")).objects] == ["a b/c"]

    run_with_store(check)


def test_watch_returns_changes_and_a_lost_history() -> None:
    async def check(stand_in: FleetStore, store: Store) -> None:
        revision = (await store.list("things")).revision
        watch_task = asyncio.create_task(store.watch("things", revision, 2.0))
        await asyncio.sleep(0.05)
        stand_in.put("things", "a", 1)
        result = await watch_task
        assert [(c.name, c.spec, c.removed) for c in result.changes] == [
            ("a", 1, False)
        ]
        stand_in.remove("things", "a")
        result = await store.watch("things", result.revision, 2.0)
        assert [(c.name, c.removed) for c in result.changes] == [("a", True)]
        timed_out = await store.watch("things", result.revision, 0.05)
        assert timed_out.changes == ()
        stand_in.compact_history()
        assert (await store.watch("things", Revision(0, 1), 0.05)).history_lost

    run_with_store(check)


def test_watch_ends_when_the_store_is_restored() -> None:
    async def check(stand_in: FleetStore, store: Store) -> None:
        stand_in.put("things", "a", 1)
        stand_in.keep_copy()
        known = (await store.list("things")).revision
        stand_in.put("things", "b", 1)
        lost = (await store.list("things")).revision
        stand_in.restore()
        for revision in (known, lost):
            assert (await store.watch("things", revision, 0.05)).history_lost
        listing = await store.list("things")
        assert [c.name for c in listing.objects] == ["a"]
        assert listing.revision > lost

    run_with_store(check)


def test_status_of_a_lost_object_is_not_written_to_its_successor() -> None:
    """Guards against conditional writes under a revision that was given out again."""

    async def check(stand_in: FleetStore, store: Store) -> None:
        stand_in.keep_copy()
        stand_in.put("things", "a", "lost")
        lost = (await store.list("things")).objects[0]
        stand_in.restore()
        assert stand_in.put("things", "a", "other") == lost.revision.number
        with contextlib.suppress(StoreUnavailable):
            # Its kept connection was reset.
            await store.list("things")
        await store.list("things")
        with pytest.raises(StoreUnavailable):
            await store.set_status("things", "a", lost.revision, "done")
        assert stand_in.status("things", "a") is None

    run_with_store(check)


def test_status_written_as_the_store_is_restored_has_an_unknown_outcome() -> None:
    async def check(stand_in: FleetStore, store: Store) -> None:
        stand_in.keep_copy()
        stand_in.put("things", "a", "lost")
        lost = (await store.list("things")).objects[0]
        stand_in.restore()
        with pytest.raises(StoreUnavailable):
            await store.set_status("things", "a", lost.revision, "done")

    run_with_store(check)


@pytest.mark.parametrize("era", [None, 0])
def test_response_of_a_former_era_is_rejected(era: int | None) -> None:
    async def check(stand_in: FleetStore, store: Store) -> None:
        await store.list("things")
        stand_in.era = era
        with pytest.raises(StoreUnavailable):
            await store.list("things")
        stand_in.era = 2
        assert (await store.list("things")).revision.era == 2

    run_with_store(check)


def test_store_without_eras_is_used() -> None:
    async def check(stand_in: FleetStore, store: Store) -> None:
        stand_in.era = None
        revision = (await store.list("things")).revision
        assert revision.era == 0
        stand_in.put("things", "a", 1)
        assert len((await store.watch("things", revision, 1.0)).changes) == 1

    run_with_store(check)


@pytest.mark.parametrize("mode", ["busy", "silent", "lost"])
def test_failing_store_raises_within_the_timeout(mode: str) -> None:
    async def check(stand_in: FleetStore, store: Store) -> None:
        await store.list("things")
        stand_in.mode = mode
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(StoreUnavailable):
            await store.create("things", "a", 1)
        assert loop.time() - started_at < 1.5
        stand_in.mode = "up"
        created = await store.create("things", "a", 1)
        assert created is (mode != "lost"), "a lost response is read back as a conflict"

    run_with_store(check)
