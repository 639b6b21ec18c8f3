"""The plain service, host list and weight store stand-ins."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any

import pytest

from cornelpin.tests.test_standins_common import running_stand_in
from standins.hosts import Host, HostList

HOST = {"address": "127.0.0.1:1", "data_centre": "north"}


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [("GET", "/", b""), ("POST", "/any/path", b"body"), ("PATCH", "/x", b"{}")],
)
def test_service_runs_and_logs_repeated_requests(
    tmp_path: Path, method: str, path: str, body: bytes
) -> None:
    log = tmp_path / "runs.jsonl"
    headers = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}
    with running_stand_in(
        "service", "--run-log", str(log), "--latency-ms", "1"
    ) as service:
        responses = [service.call(method, path, body, headers).json() for _ in range(2)]
        runs = service.call("GET", "/_standin/runs").json()
    assert [response["run"] for response in responses] == [1, 2]
    assert responses[0]["body_sha"] == hashlib.sha256(body).hexdigest()
    assert responses[0]["request_id"] == "r1"
    logged = [json.loads(line) for line in log.read_text().splitlines()]
    assert logged == runs
    assert [event["event"] for event in logged] == ["start", "end"] * 2
    assert {(event["key"], event["path"]) for event in logged} == {("k1", path)}


@pytest.mark.parametrize(
    ("faults", "body", "status", "exit_code"),
    [
        ({}, b"POISON", 200, 0),
        ({"slow": 2.0}, b"", 200, 0),
        ({"fail_rate": 1.0}, b"", 500, 0),
        ({"crash_text": "POISON"}, b"", 200, 0),
        ({"crash_text": "POISON"}, b"a POISON b", 0, 3),
        ({"unknown": 1}, b"", 200, 0),
    ],
)
def test_service_faults(
    faults: dict[str, Any], body: bytes, status: int, exit_code: int
) -> None:
    with running_stand_in("service", "--latency-ms", "1") as service:
        is_known = "unknown" not in faults
        response = service.call("POST", "/_standin/faults", faults)
        assert response.status == (200 if is_known else 400)
        assert service.call("POST", "/work", body).status == status
    assert service.process.returncode == exit_code


def test_host_list_changes_are_accepted_in_an_outage() -> None:
    with running_stand_in("hosts") as hosts:
        assert hosts.call("PUT", "/hosts/h1", HOST).status == 200
        assert hosts.call("PUT", "/hosts/h2", {**HOST, "state": "odd"}).status == 400
        listed = hosts.call("GET", "/hosts").json()
        assert listed == [{"host": "h1", **HOST, "state": "live"}]
        hosts.call("POST", "/faults", {"mode": "outage"})
        assert hosts.call("GET", "/hosts").status == 503
        assert hosts.call("DELETE", "/hosts/h1").status == 200
        assert hosts.call("DELETE", "/hosts/h1").status == 404
        hosts.call("POST", "/faults", {"mode": "ok"})
        assert hosts.call("GET", "/hosts").json() == []


def test_host_list_reads_lag_behind() -> None:
    now = [0.0]
    hosts = HostList(lag_s=5.0, clock=lambda: now[0])
    seen = []
    for moment, state in ((1.0, "live"), (3.0, "leaving")):
        now[0] = moment
        hosts.put(Host("h1", "127.0.0.1:1", "north", state))
    for moment in (5.0, 6.0, 7.0, 8.0):
        now[0] = moment
        seen.append([host.state for host in hosts.read()])
    assert seen == [[], ["live"], ["live"], ["leaving"]]


@pytest.mark.parametrize(
    ("options", "statuses"),
    [
        (("--loads-per-s", "0.01"), [200, 429, 429]),
        (("--loads-per-s", "1000"), [200, 200, 200]),
    ],
)
def test_weight_store_limits_the_rate_of_downloads(
    options: tuple[str, ...], statuses: list[int]
) -> None:
    with running_stand_in("weights", *options, "--size-mb", "1") as store:
        responses = [store.call("GET", "/weights/furnace/v1") for _ in statuses]
    assert [response.status for response in responses] == statuses
    retry_after = [response.headers.get("Retry-After") for response in responses]
    assert [value is not None for value in retry_after] == [
        status == 429 for status in statuses
    ]
