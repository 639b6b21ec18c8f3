"""The gateway's client of the platform's object store: list, get, watch, write.

The gateway is the program in ``cornelpin.gateway``. The one in ``cornelpin.daemon``
uses the stores of ``cornelpin.stores`` instead.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import attrs
import h11

from cornelpin.core.revision import EraTracker, FormerEra, Revision
from cornelpin.http1.client import (
    ConnectionBroken,
    ConnectionFailed,
    HttpConnection,
)
from cornelpin.platform import _tolerant_json
from cornelpin.platform._store_objects import (
    Listing,
    OddObject,
    StoreObject,
    WatchResult,
    decode_event,
    decode_object,
    last_name,
    list_field,
    removal,
    revision_number,
)

if TYPE_CHECKING:
    from collections.abc import Callable

BASE = "/-/objects/"
CALL_TIMEOUT_S = 1.0
"""Timeout of the first byte of a response other than a watch's, and of each further
part of any response. A degraded store responds in 0.2 s instead of the usual 4 ms; the
timeout is five times the 0.2 s."""
TRANSFER_TIMEOUT_S = 10.0
"""Longest duration of a call beyond the wait of a watch, however much data arrives."""
MAX_RESPONSE_BYTES = 8_388_608
"""Size limit of a response: several pages of objects, each of which is limited."""
WATCH_SLACK_S = 0.5
"""Longest time that a watch may take beyond the requested wait: twice what a degraded
store adds."""
MIN_WATCH_SLACK_S = 0.2
"""The same before a store that responds at once: several lost packets."""
SLACK_FACTOR = 3.0
"""Time that a watch may take beyond the requested wait, as a multiple of the time in
which the store responded lately."""
LATENCY_DECAY = 0.9
"""Factor at each response on the longest response time before it."""
MAX_IDLE_CONNECTIONS = 4
"""Connections kept for later calls: one for each watched kind."""
MS = 1e-3
"""Seconds per millisecond."""
ERA_HEADER = b"store-era"
"""Header with the number of the store's era, which rises with each restore."""
GONE = 410
CONFLICT = 409
NOT_FOUND = 404


class StoreUnavailable(Exception):
    """The store did not respond, or responded with an unexpected status.

    A write may have been applied, unlike with ``Unavailable`` in
    ``cornelpin.stores.objects``.

    Attributes:
        closed: Whether the connection ended before any part of a response.
    """

    def __init__(self, reason: str, *, closed: bool = False) -> None:
        super().__init__(reason)
        self.closed = closed


@attrs.frozen
class CallReport:
    """A call of the store that has ended.

    Attributes:
        kind: Kind of the objects.
        operation: Name of the method of ``Store``.
        reason: Why it failed; empty if the store responded.
    """

    kind: str
    operation: str
    reason: str


