"""Collects the configuration number in force at every process.

The entries form a ring with links at distances 1, 2, 4 and so on. An entry splits the
requested span of the ring into disjoint parts and forwards each to a neighbour, so that
each entry gets one request and a reply takes a logarithmic number of hops. Rows are
merged on the way, so that an entry sends at most one row for each process.
The messages (``CensusAsk`` and ``CensusReply``) call this a census.
"""

from __future__ import annotations

import queue
import secrets
import threading
import time
from concurrent.futures import ThreadPoolExecutor, wait
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from cornelpin.daemon.census_messages import CensusAsk, CensusReply
from cornelpin.daemon.messages import ProtocolError
from cornelpin.daemon.peer import PeerClosed, connect

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cornelpin.core.config import Config
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

COLLECT_TIMEOUT_S = 3.0
# Time that each hop reserves for merging rows and sending its reply.
HOP_MARGIN_S = 0.2
# Limits the size of a reply.
MAX_ROWS = 8192
REQUEST_THREADS = 64
MAX_ATTEMPTS_PER_PART = 3
DIRECT_TIMEOUT_S = 1.0
MAX_DIRECT_REQUESTS = 32


@attrs.frozen
class ConfigStatusRow:
    """The configuration number announced by one process.

    Attributes:
        role: ``entry`` or ``side``.
        configured: Name in the configuration: that of the entry, or of the backend
            server that the side serves.
        name: Name of the process.
        number: Configuration number in force there.
    """

    role: str
    configured: str
    name: str
    number: int


class ConfigStatusCollector:
    """Collects rows from all entries, by requests that fan out over the ring.

    Args:
        process: The process.
        own_rows: Returns the rows of this entry and of the sides linked to it.
        neighbour: Returns the open session with an entry, None without one.
    """

    def __init__(
        self,
        process: Process,
        *,
        own_rows: Callable[[], list[ConfigStatusRow]],
        neighbour: Callable[[str], Peer | None],
    ) -> None:
        self._process = process
        self._own_rows = own_rows
        self._neighbour = neighbour
        self._lock = threading.Lock()
        self._pending: dict[str, queue.SimpleQueue[list[ConfigStatusRow]]] = {}
        self._executor = ThreadPoolExecutor(REQUEST_THREADS, "census")

    def collect(self) -> list[ConfigStatusRow]:
        """Returns one row for each process known to an entry that replied in time."""
        config = self._process.view.config
        rows = self._collect(max(1, len(config.entries)), COLLECT_TIMEOUT_S)
        missing = [r.name for r in unreported_rows(config, rows) if r.role == "entry"]
        # An unresponsive neighbour hides all entries of its part, so they are asked
        # directly.
        futures = [
            self._executor.submit(self._request_directly, name, 1, DIRECT_TIMEOUT_S)
            for name in missing[:MAX_DIRECT_REQUESTS]
        ]
        wait(futures, timeout=DIRECT_TIMEOUT_S)
        direct_rows = [future.result() for future in futures if future.done()]
        return merge_rows([*rows, *(row for part in direct_rows for row in part or ())])

    def on_ask(self, peer: Peer, msg: CensusAsk) -> None:
        """Replies to another entry, from a thread of the pool."""
        self._executor.submit(self._reply, peer, msg)

    def on_reply(self, msg: CensusReply) -> None:
        """Passes a reply on to the thread that waits for it."""
        with self._lock:
            replies = self._pending.get(msg.ask_id)
        if replies is not None:
            replies.put(_decode_rows(msg.rows))

    def _reply(self, peer: Peer, msg: CensusAsk) -> None:
        rows = self._collect(msg.span, msg.wait_s)
        values = [list(attrs.astuple(row)) for row in rows[:MAX_ROWS]]
        peer.send(CensusReply(msg.ask_id, values))

    def _collect(self, span: int, timeout_s: float) -> list[ConfigStatusRow]:
        parts = self._split_span(span)
        deadline = time.monotonic() + timeout_s
        futures = [
            self._executor.submit(self._request_part, names, timeout_s - HOP_MARGIN_S)
            for names in parts
        ]
        rows = [self._own_rows()]
        for future in futures:
            try:
                rows.append(future.result(max(0.0, deadline - time.monotonic())))
            except TimeoutError:
                future.cancel()
        return merge_rows(row for part in rows for row in part)

    def _split_span(self, span: int) -> list[list[str]]:
        """Splits the rest of the span, without this entry, into parts.

        Each part starts at a neighbour of this entry.
        """
        config, name = self._process.view.config, self._process.settings.name
        ring = sorted(config.entries)
        if name not in ring:
            return []
        start = ring.index(name)
        following = [ring[(start + i) % len(ring)] for i in range(min(span, len(ring)))]
        starts = [1 << power for power in range(len(following).bit_length())]
        return [following[d : 2 * d] for d in starts if d < len(following)]

    def _request_part(
        self, names: list[str], timeout_s: float
    ) -> list[ConfigStatusRow]:
        """Requests a part from its first entry, or from the next ones if that fails."""
        deadline = time.monotonic() + timeout_s
        for position, name in enumerate(names[:MAX_ATTEMPTS_PER_PART]):
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            rows = self._request(name, len(names) - position, remaining_s)
            if rows is not None:
                return rows
        return []

    def _request(
        self, name: str, span: int, timeout_s: float
    ) -> list[ConfigStatusRow] | None:
        peer = self._neighbour(name)
        if peer is not None:
            return self._request_over_link(peer, span, timeout_s)
        return self._request_directly(name, span, timeout_s)

    def _request_over_link(
        self, peer: Peer, span: int, timeout_s: float
    ) -> list[ConfigStatusRow] | None:
        ask_id = secrets.token_hex(8)
        replies: queue.SimpleQueue[list[ConfigStatusRow]] = queue.SimpleQueue()
        with self._lock:
            self._pending[ask_id] = replies
        try:
            peer.send(CensusAsk(ask_id, span, timeout_s - HOP_MARGIN_S))
            return replies.get(timeout=timeout_s)
        except queue.Empty:
            return None
        finally:
            with self._lock:
                del self._pending[ask_id]

    def _request_directly(
        self, name: str, span: int, timeout_s: float
    ) -> list[ConfigStatusRow] | None:
        """Requests rows over a session opened for this request only."""
        config = self._process.view.config
        address = _peer_address(config, name)
        if address is None:
            return None
        ask_id = secrets.token_hex(8)
        deadline = time.monotonic() + timeout_s
        try:
            peer = connect(
                address,
                self._process.identity,
                clock=self._process.clock,
                cost=self._process.control_cost,
            )
        except (PeerClosed, ProtocolError) as exc:
            logger.debug("configuration status of {} not received: {}", name, exc)
            return None
        try:
            peer.send(CensusAsk(ask_id, span, timeout_s - HOP_MARGIN_S))
            while time.monotonic() < deadline:
                msg = peer.receive()
                if isinstance(msg, CensusReply) and msg.ask_id == ask_id:
                    return _decode_rows(msg.rows)
        except (PeerClosed, ProtocolError) as exc:
            logger.debug("configuration status of {} not received: {}", name, exc)
        finally:
            peer.close()
        return None


