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
WORK_S = 0.045
FIRST_EVENT_S = 0.08
EVENTS = 9
EVENT_GAP_S = 0.05
DEADLINE_MS = 12_000


@attrs.define
class Runners:
    """Work of servers that crash on some requests.

    Attributes:
        record: The record.
        back_s: Time after a crash until the server is back, in seconds.
        part: Part of a prompt at whose first event they crash; none if empty.
        body: Body on which they crash soon after they begin to run it; none if
            empty.
        crashes: Times of the crashes in the record.
    """

    record: Record
    back_s: float = 2.5
    part: str = ""
    body: bytes = b""
    crashes: list[float] = attrs.field(factory=list)

    async def work(
        self, server: Server, req: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Writes an answer, or crashes."""
        if "prompt-prefix" not in req.headers:
            await asyncio.sleep(WORK_S)
            if self.body and req.body == self.body:
                self._crash(server, req)
                return
            server.answer(writer, req, 200, b"x" * 800)
            return
        await asyncio.sleep(FIRST_EVENT_S)
        parts = [p.split(":")[0] for p in req.headers["prompt-prefix"].split(",")]
        if self.part and self.part in parts[:-1]:
            self._crash(server, req)
            return
        await server.stream(writer, req, EVENTS, EVENT_GAP_S)

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


def prompt(request_id: str, part: str) -> dict[str, str]:
    """Returns the headers of a prompt of three parts, of which one is given."""
    return {
        "Model": "m",
        "Token-Usage": "688,60",
        "Prompt-Prefix": f"5c1e07a2:60,{part}:300,{request_id}:328",
    }
