"""Faults that are injected from outside, drawn by a seed; they may overlap."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING, Any

from benchmarks.fault_soak.fleet import (
    COLD_PER_S,
    DATA_CENTRES,
    GRACE_S,
    EntryProcess,
    Fleet,
    Limit,
)
from cornelpin.tests.test_odd_objects import ODD

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

FAULTS: dict[str, Callable[[Fleet, random.Random], Coroutine[Any, Any, None]]] = {}
PLANNED: set[str] = set()
"""Names of planned operations, during which no request may be lost."""
STORE_RECOVERY_S = 3.0
"""Time after a fault of the store until all entries know its objects again."""
RECOVERY_S = 4.0
"""Time after a fault in which requests may still fail until connections time out."""


def register(
    *, planned: bool = False
) -> Callable[
    [Callable[[Fleet, random.Random], Coroutine[Any, Any, None]]],
    Callable[[Fleet, random.Random], Coroutine[Any, Any, None]],
]:
    """Registers a fault under its function's name, optionally as planned operation."""

    def add(
        fault: Callable[[Fleet, random.Random], Coroutine[Any, Any, None]],
    ) -> Callable[[Fleet, random.Random], Coroutine[Any, Any, None]]:
        FAULTS[fault.__name__] = fault
        if planned:
            PLANNED.add(fault.__name__)
        return fault

    return add


def _pick_entry(fleet: Fleet, rng: random.Random) -> EntryProcess | None:
    """Returns a random entry that runs unpaused, None if fewer than two do."""
    candidates = [
        entry for entry in fleet.entries if entry.running and not entry.paused
    ]
    return rng.choice(candidates) if len(candidates) > 1 else None


def _expect_failures(entry: EntryProcess, duration_s: float) -> None:
    """Excuses requests at an entry during a fault and the recovery after it."""
    loop = asyncio.get_running_loop()
    until = loop.time() + duration_s + RECOVERY_S
    entry.faults.append((loop.time(), until))
    entry.faulty_until = max(entry.faulty_until, until)


@register(planned=True)
async def restart(fleet: Fleet, rng: random.Random) -> None:
    """Stops an entry with SIGTERM and starts it again once it has ended."""
    entry = _pick_entry(fleet, rng)
    if entry is None:
        return
    process = entry.process
    began = asyncio.get_running_loop().time()
    entry.signal(signal.SIGTERM)
    for _ in range(int(GRACE_S / 0.1)):
        await asyncio.sleep(0.1)
        if not entry.running:
            break
    if entry.process is not process:
        return
    if entry.running:
        _expect_failures(entry, 0.0)
    entry.start()
    await fleet.wait_ready(entry)
    entry.faults.append((began, asyncio.get_running_loop().time()))


@register(planned=True)
async def reload(fleet: Fleet, rng: random.Random) -> None:
    """Changes an entry's settings file, with or without SIGHUP."""
    entry = _pick_entry(fleet, rng)
    if entry is None:
        return
    # An unknown field changes the file but not the settings.
    fleet.write_settings(entry, added=rng.random())
    if rng.random() < 0.7:
        entry.signal(signal.SIGHUP)
        await asyncio.sleep(RECOVERY_S)
        if not entry.running:
            await fleet.wait_ready(entry)


@register(planned=True)
async def configure(fleet: Fleet, rng: random.Random) -> None:
    """Writes a few configurations in quick succession."""
    for _ in range(rng.randint(1, 4)):
        fleet.configure()
        await asyncio.sleep(rng.uniform(0.0, 0.3))


@register()
async def kill(fleet: Fleet, rng: random.Random) -> None:
    """Kills an entry and starts it again."""
    entry = _pick_entry(fleet, rng)
    if entry is None:
        return
    _expect_failures(entry, 1.0)
    entry.kill()
    process = entry.process
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    if entry.process is process:
        entry.start()
        await fleet.wait_ready(entry)


@register()
async def pause(fleet: Fleet, rng: random.Random) -> None:
    """Pauses an entry's process for a while, as if its host were frozen."""
    entry = _pick_entry(fleet, rng)
    if entry is None:
        return
    duration_s = rng.uniform(0.2, 3.0)
    _expect_failures(entry, duration_s)
    entry.signal(signal.SIGSTOP)
    entry.paused = True
    await asyncio.sleep(duration_s)
    entry.signal(signal.SIGCONT)
    entry.paused = False


@register()
async def link(fleet: Fleet, rng: random.Random) -> None:
    """Delays, resets, refuses or drops one direction of the connections to a server."""
    server_id = rng.choice(fleet.servers).id
    proxy = fleet.proxies[server_id]
    fault = proxy.fault
    begin = asyncio.get_running_loop().time()
    match rng.choice(["delay", "reset", "to", "back", "refused"]):
        case "delay":
            fault.delay_s = rng.uniform(0.01, 0.3)
        case "reset":
            proxy.reset()
        case "to":
            fault.drop_to_server = True
        case "back":
            fault.drop_from_server = True
        case _:
            fault.refuse_connections = True
            proxy.reset()
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    fault.delay_s = 0.0
    fault.drop_to_server = fault.drop_from_server = fault.refuse_connections = False
    end = asyncio.get_running_loop().time()
    fleet.link_faults.append((server_id, begin, end))
    # After a gap in the byte stream the peers would read a message from its middle.
    proxy.reset()


@register()
async def server(fleet: Fleet, rng: random.Random) -> None:
    """Makes a server fail in one of the ways of its stand-in."""
    behaviour = rng.choice(fleet.servers).behaviour
    behaviour.fault = rng.choice(
        ["full", "error", "crash", "cut", "mute", "unsealed", "extra", "late_extra"]
    )
    if behaviour.fault == "full" and rng.random() < 0.5:
        behaviour.pause = rng.choice(["1", "2.5", "0.3", "-1", "soon", "1e12"])
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    behaviour.fault = behaviour.pause = ""


