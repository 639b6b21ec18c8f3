"""Faults that are injected from outside, drawn by a seed; they overlap freely."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING, Any

from benchmarks.fault_soak.fleet import GRACE_S, EntryProcess, Fleet

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

FAULTS: dict[str, Callable[[Fleet, random.Random], Coroutine[Any, Any, None]]] = {}
PLANNED: set[str] = set()
"""Planned work, beside which no request may be lost."""
AFTERMATH_S = 4.0
"""Time after a fault in which it may still cost requests: connections time out."""


def register(
    *, planned: bool = False
) -> Callable[
    [Callable[[Fleet, random.Random], Coroutine[Any, Any, None]]],
    Callable[[Fleet, random.Random], Coroutine[Any, Any, None]],
]:
    """Adds a fault under its function's name."""

    def add(
        fault: Callable[[Fleet, random.Random], Coroutine[Any, Any, None]],
    ) -> Callable[[Fleet, random.Random], Coroutine[Any, Any, None]]:
        FAULTS[fault.__name__] = fault
        if planned:
            PLANNED.add(fault.__name__)
        return fault

    return add


def _pick(fleet: Fleet, rng: random.Random) -> EntryProcess | None:
    """Returns an entry that runs undisturbed, unless it would be the last."""
    calm = [entry for entry in fleet.entries if entry.running and not entry.paused]
    return rng.choice(calm) if len(calm) > 1 else None


def _trouble(entry: EntryProcess, for_s: float) -> None:
    loop = asyncio.get_running_loop()
    until = loop.time() + for_s + AFTERMATH_S
    entry.troubled_until = max(entry.troubled_until, until)


@register(planned=True)
async def restart(fleet: Fleet, rng: random.Random) -> None:
    """Stops an entry with SIGTERM and starts it again once it has ended."""
    entry = _pick(fleet, rng)
    if entry is None:
        return
    process = entry.process
    entry.signal(signal.SIGTERM)
    for _ in range(int(GRACE_S / 0.1)):
        await asyncio.sleep(0.1)
        if not entry.running:
            break
    if entry.process is not process:
        return
    if entry.running:
        _trouble(entry, 0.0)
    entry.start()
    await fleet.until_ready(entry)


@register(planned=True)
async def reload(fleet: Fleet, rng: random.Random) -> None:
    """Changes an entry's settings, with or without a signal."""
    entry = _pick(fleet, rng)
    if entry is None:
        return
    fleet.write_settings(entry, added=rng.random())
    if rng.random() < 0.7:
        entry.signal(signal.SIGHUP)
        await asyncio.sleep(AFTERMATH_S)
        if not entry.running:
            await fleet.until_ready(entry)


@register(planned=True)
async def configure(fleet: Fleet, rng: random.Random) -> None:
    """Writes a few configurations in quick succession."""
    for _ in range(rng.randint(1, 4)):
        fleet.configure()
        await asyncio.sleep(rng.uniform(0.0, 0.3))


@register()
async def kill(fleet: Fleet, rng: random.Random) -> None:
    """Kills an entry and starts it again."""
    entry = _pick(fleet, rng)
    if entry is None:
        return
    _trouble(entry, 1.0)
    entry.kill()
    process = entry.process
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    if entry.process is process:
        entry.start()
        await fleet.until_ready(entry)


@register()
async def pause(fleet: Fleet, rng: random.Random) -> None:
    """Stops an entry's process for a while, as a frozen host."""
    entry = _pick(fleet, rng)
    if entry is None:
        return
    for_s = rng.uniform(0.2, 3.0)
    _trouble(entry, for_s)
    entry.signal(signal.SIGSTOP)
    entry.paused = True
    await asyncio.sleep(for_s)
    entry.signal(signal.SIGCONT)
    entry.paused = False


@register()
async def link(fleet: Fleet, rng: random.Random) -> None:
    """Delays, resets, silences or cuts one way the links to a server."""
    proxy = fleet.proxies[rng.choice(fleet.servers).id]
    trouble = proxy.trouble
    match rng.choice(["delay", "reset", "to", "back", "refused"]):
        case "delay":
            trouble.delay_s = rng.uniform(0.01, 0.3)
        case "reset":
            proxy.reset()
        case "to":
            trouble.silent_to = True
        case "back":
            trouble.silent_back = True
        case _:
            trouble.refused = True
            proxy.reset()
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    trouble.delay_s = 0.0
    trouble.silent_to = trouble.silent_back = trouble.refused = False
    # What was swallowed would be read as the middle of something else.
    proxy.reset()


@register()
async def server(fleet: Fleet, rng: random.Random) -> None:
    """Makes a server fail in one of its ways."""
    behaviour = rng.choice(fleet.servers).behaviour
    behaviour.fault = rng.choice(
        ["full", "error", "crash", "cut", "mute", "unsealed", "extra", "late_extra"]
    )
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    behaviour.fault = ""


@register()
async def store(fleet: Fleet, rng: random.Random) -> None:
    """Takes the store away, makes it lose answers or forget its history."""
    match rng.choice(["busy", "silent", "lost", "forget", "cut"]):
        case "silent":
            fleet.store.go_silent()
        case "forget":
            fleet.store.compact_history()
        case "cut":
            proxy = rng.choice(fleet.store_proxies)
            proxy.trouble.silent_back = True
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            proxy.trouble.silent_back = False
            proxy.reset()
        case mode:
            fleet.store.mode = mode
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    fleet.store.mode = "up"


@register(planned=True)
async def drain(fleet: Fleet, rng: random.Random) -> None:
    """Drains a server and lets it come back."""
    one = rng.choice(fleet.servers)
    fleet.list_server(one, "draining")
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    fleet.list_server(one)
