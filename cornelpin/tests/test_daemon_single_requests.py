"""Single requests at the daemon's limits, in each form, in calm."""

from __future__ import annotations

import asyncio
import hashlib
import json
from typing import TYPE_CHECKING

import pytest

from cornelpin.tests.crowds import PIECE_BYTES, split
from cornelpin.tests.daemon_crowd_bed import (
    ENTRY,
    LIMITS,
    ROUTE,
    SERVICE,
    LimitedTestbed,
    Probe,
    deployment,
)
from cornelpin.tests.request_forms import BODY_FORMS, HEADS, exchange

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cornelpin.tests.crowds import Door
    from cornelpin.tests.request_forms import Form

pytestmark = pytest.mark.isolated

SEED = 48
SENT_AHEAD = 200
SIDE = f"side-{SERVICE}"
DOORS = [
    # Process, path, and the status of a request that the process has read whole.
    (ENTRY, ROUTE, 200),
    (ENTRY, "/nothing/x", 404),
    (ENTRY, "/readyz", 200),
    (ENTRY, "/metrics", 200),
    (ENTRY, "/v1/completions", 400),
    (ENTRY, "/v1/models", 400),
    (SIDE, "/nothing/x", 404),
    (SIDE, "/readyz", 200),
]


@pytest.fixture(scope="module")
def bed() -> Iterator[LimitedTestbed]:
    """One testbed for all: a request leaves nothing that another one meets."""
    with LimitedTestbed(deployment(), seed=SEED) as bed:
        yield bed


@pytest.mark.parametrize(("name", "path", "status"), DOORS)
@pytest.mark.parametrize("form", BODY_FORMS)
def test_largest_body_is_taken(
    form: Form, name: str, path: str, status: int, bed: LimitedTestbed
) -> None:
    door = Probe(bed, name).door(path)
    (response,) = asyncio.run(exchange(door, form(door)))
    assert response.status == status
    assert response.complete
    if path == ROUTE:
        digest = hashlib.sha256(b"x" * door.body_bytes).hexdigest()
        assert json.loads(response.body)["body_sha"] == digest


@pytest.mark.parametrize(("name", "path", "status"), DOORS)
@pytest.mark.parametrize("piece_bytes", [1, PIECE_BYTES, 1 << 20])
@pytest.mark.parametrize("head", HEADS)
def test_largest_head_is_taken(
    head: Callable[[Door], bytes],
    piece_bytes: int,
    name: str,
    path: str,
    status: int,
    bed: LimitedTestbed,
) -> None:
    door = Probe(bed, name).door(path)
    data = head(door)
    assert len(data) == door.head_bytes
    (response,) = asyncio.run(exchange(door, split(data, piece_bytes)))
    assert response.status == status
    assert response.complete


@pytest.mark.parametrize(("name", "path"), [(n, p) for n, p, s in DOORS if s == 200])
def test_requests_sent_ahead_are_answered(
    name: str, path: str, bed: LimitedTestbed
) -> None:
    door = Probe(bed, name).door(path)
    requests = door.head(method=b"GET") * SENT_AHEAD
    responses = asyncio.run(exchange(door, iter([requests]), responses=SENT_AHEAD))
    assert [response.status for response in responses] == [200] * SENT_AHEAD


@pytest.mark.parametrize(("name", "path", "status"), DOORS)
def test_larger_body_is_refused(
    name: str, path: str, status: int, bed: LimitedTestbed
) -> None:
    """Guards against a test of other limits than those in force."""
    door = Probe(bed, name).door(path)
    size = LIMITS["max_body_bytes"] + 1
    data = door.head(b"Content-Length: %d" % size) + b"x" * size
    (response,) = asyncio.run(exchange(door, iter([data])))
    assert response.status == 413
