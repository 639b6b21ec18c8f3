"""Servers that preempt streams, and the clients of the cases with them."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import attrs
from deployment import Answer, Client, Record, Server, route

if TYPE_CHECKING:
    from deployment import Received

SERVICE = "forno-llm"
EVENTS = 40
EVENT_GAP_S = 0.05
FIRST_EVENT_S = 0.08
SHORT_EVENTS = 3
"""Events of the streams by which entries get to know the servers."""
PREEMPTED_AT = 12
"""Event after which the memory of the servers runs out."""
DEADLINE_MS = 12_000
WARM_UP_ROUNDS = 6
LONG = "5"
"""First digit of the ids of long streams."""


@attrs.define
class Engine:
    """Writes the streams of the servers, to the end also if nobody reads them.

    Attributes:
        record: The record.
        preempted_s: Time for which a stream is preempted, in seconds; zero if the
            memory suffices.
        unaffected: Oldest long streams of each server, for which it suffices anyway.
        runs: Server, begin and end of the runs, by request id.
    """

    record: Record
    preempted_s: float
    unaffected: int
    runs: dict[str, list[tuple[str, float, float]]] = attrs.field(factory=dict)
    # Ids of the long streams at each server, the oldest first.
    _long: dict[str, list[str]] = attrs.field(factory=dict)

    async def work(
        self, server: Server, req: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Writes one stream; a resumed one goes on after the client's last event."""
        began = self.record.at()
        with contextlib.suppress(OSError):
            await self._write(server, req, writer)
        run = (server.id, began, self.record.at())
        self.runs.setdefault(req.id, []).append(run)

    async def _write(
        self, server: Server, req: Received, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(FIRST_EVENT_S)
        head = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        _write_part(writer, server.head(req, 200, head) + b"\r\n")
        first = int(req.headers.get("last-event-id", "0")) + 1
        long = req.id.startswith(LONG)
        if long and first == 1:
            self._long.setdefault(server.id, []).append(req.id)
        for number in range(first, 1 + (EVENTS if long else SHORT_EVENTS)):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            _write_part(writer, f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(EVENT_GAP_S)
            newest = self._long.get(server.id, [])[self.unaffected :]
            if self.preempted_s and number == PREEMPTED_AT and req.id in newest:
                self.record.line(f"{server.id} preempts {req.id}")
                await asyncio.sleep(self.preempted_s)
                self.record.line(f"{server.id} goes on with {req.id}")
        _write_part(writer, b"0\r\n\r\n")
        self.record.line(f"{server.id} has completed {req.id}")


def _write_part(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


def quench_route() -> dict[str, Any]:
    """Returns a route like that of the site's quick questions."""
    return route(
        "/quench/",
        "stream",
        SERVICE,
        timeout_ms=DEADLINE_MS,
        target_latency_ms=400,
        target_gap_ms=400,
        priority=1,
        max_attempts=2,
        resumable=True,
        session_affinity=True,
    )


async def ask(record: Record, client: Client, request_id: str) -> Answer:
    """Sends a request on a kept connection and reads the stream."""
    headers = {
        "Model": "m",
        "Token-Usage": "688,300",
        "Prompt-Prefix": f"5c1e07a2:60,{request_id}:628",
    }
    await client.send(
        request_id,
        "/quench/2f",
        body=request_id.encode() * 52,
        deadline_ms=DEADLINE_MS,
        headers=headers,
    )
    sent = record.at()
    answer = await client.read(DEADLINE_MS / 1000)
    state = "complete" if answer.complete else "NOT complete"
    record.line(
        f"{request_id} got {answer.status}, {state}, {answer.body.count(b'id: ')} "
        f"events, after {record.at() - sent:.2f} s"
    )
    return answer


async def ask_all(record: Record, clients: list[Client], ids: list[str]) -> list[str]:
    """Sends a request by each client; returns the ids of those not answered wholly."""
    pairs = list(zip(clients, ids, strict=True))
    answers = await asyncio.gather(*(ask(record, c, i) for c, i in pairs))
    return [i for i, answer in zip(ids, answers, strict=True) if not answer.complete]


async def warm_up(record: Record, clients: list[Client]) -> None:
    """Lets an entry measure the servers."""
    for turn in range(WARM_UP_ROUNDS):
        ids = [f"1{turn:03x}{number:012x}" for number in range(len(clients))]
        await ask_all(record, clients, ids)


def long_ids(count: int) -> list[str]:
    """Returns the ids of long streams."""
    return [f"{LONG}{number:015x}" for number in range(count)]
