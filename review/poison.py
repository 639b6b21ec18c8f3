"""Servers that requests crash, and the traffic of the cases with them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs
from deployment import Answer, Entry, Record, Server, ask

if TYPE_CHECKING:
    from deployment import Deployment, Received

CONTACT_S = 3.0
"""The bound ``contact_ms`` of the site."""
CRASH_S = 0.045
WORK_S = 0.2


@attrs.define
class Runners:
    """Work of servers that crash on some requests.

    Attributes:
        record: The record.
        back_s: Time after a crash until the server is back, in seconds.
        body: Body on which they crash soon after they begin to run it; none if
            empty.
        crashes: Times of the crashes in the record.
    """

    record: Record
    back_s: float = 2.5
    body: bytes = b""
    crashes: list[float] = attrs.field(factory=list)

    async def work(
        self, server: Server, req: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Writes an answer, or crashes."""
        if self.body and req.body == self.body:
            await asyncio.sleep(CRASH_S)
            self._crash(server, req)
            return
        await asyncio.sleep(WORK_S)
        server.answer(writer, req, 200, b"x" * 800)

    def _crash(self, server: Server, req: Received) -> None:
        if server.down:
            return
        self.crashes.append(self.record.at())
        self.record.line(f"{server.id} crashes on {req.id}")
        server.crash(self.back_s)


@attrs.define
class Traffic:
    """Requests to all entries.

    Attributes:
        record: The record.
        deployment: The deployment.
        answers: Answers by request id.
    """

    record: Record
    deployment: Deployment
    answers: dict[str, Answer] = attrs.field(factory=dict)

    def any_entry(self) -> Entry:
        """Returns one of the entries."""
        return random.choice(self.deployment.entries)

    async def send(self, entry: Entry, request_id: str, **fields: object) -> None:
        """Sends a request and records the answer."""
        answer = await ask(entry.address, request_id, **fields)
        self.answers[request_id] = answer
        state = "complete" if answer.complete else "NOT complete"
        why = answer.body[:60] if answer.status not in {0, 200} else b""
        self.record.line(f"{request_id} got {answer.status}, {state} {why.decode()}")

    def unserved(self, prefix: str) -> int:
        """Returns the number of requests whose ids begin so that were not served."""
        return sum(
            not (answer.status == 200 and answer.complete)
            for request_id, answer in self.answers.items()
            if request_id.startswith(prefix)
        )
