"""Responses that a faulty server writes to requests that it was not sent."""

from __future__ import annotations

import asyncio

import pytest

from cornelpin.tests.fleet_client import Response, fetch
from cornelpin.tests.gateway_harness import Harness, route, run_harness, until

REPEATS = ["at_once", "idle", "next", "mid_run", "instead"]
ROUTES = [
    route("/safe/", "safe"),
    route("/unsafe/", "unsafe", max_attempts=1),
    route("/stream/", "stream", max_attempts=1),
]
NOT_RUN = {408, 421, 429, 503}
"""Statuses that promise that a request has not run and never will."""


async def ask(harness: Harness, path: str, number: int) -> Response:
    method = "POST" if path.startswith("/stream/") else "GET"
    return await fetch(
        harness.entries[0]._settings.callers,
        f"{path}{number}",
        method=method,
        request_id=f"r{number}",
        headers={"Deadline-Ms": "400"},
    )


@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("refusal", [503, 429, 421])
@pytest.mark.parametrize("repeat", REPEATS)
@pytest.mark.parametrize("path", ["/unsafe/", "/safe/", "/stream/"])
def test_refusal_written_again_is_not_taken_for_the_next_response(
    path: str, repeat: str, refusal: int, has_id: bool
) -> None:
    """Guards against callers that hear 'not run' of requests that have run."""

    async def scenario() -> None:
        async with run_harness(servers=2, routes=ROUTES) as harness:
            for server in harness.servers:
                server.behaviour.repeat = repeat
                server.behaviour.refusal = refusal
                server.behaviour.refusal_has_id = has_id
            # Requests one after another use the connection that the refusal came on.
            for number in range(5):
                # What the entry believes of the servers does not keep it from them.
                harness.entries[0].scheduler.dispatcher._candidates._health.clear()
                response = await ask(harness, path, number)
                request_id = f"r{number}"
                runs = sum(server.runs[request_id] for server in harness.servers)
                if path != "/safe/":
                    assert runs <= 1
                    assert not (runs and response.status in NOT_RUN)
                if response.status == 200 and path != "/stream/":
                    assert response.body == f"{path}{number}|".encode()
                await asyncio.sleep(0.01)
            assert all(server.arrivals for server in harness.servers)

    asyncio.run(scenario())


def test_connection_is_not_used_again_after_a_response_that_nobody_asked_for() -> None:
    async def scenario() -> None:
        async with run_harness(routes=ROUTES) as harness:
            server = harness.servers[0]
            server.behaviour.repeat = "next"
            pool = harness.entries[0].state.pool

            def idle() -> int:
                return sum(len(stack) for stack in pool._idle.values())

            await ask(harness, "/safe/", 0)
            await until(lambda: idle() > 0)
            before = idle()
            assert (await ask(harness, "/safe/", 1)).status == 200
            assert idle() == before - 1

    asyncio.run(scenario())


def test_second_send_of_a_request_takes_no_connection_on_which_it_was_refused() -> None:
    """Guards against a repeated refusal of the first send, which has the same id."""

    async def scenario() -> None:
        async with run_harness(routes=ROUTES) as harness:
            server = harness.servers[0]
            server.behaviour.repeat = "instead"
            server.behaviour.refusal = 503
            first = await ask(harness, "/unsafe/", 1)
            assert first.status == 503
            # The client sends the same request again under the same id.
            second = await ask(harness, "/unsafe/", 1)
            assert not (server.runs["r1"] and second.status in NOT_RUN)
            assert server.server.connections_accepted >= 2

    asyncio.run(scenario())