@register(planned=True)
async def limit(fleet: Fleet, rng: random.Random) -> None:
    """Makes a server name a limit on the requests of all entries, or invalid values."""
    limited = rng.choice(fleet.servers)
    behaviour, loop = limited.behaviour, asyncio.get_running_loop()
    if behaviour.limits:
        return
    per_s = rng.choice([0.0, 0.5, 2.0, 6.0])
    behaviour.limits = rng.choice([(f"{per_s}",), (f"{per_s}", "soon"), ("-1", "")])
    begin = loop.time()
    while loop.time() < begin + rng.uniform(3.0, 7.0):
        await asyncio.sleep(0.1)
        # A restart, which replaces the behaviour, ends the limit.
        if limited.behaviour is not behaviour:
            break
    if behaviour.limits[0] == f"{per_s}":
        restarts = [at for at in limited.restarts if at > begin]
        end = min([loop.time(), *restarts])
        fleet.limits.append(Limit(limited, per_s, begin, end))
    behaviour.limits = ()


@register(planned=True)
async def cold(fleet: Fleet, rng: random.Random) -> None:
    """Makes a server cold, for a time that it registers with each heartbeat."""
    server = rng.choice(fleet.servers)
    loop = asyncio.get_running_loop()
    if server.cold_left_ms:
        return
    begin = loop.time()
    end = begin + rng.uniform(2.0, 4.0)
    while (left_s := end - loop.time()) > 0:
        server.cold_left_ms = 1e3 * left_s
        fleet.register_server(server)
        await asyncio.sleep(min(left_s, 1.2))
    server.cold_left_ms = 0
    fleet.register_server(server)
    fleet.cold_spells.append(Limit(server, COLD_PER_S, begin, end))


@register(planned=True)
async def evacuate(fleet: Fleet, rng: random.Random) -> None:
    """Evacuates a data centre, rarely all of them, and takes the order back."""
    names = DATA_CENTRES if rng.random() < 0.1 else [rng.choice(DATA_CENTRES)]
    if fleet.evacuated:
        return
    begin = asyncio.get_running_loop().time()
    fleet.evacuated = set(names)
    for name in names:
        fleet.evacuate(name)
    await asyncio.sleep(rng.uniform(1.0, 8.0))
    end = asyncio.get_running_loop().time()
    fleet.evacuations += [(name, begin, end) for name in names]
    for name in names:
        fleet.end_evacuation(name)
    fleet.evacuated = set()


@register(planned=True)
async def odd(fleet: Fleet, rng: random.Random) -> None:
    """Lets another writer leave an object that is no valid one for a while."""
    kind = rng.choice(["servers", "servers", "config", "rollouts", "evacuations"])
    item = ODD[rng.choice(list(ODD))]
    fleet.store.put_raw(kind, "odd", item)
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    fleet.store.remove(kind, "odd")


@register()
async def repeat(fleet: Fleet, rng: random.Random) -> None:
    """Makes a server write the refusals of its connections once more."""
    behaviour = rng.choice(fleet.servers).behaviour
    behaviour.refusal_has_id = rng.random() < 0.5
    behaviour.repeat = rng.choice(["at_once", "idle", "next", "mid_run", "instead"])
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    behaviour.repeat = ""


@register()
async def store(fleet: Fleet, rng: random.Random) -> None:
    """Makes the store fail, stall, lose responses, drop its history or be cut off."""
    begin = asyncio.get_running_loop().time()
    match rng.choice(["busy", "silent", "lost", "forget", "cut", "kind"]):
        case "kind":
            fleet.store.rejected_kinds.add(rng.choice(["config", "servers"]))
            fleet.store.reset_connections()
        case "silent":
            fleet.store.go_silent()
        case "forget":
            fleet.store.compact_history()
        case "cut":
            proxy = rng.choice(fleet.store_proxies)
            proxy.fault.drop_from_server = True
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            proxy.fault.drop_from_server = False
            proxy.reset()
        case mode:
            fleet.store.mode = mode
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    fleet.store.mode = "up"
    fleet.store.rejected_kinds.clear()
    end = asyncio.get_running_loop().time()
    fleet.store_faults.append((begin, end + STORE_RECOVERY_S))


@register(planned=True)
async def drain(fleet: Fleet, rng: random.Random) -> None:
    """Drains a server and starts it again as another incarnation."""
    drained = rng.choice(fleet.servers)
    fleet.register_server(drained, "draining")
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    drained.restart()
    fleet.register_server(drained)


@register(planned=True)
async def leave(fleet: Fleet, rng: random.Random) -> None:
    """Lets a server say that it leaves; the store may say so later, or never."""
    leaving = rng.choice(fleet.servers)
    leaving.behaviour.leaving = True
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    if rng.random() < 0.5:
        fleet.register_server(leaving, "draining")
    await asyncio.sleep(rng.uniform(0.5, 1.5))
    leaving.restart()
    fleet.register_server(leaving)


@register(planned=True)
async def restore(fleet: Fleet, rng: random.Random) -> None:
    """Restores the store from a copy; what others wrote since is written again."""
    begin = asyncio.get_running_loop().time()
    fleet.store.keep_copy()
    fleet.configure()
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    if rng.random() < 0.5:
        fleet.store.go_silent()
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        fleet.store.mode = "up"
    fleet.store.restore()
    await asyncio.sleep(rng.uniform(0.0, 1.5))
    fleet.write_again()
    end = asyncio.get_running_loop().time()
    fleet.store_faults.append((begin, end + STORE_RECOVERY_S))
