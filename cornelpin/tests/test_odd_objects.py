"""Objects of other writers in the store that are no valid ones."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest

from cornelpin.gateway import logs
from cornelpin.gateway.app import ENTRY_KIND, Entry
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import Harness, config, run_harness, until

IN_FORCE_S = 1.0
"""Half of the platform's bound on changes."""

VALID = {
    "service": "app",
    "address": "127.0.0.1:9",
    "zone": "here",
    "version": "v1",
    "slots": 1,
    "state": "ready",
    "born": 1,
    "cold_left_ms": 0,
    "seq": 1,
}


def server(name: Any = "i-odd", **fields: Any) -> bytes:
    """Returns a server's object as text; bytes among the fields stand as they are."""
    meta = {"name": name, "rev": 1, "created": 1, "finalizers": []}
    raw = {key: text for key, text in fields.items() if isinstance(text, bytes)}
    spec = VALID | fields | {key: f"@{key}@" for key in raw}
    item = json.dumps({"metadata": meta, "spec": spec, "status": None}).encode()
    for key, text in raw.items():
        item = item.replace(f'"@{key}@"'.encode(), text)
    return item


def nested(depth: int, opening: bytes = b"[", closing: bytes = b"]") -> bytes:
    return opening * depth + closing * depth


ODD = {
    "lists nested 500 deep": server(zone=nested(500)),
    "lists nested 5,000 deep": server(zone=nested(5_000)),
    "lists nested 400,000 deep": server(extra=nested(400_000)),
    "objects nested 50,000 deep": server(
        extra=nested(50_000, b'{"a":', b"}")[:-50_000] + b"1" + b"}" * 50_000
    ),
    "infinite slots": server(slots=b"1e999"),
    "infinity by name": server(cold_left_ms=b"-Infinity"),
    "not a number": server(cold_left_ms=b"NaN"),
    "slots beyond 64 bits": server(slots=10**30),
    "slots beyond floats": server(slots=b"1" + b"0" * 400),
    "number of 6,000 digits": server(extra=b"1" * 6_000),
    "start beyond 64 bits": server(born=-(10**25)),
    "warm-up beyond floats": server(cold_left_ms=b"1" + b"0" * 400),
    "port 0": server(address="127.0.0.1:0"),
    "port -1": server(address="127.0.0.1:-1"),
    "port 65536": server(address="127.0.0.1:65536"),
    "port in words": server(address="127.0.0.1:http"),
    "port in other digits": server(address="127.0.0.1:²"),
    "address of a megabyte": server(address="1" * 1_000_000 + ":80"),
    "address by a name": server(address="somewhere.example:80"),
    "address with a line": server(address="127.0.0.1\r\nx:80"),
    "name of a megabyte": server("i" * 1_000_000),
    "name of two lines": server("i-odd\r\nTenant: blue"),
    "name beyond ASCII": server("i-é"),
    "empty name": server(""),
    "number as name": server(7),
    "no metadata": b'{"spec":{}}',
    "revision beyond 64 bits": server().replace(b'"rev": 1', b'"rev": 1e999'),
    "revision in words": server().replace(b'"rev": 1', b'"rev": "new"'),
    "state that is not known": server(state="asleep"),
    "service of a megabyte": server(service="s" * 1_000_000),
    "list as service": server(service=["app"]),
    "half a character": server(zone=b'"\\ud800"'),
    "bytes that are no text": server(zone=b'"\xff\xfe\x80"'),
    "no object": b"7",
    "null": b"null",
}


def known(entry: Entry) -> set[str]:
    """Returns the ids of the servers that an entry uses."""
    return set(entry.state.servers.all(time.monotonic()))


async def becomes_known(entry: Entry, server_id: str) -> None:
    """Waits until an entry uses a server."""
    await until(lambda: server_id in known(entry), IN_FORCE_S)


async def assert_all_others_hold(harness: Harness) -> None:
    """Checks that entries run, serve, and follow further changes."""
    added = await harness.add_server()
    for entry, task in zip(harness.entries, harness._tasks, strict=True):
        await becomes_known(entry, added.id)
        assert known(entry) == {server.id for server in harness.servers}
        assert not task.done()
        assert (await fetch(entry._settings.callers, "/safe/x")).status == 200