class Store:
    """Client of the object store.

    Each call has a connection of its own while it lasts, so that one without a response
    is in the way of no other. Some connections are kept for later calls.

    Attributes:
        calls: Number of calls made; each call of ``watch`` counts as one.
        on_new_era: Called when a response shows that the store was restored, with the
            eras before and after.
        on_call: Called after each call.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._eras = EraTracker()
        self.on_new_era: Callable[[int, int], None] = lambda before, after: None
        self.on_call: Callable[[CallReport], None] = lambda report: None
        self._idle: list[HttpConnection] = []
        self._closed = False
        # Longest time to the first byte of a response, of the last ones, in seconds.
        self._latency_s = WATCH_SLACK_S / SLACK_FACTOR
        self.calls = 0

    @property
    def era(self) -> int:
        """Latest era of the store; zero if it names none."""
        return self._eras.era

    async def list(self, kind: str) -> Listing:
        """Returns all objects of a kind.

        Raises:
            StoreUnavailable: If the store does not respond or rejects the call, or is
                restored between two pages.
        """
        decoded: list[StoreObject | OddObject] = []
        after = ""
        era = None
        while True:
            path = f"{BASE}{kind}" + (
                f"?after={quote(after, safe='')}" if after else ""
            )
            # Lists follow failures: kept connections are in doubt then.
            status, body = await self._call(kind, "list", "GET", path, fresh=True)
            _expect(status, body, 200)
            if era is not None and era != self.era:
                raise StoreUnavailable(f"restored while {kind} were listed")
            era = self.era
            items = list_field(body, "items")
            decoded += [decode_object(item, era) for item in items]
            revision = Revision(era, revision_number(body.get("current_rev")))
            next_after = last_name(items)
            if not body.get("has_more") or next_after <= after:
                return Listing(
                    tuple(o for o in decoded if isinstance(o, StoreObject)),
                    revision,
                    tuple(o for o in decoded if isinstance(o, OddObject)),
                )
            after = next_after

    async def get(self, kind: str, name: str) -> StoreObject | None:
        """Returns one object, or None if it does not exist."""
        path = f"{BASE}{kind}/{quote(name, safe='')}"
        status, body = await self._call(kind, "get", "GET", path)
        if status == NOT_FOUND:
            return None
        _expect(status, body, 200)
        decoded = decode_object(body, self.era)
        return decoded if isinstance(decoded, StoreObject) else None

    async def watch(self, kind: str, revision: Revision, wait_s: float) -> WatchResult:
        """Waits for changes of a kind.

        Args:
            kind: Kind of the objects.
            revision: Revision after which changes are returned.
            wait_s: Time for which the store holds the call until there is a change,
                seconds.

        Raises:
            StoreUnavailable: If the store does not respond or rejects the call.
        """
        path = f"{BASE}{kind}?watch={revision.number}&wait_ms={int(wait_s / MS)}"
        status, body = await self._call(
            kind,
            "watch",
            "GET",
            path,
            timeout_s=wait_s + self.watch_slack_s,
            wait_s=wait_s,
        )
        if status == GONE or self.era != revision.era:
            return WatchResult((), revision, history_lost=True)
        _expect(status, body, 200)
        decoded = [
            decode_event(event, self.era) for event in list_field(body, "events")
        ]
        odd = tuple(o for o in decoded if isinstance(o, OddObject))
        changes = [
            o if isinstance(o, StoreObject) else removal(o, revision) for o in decoded
        ]
        current = revision_number(body.get("current_rev"), revision.number)
        return WatchResult(tuple(changes), Revision(self.era, current), odd=odd)

    def close(self) -> None:
        """Closes the kept connections, and others once their calls have ended."""
        self._closed = True
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Closes the connections kept for later calls; calls are not affected."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    async def create(self, kind: str, name: str, spec: Any) -> bool:
        """Creates an object; returns False if one of that name exists."""
        body = {"metadata": {"name": name}, "spec": spec}
        status, response = await self._call(
            kind, "create", "POST", f"{BASE}{kind}", body
        )
        if status == CONFLICT:
            return False
        _expect(status, response, 200, 201)
        return True

    async def replace(self, kind: str, name: str, spec: Any) -> bool:
        """Replaces an object at any revision; returns False if it does not exist."""
        body = {"metadata": {"name": name}, "spec": spec}
        path = f"{BASE}{kind}/{quote(name, safe='')}"
        status, response = await self._call(kind, "replace", "PUT", path, body)
        if status == NOT_FOUND:
            return False
        _expect(status, response, 200)
        return True

    async def set_status(
        self, kind: str, name: str, revision: Revision, status: Any
    ) -> bool:
        """Sets an object's status if the object is still at the given revision.

        Returns:
            Whether the object existed at that revision.

        Raises:
            StoreUnavailable: If the store does not respond or rejects the call, or was
                restored since the object was read: a restored store gives the same
                revision to other objects.
        """
        self._check_era(revision)
        body = {"metadata": {"name": name, "rev": revision.number}, "status": status}
        path = f"{BASE}{kind}/{quote(name, safe='')}/status"
        code, response = await self._call(kind, "set_status", "PUT", path, body)
        self._check_era(revision)
        if code in {CONFLICT, NOT_FOUND}:
            return False
        _expect(code, response, 200)
        return True

    def _check_era(self, revision: Revision) -> None:
        if revision.era != self.era:
            raise StoreUnavailable(
                f"an object of era {revision.era}, the store's is {self.era}"
            )

    async def _call(
        self,
        kind: str,
        operation: str,
        method: str,
        path: str,
        body: Any = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        wait_s: float = 0.0,
        fresh: bool = False,
    ) -> tuple[int, dict[str, Any]]:
        """Makes a call on a kept or a new connection, and reports its outcome.

        Args:
            kind: Kind of the objects.
            operation: Name of the operation, for the report.
            method: HTTP method.
            path: Path and query.
            body: Body of the request, to be encoded; None for none.
            timeout_s: Time to the first byte of the response, seconds.
            wait_s: Time of it for which the store was asked to wait, seconds.
            fresh: Whether the connection must be a new one.
        """
        reason = ""
        kept = None if fresh else self._take_idle()
        try:
            try:
                return await self._exchange(kept, method, path, body, timeout_s, wait_s)
            except StoreUnavailable as exc:
                # The store closes kept connections at any time.
                if kept is None or method != "GET" or not exc.closed:
                    raise
            return await self._exchange(None, method, path, body, timeout_s, wait_s)
        except StoreUnavailable as exc:
            reason = str(exc)
            raise
        finally:
            self.on_call(CallReport(kind, operation, reason))

    async def _exchange(
        self,
        conn: HttpConnection | None,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
        wait_s: float,
    ) -> tuple[int, dict[str, Any]]:
        """Makes a call on a kept connection, or on a new one."""
        self.calls += 1
        received_before = 0
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                if conn is None:
                    conn = await HttpConnection.open(self._address)
                received_before = conn.received_bytes
                status, response = await self._request(
                    conn, method, path, body, timeout, wait_s
                )
        except (
            ConnectionFailed,
            ConnectionBroken,
            FormerEra,
            TimeoutError,
            ValueError,
        ) as exc:
            # The idle connections may be silent as well, which nothing shows.
            self.close_idle_connections()
            received = 0
            if conn is not None:
                conn.abort()
                received = conn.received_bytes - received_before
            reason = str(exc) or (
                f"no response within {timeout_s:.1f} s"
                if not received
                else f"response stopped after {received} bytes"
            )
            raise StoreUnavailable(
                f"{method} {path}: {reason}",
                closed=isinstance(exc, ConnectionBroken) and not received,
            ) from exc
        except asyncio.CancelledError:
            if conn is not None:
                conn.abort()
            raise
        self._keep(conn)
        return status, response

    def _take_idle(self) -> HttpConnection | None:
        while self._idle:
            conn = self._idle.pop()
            if conn.reusable:
                return conn
            conn.close()
        return None

    def _keep(self, conn: HttpConnection) -> None:
        room = len(self._idle) < MAX_IDLE_CONNECTIONS and not self._closed
        if conn.reusable and room:
            self._idle.append(conn)
        else:
            conn.close()

    async def _request(
        self,
        conn: HttpConnection,
        method: str,
        path: str,
        body: Any,
        timeout: asyncio.Timeout,
        wait_s: float,
    ) -> tuple[int, dict[str, Any]]:
        """Makes a call on a connection; extends the timeout while data arrives."""
        now = asyncio.get_running_loop().time
        first_until = timeout.when()
        assert first_until is not None
        latest = first_until + TRANSFER_TIMEOUT_S
        host = f"{self._address[0]}:{self._address[1]}".encode()
        headers = [(b"host", host)]
        data = b""
        if body is not None:
            headers.append((b"content-type", b"application/json"))
            data = json.dumps(body).encode()
        conn.send(method.encode(), path.encode(), headers, (data,) if data else ())
        sent_at = now()
        status = 0
        era: int | None = None
        parts = []
        size = 0
        while True:
            event = await conn.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            timeout.reschedule(min(latest, now() + CALL_TIMEOUT_S))
            if isinstance(event, h11.Response):
                self._observe_latency(now() - sent_at - wait_s)
                status = event.status_code
                era = _decode_era(dict(event.headers).get(ERA_HEADER))
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > MAX_RESPONSE_BYTES:
                    raise ConnectionBroken(
                        f"a response over {MAX_RESPONSE_BYTES} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionBroken("closed by the store")
        conn.finish()
        self._observe_era(era, status)
        text = b"".join(parts)
        # No caller expects 429 or 5xx, and bodies of such responses may not be JSON.
        has_body = text and status < 500 and status != 429
        response = _tolerant_json.loads(text) if has_body else {}
        return status, response if isinstance(response, dict) else {}

    def _observe_latency(self, latency_s: float) -> None:
        """Records the time to a response; below zero if a watch ended early."""
        self._latency_s = max(latency_s, LATENCY_DECAY * self._latency_s)

    @property
    def watch_slack_s(self) -> float:
        """Time that a watch may take beyond the requested wait, in seconds."""
        slack_s = SLACK_FACTOR * self._latency_s
        return min(WATCH_SLACK_S, max(MIN_WATCH_SLACK_S, slack_s))

    def _observe_era(self, era: int | None, status: int) -> None:
        # An error may come from something in front of the store.
        if era is None and status >= 400:
            return
        before = self.era
        if self._eras.observe(era) and before:
            self.on_new_era(before, self.era)


def _decode_era(text: bytes | None) -> int | None:
    return int(text) if text is not None and text.isdigit() else None


def _expect(status: int, body: Any, *valid: int) -> None:
    """Raises StoreUnavailable for a status that is not valid; ``body`` is unused."""
    if status not in valid:
        raise StoreUnavailable(f"unexpected status {status} from the object store")
