"""Entries are stopped as planned while requests reach their deadline."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time
from pathlib import Path

import attrs

from review.stage import (
    CONTACT_S,
    EntryProcess,
    Record,
    Stage,
    config,
    read_answer,
    record_runs,
    request_head,
    route,
    run_case,
    troubled,
)
from standins.fleet.raw_http import RawRequest
from standins.fleet.server import Behaviour, FleetServer

ENTRIES, SERVERS, SLOTS = 6, 20, 9
ROUNDS = 2
ASKED = 45
HANG_OF_20 = 9
HUNG_DEADLINE_S = 6.0
GAP_S = 1.0
ANSWER_GRACE_S = 0.1
SPACING_S = 0.004
SOUND = 15
LEADS_S = (-0.0005, 0.0, 0.0005, 0.001, 0.0015)
SPIN_S = 0.005
NORMAL = Behaviour(events=90, gap_s=0.02)
_leads_s = itertools.cycle(LEADS_S)


class GreyServer(FleetServer):
    """A server that hangs on a part of its requests while it is told to.

    Attributes:
        hangs: Whether it does.
    """

    hangs = False
    _asked = 0

    async def _run(
        self, req: RawRequest, request_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        if self.hangs:
            self._asked += 1
            if self._asked * HANG_OF_20 % 20 < HANG_OF_20:
                await asyncio.sleep(60)
        return await super()._run(req, request_id, writer)


@attrs.define
class Sent:
    """A request of a client."""

    request_id: str
    entry: EntryProcess
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False


async def ask(entry: EntryProcess, target: str, deadline_ms: int) -> Sent:
    """Sends a request on a connection of its own and waits for the answer."""
    request_id, head = request_head(
        target, deadline_ms=deadline_ms, Content_Length="2", Token_Usage="40,60"
    )
    one = Sent(request_id, entry)
    reader, writer = await asyncio.open_connection(*entry.callers)
    one.sent_at = time.monotonic()
    writer.write(head + b"\r\nhi")
    one.status, _, one.complete = await read_answer(reader)
    one.ended_at = time.monotonic()
    writer.close()
    return one


@attrs.define
class Stop:
    """A planned stop of an entry.

    Attributes:
        entry: The entry.
        hung: Requests that it sends to servers that do not answer.
        at: Monotonic time of the stop, when their deadline passes.
    """

    entry: EntryProcess
    hung: list[asyncio.Task[Sent]]
    at: float


async def prepare(entry: EntryProcess, deadline_s: float) -> Stop:
    """Sends an entry some requests to which no server will answer."""
    ends_at = time.monotonic() + deadline_s
    hung = []
    for _ in range(ASKED if troubled() else 0):
        left_ms = round(1e3 * (ends_at - time.monotonic()))
        hung.append(asyncio.create_task(ask(entry, "/safe/look", left_ms)))
        await asyncio.sleep(SPACING_S)
    return Stop(entry, hung, ends_at + ANSWER_GRACE_S + next(_leads_s))


async def carry_out(stop: Stop, record: Record) -> list[Sent]:
    """Stops an entry and starts it again; returns what it had in hand."""
    entry = stop.entry
    await asyncio.sleep(stop.at - 1.0 - time.monotonic())
    asking = (ask(entry, "/stream/dossie", 12_000) for _ in range(SOUND))
    sound = [asyncio.create_task(one) for one in asking]
    await asyncio.sleep(stop.at - SPIN_S - time.monotonic())
    while time.monotonic() < stop.at:
        pass
    entry.send_signal(signal.SIGTERM)
    record(f"{entry.name}: SIGTERM")
    code = await entry.wait()
    record(f"{entry.name} has ended with code {code}")
    await entry.start()
    for one in await asyncio.gather(*stop.hung):
        record(f"{one.request_id} (as servers hang) answered {one.status}")
    return list(await asyncio.gather(*sound))


async def roll(stage: Stage, servers: list[GreyServer], record: Record) -> list[Sent]:
    """Stops all entries in turn after servers have hung; returns sound requests."""
    for server in servers:
        server.hangs = troubled()
    stops = [
        await prepare(entry, HUNG_DEADLINE_S + GAP_S * number)
        for number, entry in enumerate(stage.entries)
    ]
    await asyncio.sleep(0.3)
    for server in servers:
        server.hangs = False
    record("the servers answer again")
    in_hand = await asyncio.gather(*(carry_out(stop, record) for stop in stops))
    await asyncio.sleep(CONTACT_S + 0.2)
    return [one for sent in in_hand for one in sent]


async def play(stage: Stage, record: Record) -> bool:
    """Plays the case."""
    servers = [GreyServer("app", slots=SLOTS) for _ in range(SERVERS)]
    for server in servers:
        server.behaviour = NORMAL
    routes = [route("/stream/", "stream"), route("/safe/", "safe")]
    await stage.start(config(routes), list(servers))
    lost = 0
    for _ in range(ROUNDS):
        sound = await roll(stage, servers, record)
        ran = {i for s in servers for i in s.runs}
        for one in sound:
            whole = "whole" if one.complete else "not whole"
            record(f"{one.request_id} (sound) answered {one.status}, {whole}")
            if one.request_id in ran and not one.complete:
                lost += 1
                record(
                    f"{one.request_id} ran, and its connection ended after "
                    f"{one.ended_at - one.sent_at:.2f} s without a whole answer"
                )
    record_runs(record, list(servers))
    codes = [code for entry in stage.entries for code in entry.ended]
    record(f"exit codes after SIGTERM: {codes}")
    record(f"{lost} requests in hand were lost by planned stops")
    return not lost


if __name__ == "__main__":
    run_case(Path(__file__).parent, ENTRIES, play)
