"""Clients of the soak, and the checks of what they and the servers receive."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from cornelpin.tests.fleet_client import NO_RESPONSE, Client, Response, request

if TYPE_CHECKING:
    from benchmarks.fault_soak.fleet import EntryProcess, Fleet
    from standins.fleet.server import FleetServer

KEYS = {"key-blue": "blue", "key-small": "small"}
"""Workspace by API key; the small one soon exceeds its limit."""
SMALL_SHARE = 0.1
"""Share of the requests that use the key of the small workspace."""
TARGETS = ("/safe/", "/unsafe/", "/stream/", "/stream/resumable/")
NOT_RUN_STATUSES = {408, 421, 429, 503}
"""Statuses by which an entry states that no server ran the request."""
RESPONSE_TIMEOUT_S = 4.0
"""Longest wait for a response: twice the longest time-out of a route."""
LOSS_SLACK_S = 0.2
"""The entry may close a connection while a request is on its way. Such a request counts
as lost only if a server ran it or the connection ended later than this after sending. A
bound of the platform."""
NOTICE_SLACK_S = 0.5
"""Time after a response that says that a server leaves, or wants a pause, in which its
entry may still send it requests. A bound of the platform for pauses; for servers that
leave the platform allows more."""
RECONNECT_DELAY_S = 0.5
"""Delay before a client connects again after a refused connection."""


@attrs.define
class SentRequest:
    """One request and its outcome.

    Attributes:
        target: Request target.
        key: API key of the client.
        entry: The entry that received it.
        sent_at: Loop time at which it was sent.
        response: The response, NO_RESPONSE if none came.
        excused: Whether it may be lost: its client disconnected early or its entry was
            under a fault.
        duration_s: Time until the response or the end of the connection.
        finished: Whether it ended before the soak cancelled its client.
    """

    target: str
    key: str
    entry: EntryProcess
    sent_at: float
    response: Response = NO_RESPONSE
    excused: bool = False
    duration_s: float = 0.0
    finished: bool = False


class Clients:
    """Clients with keep-alive connections, and the record of all requests.

    Args:
        fleet: The fleet that receives the requests.
        rng: Source of all random choices.
        planned_only: Whether only planned operations disturb the fleet. Then no client
            disconnects early, and no accepted request may be lost.

    Attributes:
        requests: All requests sent, by request id.
        violations: Broken promises, one text each: the name of a rule of the platform,
            the request id and the detail. UNASKED stands for anything at a server that
            no client sent to it: a request, a credential or another workspace.
    """

    def __init__(self, fleet: Fleet, rng: random.Random, *, planned_only: bool) -> None:
        self.requests: dict[str, SentRequest] = {}
        self.violations: list[str] = []
        self._fleet = fleet
        self._rng = rng
        self._planned_only = planned_only
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Sends requests until cancelled, reconnecting as needed."""
        while True:
            entry = self._rng.choice(self._fleet.entries)
            try:
                address = self._fleet.caller_address(entry)
                client = Client(*await asyncio.open_connection(*address))
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self._send_requests(client, entry)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            finally:
                client.close()

    async def _send_requests(self, client: Client, entry: EntryProcess) -> None:
        for _ in range(self._rng.randint(1, 40)):
            request_id = f"soak-{next(self._numbers)}"
            target = f"{self._rng.choice(TARGETS)}{request_id}"
            small = self._rng.random() < SMALL_SHARE
            key = "key-small" if small else "key-blue"
            loop = asyncio.get_running_loop()
            sent_at = loop.time()
            record = SentRequest(target, key, entry, sent_at)
            self.requests[request_id] = record
            data = request(
                target,
                method="POST",
                body=request_id.encode(),
                request_id=request_id,
                headers={"Authorization": f"Token {key}"},
            )
            disconnects = not self._planned_only and self._rng.random() < 0.03
            timeout_s = 0.05 if disconnects else RESPONSE_TIMEOUT_S
            try:
                async with asyncio.timeout(timeout_s):
                    record.response = await client.send(data)
            finally:
                record.duration_s = loop.time() - sent_at
                task = asyncio.current_task()
                record.finished = task is not None and not task.cancelling()
                record.excused = disconnects or loop.time() < entry.faulty_until
            self._check_response(request_id, record)
            if not record.response.complete or "close" in record.response.headers.get(
                "connection", ""
            ):
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    def _check_response(self, request_id: str, record: SentRequest) -> None:
        """Checks a response on its own."""
        response = record.response
        if response is NO_RESPONSE:
            return
        if response.headers.get("request-id", request_id) != request_id:
            self._add_violation(
                "MIXED", request_id, f"response for {response.headers['request-id']}"
            )
        if response.status == 200:
            self._check_success(request_id, record)
        elif response.status in {401, 403, 404}:
            self._add_violation("DENIED", request_id, f"status {response.status}")

    def _check_success(self, request_id: str, record: SentRequest) -> None:
        response = record.response
        if "response-seal" not in response.headers:
            self._add_violation("MIXED", request_id, "status 200 without Response-Seal")
        if not record.target.startswith("/stream/"):
            if response.body != f"{record.target}|{request_id}".encode():
                self._add_violation(
                    "MIXED", request_id, f"unexpected body {response.body!r}"
                )
            return
        # The stand-in sends three events; a response that broke off has the first ones.
        events = [e for e in response.body.decode().split("\n\n") if e]
        expected = [f"id: {n}\ndata: piece {n}" for n in range(1, 4)]
        if (
            (events != expected)
            if response.complete
            else (events != expected[: len(events)])
        ):
            self._add_violation("ORDER", request_id, f"unexpected events {events}")

    def check_runs(self) -> None:
        """Checks the runs at the servers against the responses of the clients."""
        runs: Counter[str] = Counter()
        for server in self._fleet.servers:
            runs.update(server.runs)
            for seen in server.requests:
                self._check_headers(seen.headers)
            self._check_notices(server)
        if self._planned_only:
            self._check_lost(runs)
        for request_id, count in runs.items():
            record = self.requests.get(request_id)
            if record is None:
                self._add_violation(
                    "UNASKED", request_id, "a server ran it, but no client sent it"
                )
                continue
            # Request ids start with "soak": this leaves out /stream/resumable/.
            must_run_once = record.target.startswith(("/unsafe/", "/stream/soak"))
            if must_run_once and count > 1:
                self._add_violation("TWICE", request_id, f"{count} runs")
            if must_run_once and record.response.status in NOT_RUN_STATUSES:
                self._add_violation(
                    "REFUSED",
                    request_id,
                    f"status {record.response.status}, but it ran",
                )

    def _check_notices(self, server: FleetServer) -> None:
        """Checks that a server that leaves, or wants a pause, is left alone.

        Excused are entries that started or met a fault since they were told, and
        responses that a faulty link may have withheld.
        """
        for notice in server.notices:
            told = self.requests.get(notice.request_id)
            if (
                told is None
                or told.excused
                or told.entry.started_at > notice.at
                or self._fleet.link_faulty(server, notice.at)
            ):
                continue
            restarts = [at for at in server.restarts if at > notice.at]
            until = min([notice.at + (notice.pause_s or math.inf), *restarts])
            for at, request_id in server.arrivals:
                record = self.requests.get(request_id)
                if (
                    notice.at + NOTICE_SLACK_S < at < until
                    and record is not None
                    and record.entry is told.entry
                    and record.sent_at > notice.at
                    and not record.excused
                ):
                    what = "pause" if notice.pause_s else "leave"
                    self._add_violation(
                        "DRAIN", request_id, f"sent to {server.id}, told to {what}"
                    )

    def _check_lost(self, runs: Counter[str]) -> None:
        """Checks that no request was lost.

        Excepted are excused requests, and requests that no server ran whose connection
        ended within LOSS_SLACK_S.
        """
        for request_id, record in self.requests.items():
            lost = (
                record.response is NO_RESPONSE
                and record.finished
                and not record.excused
            )
            if lost and (runs[request_id] or record.duration_s > LOSS_SLACK_S):
                self._add_violation(
                    "LOST",
                    request_id,
                    f"no response, ended after {record.duration_s:.2f} s",
                )

    def _check_headers(self, headers: dict[str, str]) -> None:
        request_id = headers.get("request-id", "")
        record = self.requests.get(request_id)
        if "authorization" in headers:
            self._add_violation("UNASKED", request_id, "a server received the API key")
        if record is not None and headers.get("tenant") != KEYS[record.key]:
            self._add_violation(
                "UNASKED",
                request_id,
                f"a server received tenant {headers.get('tenant')}",
            )

    def _add_violation(self, promise: str, request_id: str, detail: str) -> None:
        self.violations.append(f"{promise} {request_id}: {detail}")
