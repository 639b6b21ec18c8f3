"""Background tasks that fail: an entry goes on while they can be started again."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from cornelpin.gateway import background
from cornelpin.gateway.background import MAX_FAILURES, BackgroundTasks
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import run_harness, until

TIMEOUT_S = 10.0


@pytest.mark.parametrize(
    ("failures", "given_up"),
    [(0, False), (1, False), (MAX_FAILURES - 1, False), (MAX_FAILURES, True)],
)
def test_failed_task_is_started_again(
    failures: int, given_up: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(background, "FIRST_BACKOFF_S", 0.001)
    ends: list[str] = []
    starts: list[int] = []

    async def run() -> None:
        starts.append(len(starts))
        if len(starts) <= failures:
            raise ValueError(len(starts))
        ends.append("returned")

    async def scenario() -> None:
        tasks = BackgroundTasks(lambda: ends.append("given up"))
        tasks.start("odd", run)
        async with asyncio.timeout(TIMEOUT_S):
            while not ends:
                await asyncio.sleep(0.001)
        assert tasks.failures == failures

    asyncio.run(scenario())
    assert ends == ["given up" if given_up else "returned"]
    assert len(starts) == failures + (not given_up)


def test_failures_far_apart_do_not_add_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(background, "FIRST_BACKOFF_S", 0.0)
    monkeypatch.setattr(background, "SOUND_S", 0.002)
    given_up: list[bool] = []
    starts: list[int] = []

    async def run() -> None:
        starts.append(len(starts))
        await asyncio.sleep(0.004)
        if len(starts) <= 2 * MAX_FAILURES:
            raise ValueError(len(starts))

    async def scenario() -> None:
        tasks = BackgroundTasks(lambda: given_up.append(True))
        tasks.start("odd", run)
        async with asyncio.timeout(TIMEOUT_S):
            while len(starts) <= 2 * MAX_FAILURES:
                await asyncio.sleep(0.001)

    asyncio.run(scenario())
    assert not given_up


STEPS = [
    ("scheduler", "tick"),
    ("peers", "tick"),
    ("server_limits", "forget"),
    ("rollout_controller", "write_statuses"),
]


@pytest.mark.parametrize(("part", "step"), STEPS)
def test_entry_serves_on_after_a_background_task_failed(
    part: str, step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that ends for one odd input."""

    async def scenario() -> None:
        async with run_harness() as harness:
            entry = harness.entries[0]
            owner = getattr(entry, part)
            calls: list[Any] = []
            sound = getattr(owner, step)

            def fail_twice(*args: Any) -> Any:
                calls.append(args)
                if len(calls) <= 2:
                    raise ValueError("odd")
                return sound(*args)

            monkeypatch.setattr(owner, step, fail_twice)
            await until(lambda: len(calls) > 3)
            for _ in range(3):
                assert (await fetch(entry._settings.callers, "/safe/x")).status == 200
            assert not harness._tasks[0].done()

    asyncio.run(scenario())


def test_entry_whose_task_always_fails_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(background, "FIRST_BACKOFF_S", 0.001)

    async def scenario() -> None:
        async with run_harness() as harness:
            entry = harness.entries[0]

            def fail() -> None:
                raise ValueError("odd")

            monkeypatch.setattr(entry.scheduler, "tick", fail)
            async with asyncio.timeout(TIMEOUT_S):
                await harness._tasks[0]

    asyncio.run(scenario())
