"""The check of a gateway's configuration before it is written."""

from __future__ import annotations

import asyncio
import copy
import json
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, strategies as st

from cornelpin.cli.config_check import check_config
from cornelpin.cli.main import cli
from cornelpin.platform import (
    BadValue,
    ConfigDecoder,
    Stored,
    config_faults,
    decode_server,
    decode_settings,
)
from cornelpin.tests.gateway_harness import config, route
from standins.fleet.server import FleetServer
from standins.fleet.store import FleetStore


def split_route(**weights: float) -> dict[str, Any]:
    """Returns a route to some services, by name."""
    backends = [{"service": n, "weight": w} for n, w in weights.items()]
    return route("/a/", "safe", backends=backends)


# Parts of a configuration that replace those of ``config``, and words of the finding.
ROUTES = config()["routes"]
SERVICE = {"name": "app", "max_conns": 50}
TENANT = {"name": "blue", "api_keys": ["key-blue"]}
FOUND: list[tuple[str, dict[str, Any], str]] = [
    ("no version", {"version": None}, "$: version: expected int"),
    (
        "text as time-out",
        {"routes": [route("/a/", "safe", timeout_ms="1")]},
        "$.routes[0]: timeout_ms",
    ),
    (
        "unknown kind",
        {"routes": [*ROUTES, route("/a/", "fast")]},
        "$.routes[5]: kind: expected one of",
    ),
    ("routes are no list", {"routes": {}}, "$: routes: expected list"),
    ("limits are no object", {"limits": []}, "$: limits: expected dict"),
    (
        "limit without end",
        {"limits": {"idle_timeout_ms": 10**400}},
        "$.limits: idle_timeout_ms",
    ),
    (
        "same prefix",
        {"routes": [*ROUTES, route("/safe/", "safe", name="again")]},
        "route 'again': never matches: 'safe'",
    ),
    (
        "host with a port",
        {"routes": [route("/a/", "safe", host="shop.example:80")]},
        "no request has the host",
    ),
    (
        "prefix without a slash",
        {"routes": [route("/a", "safe")]},
        "route 'a': the prefix '/a'",
    ),
    (
        "unknown service",
        {"routes": [route("/a/", "safe", service="ap")]},
        "there is no service 'ap'; valid names: app",
    ),
    (
        "weight of zero",
        {"routes": [split_route(app=0, b=1)]},
        "'app' gets no requests: its weight is not above 0",
    ),
    (
        "weights of zero",
        {"routes": [split_route(app=0, b=0)]},
        "no weight is above 0: 'app' gets all requests",
    ),
    (
        "unused service",
        {"services": [SERVICE, {"name": "old"}]},
        "service 'old': no route leads to it",
    ),
    (
        "names used twice",
        {"routes": [*ROUTES, route("/b/", "safe", name="safe")]},
        "route 'safe': the name is used 2 times",
    ),
    (
        "key of two",
        {"tenants": [TENANT, {"name": "red", "api_keys": ["key-blue"]}]},
        "workspace 'blue': its API key 0 stands for 'red'",
    ),
    (
        "no key",
        {"tenants": [TENANT, {"name": "red"}]},
        "workspace 'red': it has no API key",
    ),
    (
        "anyone may call",
        {"tenants": []},
        "route 'keyed': it requires an API key, but without workspaces none is asked",
    ),
    (
        "nobody may call",
        {"tenants": [{"name": "red"}]},
        "route 'keyed': it requires an API key, and no workspace has one",
    ),
    (
        "objective above time-out",
        {"routes": [route("/a/", "safe", target_latency_ms=3000)]},
        "the objective of 3 s is above the time-out; use at most 2 s",
    ),
    (
        "no time",
        {"routes": [route("/a/", "safe", timeout_ms=0, target_latency_ms=0)]},
        "a time-out of 0 s",
    ),
    (
        "gap above time-out",
        {"routes": [route("/a/", "stream", target_gap_ms=2500)]},
        "the longest gap between events is 2.5 s",
    ),
    (
        "no attempt",
        {"routes": [route("/a/", "safe", max_attempts=0)]},
        "0 attempts let no request run",
    ),
    (
        "attempts of an unsafe route",
        {"routes": [route("/a/", "unsafe", max_attempts=2)]},
        "2 attempts, but its requests run once only",
    ),
    (
        "no connection",
        {"services": [{"name": "app", "max_conns": 0}]},
        "0 connections serve no request",
    ),
    (
        "quota below one request",
        {"tenants": [TENANT | {"rate_per_s": 5, "burst": 0.5}]},
        "is below one request (1); use 1 or more",
    ),
    (
        "quota in tokens",
        {
            "tenants": [
                TENANT
                | {
                    "rate_per_s": 5,
                    "burst": 50,
                    "unit": "token_stream",
                    "plain_tokens": 200,
                }
            ]
        },
        "a burst of 50 tokens is below one request (200)",
    ),
    ("burst without a rate", {"tenants": [TENANT | {"burst": 5}]}, "sets no limit"),
    ("no body", {"limits": {"max_body_bytes": 0}}, "limits: body_bytes of 0"),
]
SETTINGS = {
    "node": "front-0",
    "zone": "here",
    "ip": "127.0.0.1",
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "internal_ports": [3, 5],
    "provider": {"address": "127.0.0.1:6"},
    "zones": {"here": "inland", "there": "abroad"},
    "bounds": {"budget_ratio": 0.0},
}


