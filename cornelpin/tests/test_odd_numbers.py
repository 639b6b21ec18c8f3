"""Requests whose numbers are out of any range."""

from __future__ import annotations

import asyncio

import pytest

from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import run_harness

EXCHANGE_S = 0.6
"""Time in which an entry tells the others what it counts, several times."""
HEADERS = [
    {"Token-Usage": "700,18446744073709551615"},
    {"Token-Usage": "18446744073709551616,1"},
    {"Token-Usage": "10000000000000000000,10"},
    {"Token-Usage": "9" * 400 + ",1"},
    {"Token-Usage": "700,80", "Length-Hint": "9" * 400},
    {"Token-Usage": "700,80", "Length-Hint": "9" * 3_000},
    {"Deadline-Ms": "9" * 400},
    {"Deadline-Ms": "1e400"},
    {"Prompt-Prefix": f"aa:{'9' * 400},bb:1"},
]


@pytest.mark.parametrize("headers", HEADERS)
@pytest.mark.parametrize("path", ["/safe/x", "/stream/x", "/keyed/x"])
def test_entry_serves_on_after_odd_numbers(path: str, headers: dict[str, str]) -> None:
    """Guards against a process that ends for what one request says."""

    async def scenario() -> None:
        async with run_harness(entries=2) as harness:
            address = harness.entries[0]._settings.callers
            harness.servers[0].behaviour.answer_s = EXCHANGE_S
            for key in ("key-blue", "key-small"):
                odd = {"Authorization": f"Token {key}"} | headers
                await fetch(address, path, method="POST", headers=odd)
            harness.servers[0].behaviour.answer_s = 0.0
            await asyncio.sleep(EXCHANGE_S)
            for entry in harness.entries:
                assert not entry._stop.is_set()
                response = await fetch(entry._settings.callers, "/safe/y")
                assert response.status == 200

    asyncio.run(scenario())
