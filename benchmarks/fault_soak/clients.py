"""Clients of the soak, and what they and the servers must never see."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from cornelpin.tests.fleet_client import NO_RESPONSE, Client, Response, request

if TYPE_CHECKING:
    from benchmarks.fault_soak.fleet import EntryProcess, Fleet

KEYS = {"key-blue": "blue", "key-small": "small"}
"""Workspace by key; the small one is soon over its limit."""
SMALL_SHARE = 0.1
"""Part of the requests with the key of the small one."""
TARGETS = ("/safe/", "/unsafe/", "/stream/", "/stream/resumable/")
NOT_RUN = {408, 421, 429, 503}
ASK_TIMEOUT_S = 4.0
"""Longest wait for an answer: twice the longest time-out of a route."""
LOSS_SLACK_S = 0.2
"""Time after its last byte within which a request may cross the close of its
connection, if it was not passed on; from the platform's bounds."""
HALT_S = 0.5
"""Pause of a client whose entry is gone."""


@attrs.define
class Asked:
    """One request and what came of it.

    Attributes:
        target: What was asked.
        key: The client's key.
        got: The answer.
        troubled: Whether an unplanned fault on the entry may have cost it.
        took_s: Time until its answer or the end of its connection.
        ended: Whether it ended by itself, not with the soak.
    """

    target: str
    key: str
    got: Response = NO_RESPONSE
    troubled: bool = False
    took_s: float = 0.0
    ended: bool = False


class Clients:
    """Clients that keep using their connections, and the record of all requests."""

    def __init__(self, fleet: Fleet, rng: random.Random, *, planned: bool) -> None:
        self.asked: dict[str, Asked] = {}
        self.broken: list[str] = []
        self._fleet = fleet
        self._rng = rng
        self._planned = planned
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Asks until cancelled, over connections that last until their entry ends."""
        while True:
            entry = self._rng.choice(self._fleet.entries)
            try:
                address = self._fleet.callers(entry)
                client = Client(*await asyncio.open_connection(*address))
            except OSError:
                await asyncio.sleep(HALT_S)
                continue
            try:
                await self._use(client, entry)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            finally:
                client.close()

    async def _use(self, client: Client, entry: EntryProcess) -> None:
        for _ in range(self._rng.randint(1, 40)):
            request_id = f"soak-{next(self._numbers)}"
            target = f"{self._rng.choice(TARGETS)}{request_id}"
            small = self._rng.random() < SMALL_SHARE
            key = "key-small" if small else "key-blue"
            record = self.asked[request_id] = Asked(target, key)
            data = request(
                target,
                method="POST",
                body=request_id.encode(),
                request_id=request_id,
                headers={"Authorization": f"Token {key}"},
            )
            leaves = not self._planned and self._rng.random() < 0.03
            patience_s = 0.05 if leaves else ASK_TIMEOUT_S
            loop = asyncio.get_running_loop()
            sent = loop.time()
            try:
                async with asyncio.timeout(patience_s):
                    record.got = await client.send(data)
            finally:
                record.took_s = loop.time() - sent
                task = asyncio.current_task()
                record.ended = task is not None and not task.cancelling()
                record.troubled = leaves or loop.time() < entry.troubled_until
            self._check(request_id, record)
            if not record.got.complete or "close" in record.got.headers.get(
                "connection", ""
            ):
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    def _check(self, request_id: str, record: Asked) -> None:
        """Checks an answer by itself."""
        got = record.got
        if got is NO_RESPONSE:
            return
        if got.headers.get("request-id", request_id) != request_id:
            self._break("MIXED", request_id, f"answer for {got.headers['request-id']}")
        if got.status == 200:
            self._check_success(request_id, record)
        elif got.status in {401, 403, 404}:
            self._break("DENIED", request_id, f"status {got.status}")

    def _check_success(self, request_id: str, record: Asked) -> None:
        got = record.got
        if "response-seal" not in got.headers:
            self._break("MIXED", request_id, "a success without a signature")
        if not record.target.startswith("/stream/"):
            if got.body != f"{record.target}|{request_id}".encode():
                self._break("MIXED", request_id, f"body {got.body!r}")
            return
        events = [e for e in got.body.decode().split("\n\n") if e]
        wanted = [f"id: {n}\ndata: piece {n}" for n in range(1, 4)]
        if (events != wanted) if got.complete else (events != wanted[: len(events)]):
            self._break("ORDER", request_id, f"events {events}")

    def check_runs(self) -> None:
        """Checks what the servers saw against what the clients were told."""
        runs: Counter[str] = Counter()
        for server in self._fleet.servers:
            runs.update(server.runs)
            for seen in server.requests:
                self._check_seen(seen.headers)
        if self._planned:
            self._check_lost(runs)
        for request_id, count in runs.items():
            record = self.asked.get(request_id)
            if record is None:
                self._break("UNASKED", request_id, "nobody sent it")
                continue
            once = record.target.startswith(("/unsafe/", "/stream/soak"))
            if once and count > 1:
                self._break("TWICE", request_id, f"{count} runs")
            if once and record.got.status in NOT_RUN:
                self._break("REFUSED", request_id, f"{record.got.status}, but it ran")

    def _check_lost(self, runs: Counter[str]) -> None:
        """Checks that planned work cost no request that an entry had taken."""
        for request_id, record in self.asked.items():
            closed = record.got is NO_RESPONSE and record.ended and not record.troubled
            if closed and (runs[request_id] or record.took_s > LOSS_SLACK_S):
                self._break("LOST", request_id, f"closed after {record.took_s:.2f} s")

    def _check_seen(self, headers: dict[str, str]) -> None:
        request_id = headers.get("request-id", "")
        record = self.asked.get(request_id)
        if "authorization" in headers:
            self._break("UNASKED", request_id, "a server saw the key")
        if record is not None and headers.get("tenant") != KEYS[record.key]:
            self._break("UNASKED", request_id, f"tenant {headers.get('tenant')}")

    def _break(self, promise: str, request_id: str, what: str) -> None:
        self.broken.append(f"{promise} {request_id}: {what}")