def merge_rows(rows: Iterable[ConfigStatusRow]) -> list[ConfigStatusRow]:
    """Keeps the row with the highest number for each process."""
    merged: dict[tuple[str, str], ConfigStatusRow] = {}
    for row in rows:
        key = (row.role, row.configured)
        known = merged.get(key)
        if known is None or row.number > known.number:
            merged[key] = row
    return [merged[key] for key in sorted(merged)]


def unreported_rows(
    config: Config, rows: Iterable[ConfigStatusRow]
) -> list[ConfigStatusRow]:
    """Returns a row with number 0 for each configured process without a row."""
    reported = {(row.role, row.configured) for row in rows}
    entries = [("entry", name) for name in config.entries]
    sides = [("side", name) for name in config.backend_servers]
    missing = [key for key in [*entries, *sides] if key not in reported]
    return [ConfigStatusRow(role, name, name, 0) for role, name in sorted(missing)]


def status_row(row: ConfigStatusRow, highest: int, lag_s: float) -> dict[str, Any]:
    """Builds the status of a process that has reported its number.

    Args:
        row: The row of the process.
        highest: Highest configuration number known.
        lag_s: Seconds since this entry applied its own configuration; it estimates how
            long a process with a lower number has been behind.
    """
    behind = row.number < highest
    return {
        "name": row.name,
        "role": row.role,
        "number": row.number,
        "lag_s": lag_s if behind else 0.0,
        "state": "behind" if behind else "in force",
    }


def unreachable_row(row: ConfigStatusRow) -> dict[str, Any]:
    """Builds the status of a configured process that no entry has reported."""
    return {
        "name": row.name,
        "role": row.role,
        "number": None,
        "lag_s": None,
        "state": "unreachable",
    }


def _peer_address(config: Config, entry: str) -> str | None:
    entry_config = config.entries.get(entry)
    host = config.hosts.get(entry_config.host) if entry_config is not None else None
    if entry_config is None or host is None:
        return None
    return f"{host.address}:{entry_config.peer_port}"


def _decode_rows(rows: list[list]) -> list[ConfigStatusRow]:
    try:
        return [ConfigStatusRow(*row) for row in rows]
    except TypeError as exc:
        raise ProtocolError(f"malformed row of configuration status: {exc}") from exc