def clean(version: int = 2, **fields: Any) -> dict[str, Any]:
    """Returns a configuration without findings."""
    document = copy.deepcopy(config(version, **fields))
    for found in document["routes"]:
        idempotent = found["kind"] == "safe" or found.get("resumable")
        found["max_attempts"] = 2 if idempotent else 1
    return document


def test_sound_configuration_has_no_findings() -> None:
    assert check_config(clean()) == ([], [])


@pytest.mark.parametrize(
    ("fields", "expected"), [row[1:] for row in FOUND], ids=[row[0] for row in FOUND]
)
def test_findings_name_the_place_and_the_values(
    fields: dict[str, Any], expected: str
) -> None:
    findings, _ = check_config(config(2) | fields)
    assert any(expected in str(finding) for finding in findings), findings


def test_all_faults_are_found_at_once() -> None:
    document = config(routes=[{}, route("/a/", "safe"), 7], services=[3], tenants=[{}])
    paths = [finding.path for finding in config_faults(document)]
    assert paths == ["$.routes[0]", "$.routes[2]", "$.services[0]", "$.tenants[0]"]


PLACES = [
    # Regions of the route and of the workspace, data centres of the servers; the words.
    ("all", [], [], ["here"], ""),
    ("at home", ["inland"], ["inland"], ["here"], ""),
    ("unknown region", ["inlnad"], [], ["here"], "there is no region 'inlnad'"),
    ("no server there", ["abroad"], [], ["here"], "no server in its regions abroad"),
    ("none in both", ["inland"], ["abroad"], ["here", "there"], "workspace 'blue'"),
    ("workspace elsewhere", [], ["abroad"], ["here"], "its regions are abroad"),
    ("no server at all", [], [], [], "no server of it is registered"),
]


@pytest.mark.parametrize(
    ("route_regions", "workspace_regions", "data_centres", "expected"),
    [row[1:] for row in PLACES],
    ids=[row[0] for row in PLACES],
)
def test_regions_that_leave_no_server_are_found(
    route_regions: list[str],
    workspace_regions: list[str],
    data_centres: list[str],
    expected: str,
) -> None:
    document = clean()
    document["routes"][0]["allowed_regions"] = route_regions
    document["tenants"][0]["allowed_regions"] = workspace_regions
    servers = []
    for name in data_centres:
        spec = {"service": "app", "zone": name, "slots": 1, "state": "ready"}
        servers.append(decode_server(name, spec | {"address": "127.0.0.1:80"}))
    findings, _ = check_config(
        document,
        settings=decode_settings(SETTINGS | {"bounds": {}}),
        stored=Stored(None, tuple(servers)),
    )
    texts = [str(finding) for finding in findings]
    assert texts == [] if not expected else expected in " ".join(texts)


def test_attempts_and_hedges_beyond_the_retry_budget_are_found() -> None:
    settings = decode_settings(SETTINGS)
    findings, _ = check_config(clean(), settings=settings, hedge_share=0.05)
    texts = [str(finding) for finding in findings]
    assert (
        "settings: hedged requests may be 0.05 of all, retries 0; use at most 0"
        in texts
    )
    assert any("the budget allows no retry" in text for text in texts)


