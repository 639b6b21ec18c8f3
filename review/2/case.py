"""Reset idle connections make entries refuse all requests that share a part.

Both entries have been stopped and started in turn while no reviews came. The first
reviews go to connections that the servers have dropped without notice, and are reset.
The entries take the part that all reviews share for one that crashes servers.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from deployment import (
    ZONES,
    Deployment,
    Entry,
    Record,
    Server,
    ask,
    config,
    main,
    route as make_route,
)

if TYPE_CHECKING:
    from deployment import Received

CONTACT_S = 3.0
SHARED = "5c1e07a2"
"""Part that all reviews share, and no other requests."""
POISON = "bad0bad0"
"""Part that crashes servers."""
SERVERS = 5
EVENTS = 9
EVENT_GAP_S = 0.05
FIRST_EVENT_S = 0.08
BACK_S = 2.5
IDLE_S = 1.0
"""Idleness after which the servers drop a connection; they announce 15 s."""
TAGS = 20
REVIEWS = 5
BEFORE = 30
AFTER = 40
GAP_S = 0.25
REVIEW_MS = 15_000
TAG_MS = 3_000


class Runners:
    """Work of the servers.

    Args:
        record: The record.
        drop: Whether they drop idle connections.

    Attributes:
        crashes: Times of the crashes.
        began: Ids of the requests whose answers began.
    """

    def __init__(self, record: Record, *, drop: bool) -> None:
        self._record = record
        self._drop = drop
        self._used: dict[asyncio.StreamWriter, float] = {}
        self.crashes: list[float] = []
        self.began: set[str] = set()

    async def work(
        self, server: Server, req: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Writes a stream, or crashes at its first event."""
        await asyncio.sleep(FIRST_EVENT_S)
        if POISON in req.headers.get("prompt-prefix", ""):
            if not server.down:
                self.crashes.append(self._record.at())
                self._record.line(f"{server.id} crashes on {req.id}")
                server.crash(BACK_S)
            return
        self.began.add(req.id)
        await server.stream(writer, req, EVENTS, EVENT_GAP_S)
        self._used[writer] = self._record.at()

    def dropped(self, writer: asyncio.StreamWriter) -> bool:
        """Returns whether a server has dropped a connection because it was idle."""
        used = self._used.get(writer)
        return self._drop and used is not None and self._record.at() - used > IDLE_S


class Traffic:
    """Requests of the clients.

    Args:
        record: The record.
    """

    def __init__(self, record: Record) -> None:
        self._record = record

    async def send(
        self, entry: Entry, request_id: str, path: str, parts: str, deadline_ms: int
    ) -> None:
        """Sends a request, reads the answer and records it."""
        answer = await ask(
            entry.address,
            request_id,
            path,
            body=request_id.encode(),
            deadline_ms=deadline_ms,
            headers={
                "Model": "m",
                "Token-Usage": "700,60",
                "Prompt-Prefix": f"{parts},{request_id}:400",
            },
        )
        state = "complete" if answer.complete else "NOT complete"
        why = answer.body[:60].decode() if answer.status not in {0, 200} else ""
        self._record.line(f"{request_id} got {answer.status}, {state} {why}")

    async def review(self, entry: Entry, request_id: str, part: str) -> None:
        """Sends a review."""
        parts = f"{SHARED}:60,{part}:240"
        await self.send(entry, request_id, "/review/2f", parts, REVIEW_MS)

    async def tag(self, entry: Entry, request_id: str) -> None:
        """Sends a request of another kind."""
        await self.send(entry, request_id, "/tag/2f", "91bd3f06:300", TAG_MS)


async def roll(deployment: Deployment) -> None:
    """Stops and starts the entries in turn."""
    for entry in deployment.entries:
        deployment.record.line(f"SIGTERM to {entry.name}")
        entry.send(signal.SIGTERM)
        while entry.running:
            await asyncio.sleep(0.05)
        await deployment.restart(entry)
        await deployment.until_ready(entry)
        deployment.record.line(f"{entry.name} is ready again")


async def send_reviews(
    deployment: Deployment, traffic: Traffic, prefix: str, count: int
) -> list[str]:
    """Sends sound reviews one after another to both entries; returns their ids."""
    ids = [f"{prefix}{number:012x}" for number in range(count)]
    for number, request_id in enumerate(ids):
        entry = deployment.entries[number % len(deployment.entries)]
        part = f"c0de{number:04x}"
        deployment.spawn(traffic.review(entry, request_id, part))
        await asyncio.sleep(GAP_S)
    return ids


async def send_poison(deployment: Deployment, traffic: Traffic) -> None:
    """Sends reviews with the part that crashes servers, no two alike."""
    number = 0
    while True:
        entry = deployment.entries[(number + 1) % len(deployment.entries)]
        deployment.spawn(traffic.review(entry, f"bad0{number:012x}", POISON))
        number += 1
        await asyncio.sleep(1.0)


async def case(record: Record, trouble: bool) -> bool:
    """Returns whether sound reviews begin at least half as often as before."""
    async with Deployment(record, entries=2) as deployment:
        runners = Runners(record, drop=trouble)
        servers = [
            Server(
                deployment,
                "forno-llm",
                ZONES[0],
                slots=9,
                queue=54,
                work=runners.work,
                dropped=runners.dropped,
            )
            for _ in range(SERVERS)
        ]
        shape = {"target_gap_ms": 400, "session_affinity": True}
        routes = [
            make_route(
                "/review/",
                "stream",
                "forno-llm",
                timeout_ms=REVIEW_MS,
                target_latency_ms=845,
                priority=0,
                **shape,
            ),
            make_route(
                "/tag/",
                "stream",
                "forno-llm",
                timeout_ms=TAG_MS,
                target_latency_ms=522,
                **shape,
            ),
        ]
        await deployment.start(config(routes, ["forno-llm"]), servers)
        traffic = Traffic(record)
        before = await send_reviews(deployment, traffic, "a001", BEFORE)
        await asyncio.sleep(2.0)
        await roll(deployment)
        await asyncio.sleep(CONTACT_S)
        first, second = deployment.entries
        tags = [f"7a6{number:013x}" for number in range(TAGS)]
        await asyncio.gather(*(traffic.tag(first, i) for i in tags))
        await asyncio.sleep(2 * IDLE_S)
        record.line("the first reviews come")
        deployment.spawn(send_poison(deployment, traffic))
        await asyncio.sleep(FIRST_EVENT_S / 2)
        ids = [f"a002{number:012x}" for number in range(REVIEWS)]
        await asyncio.gather(
            *(traffic.review(first, i, f"feed00{i[-2:]}") for i in ids)
        )
        await asyncio.sleep(BACK_S)
        crash = runners.crashes[min(len(runners.crashes), 5) - 1]
        await asyncio.sleep(max(0.0, crash + 2 * CONTACT_S - record.at()))
        after = await send_reviews(deployment, traffic, "a003", AFTER)
        await asyncio.sleep(2.0)
        began = [sum(i in runners.began for i in ids) for ids in (before, after)]
        record.verdict(
            f"LOST: {began[0]} of {BEFORE} sound reviews began at the first attempt "
            f"before, {began[1]} of {AFTER} later than 2 x contact_ms after the last "
            f"of {len(runners.crashes)} crashes"
        )
        return 2 * began[1] * BEFORE >= began[0] * AFTER


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
