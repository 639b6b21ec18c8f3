"""A request that crashes servers comes again while entries are restarted in turn."""

from __future__ import annotations

import asyncio
import itertools
import time
from pathlib import Path
from typing import TYPE_CHECKING

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

if TYPE_CHECKING:
    from collections.abc import Iterator

POISON = b"a dossier that crashes the model server"
RETRY_S = 1.0
SOUND_PER_S = 10.0
ENTRIES, SERVERS = 3, 5
GAP_S = 12.0
DOWN_S = 3.0
ALLOWED = 3


class ModelServer(FleetServer):
    """A server that crashes when it begins to answer a certain body."""

    def __init__(self) -> None:
        super().__init__("app", slots=8)
        self.behaviour = Behaviour(events=10, gap_s=0.06, down_s=DOWN_S)
        self.born = time.time_ns() // 1_000_000

    def _crashes_on(self, req: RawRequest) -> bool:
        return req.body == POISON

    def _register_again(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self.on_crash()


@attrs.define
class Try:
    """A try of the request that crashes servers, or of a sound one."""

    request_id: str
    entry: EntryProcess
    in_touch: bool
    sent_at: float
    status: int = 0
    complete: bool = False


class Clients:
    """Clients that send the request that crashes servers, and sound ones."""

    def __init__(self, stage: Stage, record: Record) -> None:
        self.tries: list[Try] = []
        self.sound: list[Try] = []
        self._stage = stage
        self._record = record

    async def _send(
        self, body: bytes, into: list[Try], turns: Iterator[EntryProcess]
    ) -> Try:
        entry = next(e for e in turns if e.ready_at < time.monotonic())
        request_id, head = request_head(
            "/stream/dossie", Content_Length=str(len(body)), Token_Usage="40,60"
        )
        one = Try(request_id, entry, entry.in_touch(), time.monotonic())
        into.append(one)
        try:
            reader, writer = await asyncio.open_connection(*entry.callers)
        except OSError:
            return one
        writer.write(head + b"\r\n" + body)
        one.status, _, one.complete = await read_answer(reader)
        writer.close()
        return one

    async def send_poison(self) -> None:
        """Sends the request again and again, a second after each answer."""
        turns = itertools.cycle(self._stage.entries)
        while True:
            one = await self._send(POISON, self.tries, turns)
            self._record(
                f"{one.request_id} (crashes servers) sent to {one.entry.name}, "
                f"in touch: {one.in_touch}; answered {one.status}"
            )
            await asyncio.sleep(RETRY_S)

    async def send_sound(self) -> None:
        """Sends sound requests, no two alike."""
        turns = itertools.cycle(self._stage.entries)
        tasks = set()
        for number in range(10_000):
            body = b"dossier %d" % number
            task = asyncio.create_task(self._send(body, self.sound, turns))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / SOUND_PER_S)


async def play(stage: Stage, record: Record) -> bool:
    """Plays the case."""
    servers = [ModelServer() for _ in range(SERVERS)]
    for server in servers:

        def register(server: ModelServer = server) -> None:
            stage.register(server)

        server.on_crash = register
    await stage.start(config([route("/stream/", "stream")]), list(servers))
    clients = Clients(stage, record)
    tasks = [
        asyncio.create_task(clients.send_sound()),
        asyncio.create_task(clients.send_poison()),
    ]
    async with asyncio.timeout(30):
        while sum(len(s.crashes) for s in servers) < 3:
            await asyncio.sleep(0.05)
    third_at = sorted(at for s in servers for at in s.crashes)[2]
    record("the third server has crashed")
    await asyncio.sleep(CONTACT_S + 4 * RETRY_S)
    for entry in stage.entries:
        if troubled():
            record(f"{entry.name} is stopped and started again")
            await entry.roll()
            record(f"{entry.name} is ready")
        await asyncio.sleep(GAP_S)
    for task in tasks:
        task.cancel()
    reached = {i for s in servers for _, i in s.arrivals}
    late = [
        one
        for one in clients.tries
        if one.request_id in reached
        and one.in_touch
        and one.sent_at > third_at + CONTACT_S
    ]
    crashes = sorted(at - third_at for s in servers for at in s.crashes)
    record("crashes, from the third on: " + ", ".join(f"{at:.1f}" for at in crashes))
    record_runs(record, list(servers))
    for one in clients.sound:
        whole = "whole" if one.complete else "not whole"
        record(f"{one.request_id} (sound) answered {one.status}, {whole}")
    ended = [one for one in clients.sound if one.status == 200]
    cut = sum(not one.complete for one in ended)
    record(f"sound requests: {len(ended)} begun, {cut} of them cut off")
    record(f"{len(late)} tries reached servers later than the bound; {ALLOWED} may")
    return len(late) <= ALLOWED


if __name__ == "__main__":
    run_case(Path(__file__).parent, ENTRIES, play)