def test_differences_begin_with_what_ends_service_and_show_no_key() -> None:
    before, after = clean(4), clean(5)
    del after["routes"][1]
    after["routes"][0]["timeout_ms"] = 700
    after["routes"].append(route("/new/", "safe"))
    after["tenants"][0]["api_keys"] = ["key-blue", "key-other"]
    after["limits"]["max_body_bytes"] = 30_000
    _, changes = check_config(after, before)
    assert [str(change) for change in changes] == [
        "removed route 'unsafe'",
        "changed route 'safe': timeout_s 2 to 0.7",
        "changed workspace 'blue': keys 1 added, 0 removed",
        "changed limits: body_bytes 20000 to 30000",
        "added route 'new'",
    ]
    findings, _ = check_config(before, after)
    assert str(findings[0]) == (
        "version: 4 is not above 5, which entries keep; use 6 or more"
    )


# Text of all characters needs a table that takes seconds in a fresh checkout.
TEXT = st.text("a7/ é", max_size=3)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT,
    lambda items: (
        st.lists(items, max_size=3) | st.dictionaries(TEXT, items, max_size=3)
    ),
    max_leaves=5,
)


@given(st.data())
def test_entries_accept_what_has_no_faults_alone(data: st.DataObject) -> None:
    document: Any = copy.deepcopy(config())
    for _ in range(data.draw(st.integers(0, 3))):
        place: Any = document
        while place and isinstance(place, (dict, list)):
            keys = list(place) if isinstance(place, dict) else range(len(place))
            key = data.draw(st.sampled_from(list(keys)))
            if not isinstance(place[key], (dict, list)) or data.draw(st.booleans()):
                place[key] = data.draw(JSON)
                break
            place = place[key]
    try:
        ConfigDecoder().decode(document)
    except BadValue:
        assert config_faults(document)
    else:
        assert config_faults(document) == []


@pytest.fixture
def store() -> Iterator[FleetStore]:
    """A store with a configuration and a server, in a thread of its own."""
    loop, stored = asyncio.new_event_loop(), FleetStore()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    start = stored.server.start("127.0.0.1")
    try:
        asyncio.run_coroutine_threadsafe(start, loop).result()
        stored.put("config", "main", clean(7))
        server = FleetServer("app")
        server.server.address = ("127.0.0.1", 80)
        stored.put("servers", server.id, server.store_spec())
        yield stored
    finally:
        asyncio.run_coroutine_threadsafe(stored.server.stop(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


EXITS = [
    # Configuration, whether the store runs; exit code and words of the output.
    ("sound", clean(8), True, 0, "nothing found"),
    ("older", clean(7), True, 1, "which entries keep"),
    ("changed", clean(8, tenants=[]), True, 1, "removed workspace 'blue'"),
    ("no store", clean(8), False, 2, "the store can't be read"),
    ("no file", None, True, 2, "No such file"),
]


@pytest.mark.parametrize(
    ("document", "runs", "exit_code", "expected"),
    [row[1:] for row in EXITS],
    ids=[row[0] for row in EXITS],
)
def test_command_compares_with_the_store_and_changes_nothing(
    store: FleetStore,
    tmp_path: Path,
    document: Any,
    runs: bool,
    exit_code: int,
    expected: str,
) -> None:
    ip, port = store.server.address
    if not runs:
        store.mode = "busy"
    before = copy.deepcopy(store.objects("config"))
    settings = tmp_path / "entry.json"
    provider = {"address": f"{ip}:{port}"}
    settings.write_text(json.dumps(SETTINGS | {"provider": provider, "bounds": {}}))
    file = tmp_path / "next.json"
    if document is not None:
        file.write_text(json.dumps(document))
    arguments = ["config", "check", str(file), "--settings", str(settings)]
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == exit_code, result.output
    assert expected in result.output
    assert store.objects("config") == before


def test_output_as_json(tmp_path: Path) -> None:
    for name, version in (("next", 7), ("current", 8)):
        (tmp_path / name).write_text(json.dumps(clean(version)))
    result = CliRunner().invoke(
        cli,
        ["--output", "json", "config", "check", str(tmp_path / "next")]
        + ["--in-force", str(tmp_path / "current")],
    )
    shown = json.loads(result.output)
    assert [finding["path"] for finding in shown["findings"]] == ["version"]
    assert shown["differences"] == []
