"""A server runs a request that may run once, and fails it with a 503 of its own."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from review.stage import (
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
from standins.fleet.server import Behaviour, FleetServer

REQUESTS = 30
RUN_S = 0.06
PROMISES = {408, 421, 429, 503}
TRIES = 2


async def issue(stage: Stage, number: int, record: Record) -> list[tuple[str, int]]:
    """Asks for one serial number; tries again after a promise that it has not run."""
    body = b"certificate %d" % number
    answers = []
    for _ in range(TRIES):
        request_id, head = request_head(
            "/unsafe/emite", deadline_ms=4_000, Content_Length=str(len(body))
        )
        reader, writer = await asyncio.open_connection(*stage.entries[0].callers)
        writer.write(head + b"\r\n" + body)
        status, _, _ = await read_answer(reader)
        writer.close()
        record(f"{request_id} for certificate {number} answered {status}")
        answers.append((request_id, status))
        if status not in PROMISES:
            break
        await asyncio.sleep(0.3)
    return answers


async def play(stage: Stage, record: Record) -> bool:
    """Plays the case."""
    servers = [FleetServer("app", slots=6) for _ in range(3)]
    for server in servers:
        server.behaviour = Behaviour(answer_s=RUN_S)
    if troubled():
        # It runs each request and answers 503 without ``Not-Executed``.
        servers[0].behaviour = Behaviour(answer_s=RUN_S, status=503)
    await stage.start(config([route("/unsafe/", "unsafe")]), servers)
    ran = Counter[int]()
    false = 0
    for number in range(REQUESTS):
        for request_id, status in await issue(stage, number, record):
            has_run = any(request_id in server.runs for server in servers)
            ran[number] += has_run
            false += has_run and status in PROMISES
    twice = sum(count > 1 for count in ran.values())
    record(f"{false} answers promised that a request had not run that had")
    record(f"{twice} certificates got two serial numbers")
    record_runs(record, servers)
    return not false


if __name__ == "__main__":
    run_case(Path(__file__).parent, 1, play)