def version(entry: Entry) -> int:
    return entry.state.config.version if entry.state.config is not None else -1


def odd_lines(lines: list[tuple[str, dict[str, Any]]]) -> list[Any]:
    return [fields["object"] for event, fields in lines if event == "store.odd_object"]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict[str, Any]]]:
    written: list[tuple[str, dict[str, Any]]] = []

    def record(name: str, **fields: Any) -> None:
        written.append((name, fields))

    monkeypatch.setattr(logs, "event", record)
    monkeypatch.setattr(logs, "warning", record)
    return written


@pytest.mark.parametrize("odd", ODD)
def test_odd_server_in_a_watch_does_not_hide_others(
    odd: str, lines: list[tuple[str, dict[str, Any]]]
) -> None:
    async def scenario() -> None:
        async with run_harness() as harness:
            harness.store.put_raw("servers", "odd", ODD[odd])
            await assert_all_others_hold(harness)
            assert len(odd_lines(lines)) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("odd", ODD)
def test_odd_server_in_a_list_does_not_keep_an_entry_from_starting(odd: str) -> None:
    async def scenario() -> None:
        async with run_harness(entries=0) as harness:
            harness.store.put_raw("servers", "odd", ODD[odd])
            await harness.add_entry()
            await assert_all_others_hold(harness)

    asyncio.run(scenario())


def test_all_odd_servers_at_once_are_logged_once_each(
    lines: list[tuple[str, dict[str, Any]]],
) -> None:
    """In a watch, in a list, and in copies between entries."""

    async def scenario() -> None:
        async with run_harness(entries=2) as harness:
            await until(lambda: all(e.peers.count == 2 for e in harness.entries))
            # The second entry reaches the store no more and copies from the first.
            harness.entries[1].store._address = ("127.0.0.1", 1)
            harness.store.reset_connections()
            for number, item in enumerate(ODD.values()):
                item = item.replace(b'"i-odd"', f'"i-odd-{number}"'.encode())
                harness.store.put_raw("servers", f"odd-{number}", item)
            await assert_all_others_hold(harness)
            harness.store.reset_connections()
            await assert_all_others_hold(harness)
            await harness.add_entry()
            await assert_all_others_hold(harness)
            assert harness.entries[0]._view.odd_objects == len(ODD)
            assert harness.entries[2]._view.odd_objects == len(ODD)
            # Each entry logs each object once at most.
            assert len(odd_lines(lines)) <= len(harness.entries) * len(ODD)

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", ["config", "rollouts", "evacuations", ENTRY_KIND])
def test_odd_objects_of_other_kinds_stop_nothing(kind: str) -> None:
    async def scenario() -> None:
        async with run_harness(entries=0) as harness:
            for number, item in enumerate(ODD.values()):
                harness.store.put_raw(kind, f"odd-{number}", item)
            entry = await harness.add_entry(bounds={"evacuate_ms": 5000})
            for number, item in enumerate(ODD.values()):
                harness.store.put_raw(kind, f"odd-{number}", item)
            harness.store.put("config", "main", config(5))
            await until(lambda: version(entry) == 5, IN_FORCE_S)
            await assert_all_others_hold(harness)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "field",
    [b'"timeout_ms": 2000', b'"version": 5', b'"priority": 1', b'"max_attempts": 2'],
)
@pytest.mark.parametrize("value", [b"1e999", b"NaN", b"1" * 400, b"-1e999", b"[]"])
def test_odd_configuration_leaves_the_last_one_in_force(
    field: bytes, value: bytes
) -> None:
    async def scenario() -> None:
        async with run_harness() as harness:
            text = json.dumps({"spec": config(5)}).encode()
            odd = field.split(b":")[0] + b": " + value
            assert field in text
            rev = harness.store._revision + 1
            meta = b'{"metadata": {"name": "main", "rev": %d}, ' % rev
            harness.store.put_raw(
                "config", "main", meta + text[1:].replace(field, odd, 1)
            )
            await asyncio.sleep(0.2)
            entry = harness.entries[0]
            assert version(entry) == 1
            harness.store.put("config", "main", config(6))
            await until(lambda: version(entry) == 6, IN_FORCE_S)
            assert (await fetch(entry._settings.callers, "/safe/x")).status == 200

    asyncio.run(scenario())
