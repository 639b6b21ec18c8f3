"""Collects which configuration is in force at every process.

The entries form a ring with links at distances 1, 2, 4 and so on. An entry that is
asked for a span of the ring asks its neighbours for disjoint parts of it, so that
each entry is asked once and the answer needs a logarithmic number of hops. Rows are
merged on the way, so that no entry sends more than one row for each process.
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

WAIT_S = 3.0
HOP_S = 0.2
MAX_ROWS = 8192
ASK_THREADS = 64
MAX_TRIES = 3
DIRECT_WAIT_S = 1.0
MAX_DIRECT = 32


@attrs.frozen
class CensusRow:
    """What one process announced.

    Attributes:
        role: ``entry`` or ``side``.
        configured: Name in the configuration: that of the entry or of the backend
            server that the side stands beside.
        name: Name of the process.
        number: Number in force there.
    """

    role: str
    configured: str
    name: str
    number: int


class ConfigStatusCollector:
    """Asks all entries, each for its part of the ring.

    Args:
        process: The process.
        own_rows: Gives the rows of this entry and of the sides linked to it.
        neighbour: Gives the open session to an entry, if there is one.
    """

    def __init__(
        self,
        process: Process,
        *,
        own_rows: Callable[[], list[CensusRow]],
        neighbour: Callable[[str], Peer | None],
    ) -> None:
        self._process = process
        self._own_rows = own_rows
        self._neighbour = neighbour
        self._lock = threading.Lock()
        self._waiting: dict[str, queue.SimpleQueue[list[CensusRow]]] = {}
        self._executor = ThreadPoolExecutor(ASK_THREADS, "census")

    def collect(self) -> list[CensusRow]:
        """Returns one row for each process that some entry has heard of."""
        config = self._process.view.config
        rows = self._collect(max(1, len(config.entries)), WAIT_S)
        missing = [r.name for r in unreported_rows(config, rows) if r.role == "entry"]
        # A neighbour that does not answer hides all entries behind it.
        futures = [
            self._executor.submit(self._ask_unlinked, name, 1, DIRECT_WAIT_S)
            for name in missing[:MAX_DIRECT]
        ]
        wait(futures, timeout=DIRECT_WAIT_S)
        found = [future.result() for future in futures if future.done()]
        return merge_rows([*rows, *(row for part in found for row in part or ())])

    def on_ask(self, peer: Peer, msg: CensusAsk) -> None:
        """Answers another entry, from a task of its own."""
        self._executor.submit(self._answer, peer, msg)

    def on_reply(self, msg: CensusReply) -> None:
        """Takes the answer of a neighbour."""
        with self._lock:
            replies = self._waiting.get(msg.ask_id)
        if replies is not None:
            replies.put(_decode(msg.rows))

    def _answer(self, peer: Peer, msg: CensusAsk) -> None:
        rows = self._collect(msg.span, msg.wait_s)
        values = [list(attrs.astuple(row)) for row in rows[:MAX_ROWS]]
        peer.send(CensusReply(msg.ask_id, values))

    def _collect(self, span: int, wait_s: float) -> list[CensusRow]:
        parts = self._parts(span)
        until = time.monotonic() + wait_s
        futures = [
            self._executor.submit(self._ask_part, names, wait_s - HOP_S)
            for names in parts
        ]
        rows = [self._own_rows()]
        for future in futures:
            try:
                rows.append(future.result(max(0.0, until - time.monotonic())))
            except TimeoutError:
                future.cancel()
        return merge_rows(row for part in rows for row in part)

    def _parts(self, span: int) -> list[list[str]]:
        """Returns the names of the entries of each part, the first to be asked."""
        config, name = self._process.view.config, self._process.settings.name
        ring = sorted(config.entries)
        if name not in ring:
            return []
        start = ring.index(name)
        following = [ring[(start + i) % len(ring)] for i in range(min(span, len(ring)))]
        starts = [1 << power for power in range(len(following).bit_length())]
        return [following[d : 2 * d] for d in starts if d < len(following)]

    def _ask_part(self, names: list[str], wait_s: float) -> list[CensusRow]:
        """Asks the first entry of a part, or the next one where it cannot be asked."""
        until = time.monotonic() + wait_s
        for position, name in enumerate(names[:MAX_TRIES]):
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            rows = self._ask(name, len(names) - position, left_s)
            if rows is not None:
                return rows
        return []

    def _ask(self, name: str, span: int, wait_s: float) -> list[CensusRow] | None:
        peer = self._neighbour(name)
        if peer is not None:
            return self._ask_linked(peer, span, wait_s)
        return self._ask_unlinked(name, span, wait_s)

    def _ask_linked(
        self, peer: Peer, span: int, wait_s: float
    ) -> list[CensusRow] | None:
        ask_id = secrets.token_hex(8)
        replies: queue.SimpleQueue[list[CensusRow]] = queue.SimpleQueue()
        with self._lock:
            self._waiting[ask_id] = replies
        try:
            peer.send(CensusAsk(ask_id, span, wait_s - HOP_S))
            return replies.get(timeout=wait_s)
        except queue.Empty:
            return None
        finally:
            with self._lock:
                del self._waiting[ask_id]

    def _ask_unlinked(
        self, name: str, span: int, wait_s: float
    ) -> list[CensusRow] | None:
        """Asks an entry over a session opened for this one question."""
        config = self._process.view.config
        address = _address(config, name)
        if address is None:
            return None
        ask_id = secrets.token_hex(8)
        until = time.monotonic() + wait_s
        try:
            peer = connect(
                address,
                self._process.identity,
                clock=self._process.clock,
                cost=self._process.control_cost,
            )
        except (PeerClosed, ProtocolError) as exc:
            logger.debug("census: {}: {}", name, exc)
            return None
        try:
            peer.send(CensusAsk(ask_id, span, wait_s - HOP_S))
            while time.monotonic() < until:
                msg = peer.receive()
                if isinstance(msg, CensusReply) and msg.ask_id == ask_id:
                    return _decode(msg.rows)
        except (PeerClosed, ProtocolError) as exc:
            logger.debug("census: {}: {}", name, exc)
        finally:
            peer.close()
        return None


def merge_rows(rows: Iterable[CensusRow]) -> list[CensusRow]:
    """Keeps the row with the highest number for each process."""
    merged: dict[tuple[str, str], CensusRow] = {}
    for row in rows:
        key = (row.role, row.configured)
        known = merged.get(key)
        if known is None or row.number > known.number:
            merged[key] = row
    return [merged[key] for key in sorted(merged)]


def unreported_rows(config: Config, rows: Iterable[CensusRow]) -> list[CensusRow]:
    """Returns a row for each configured process without one; the number is 0."""
    heard = {(row.role, row.configured) for row in rows}
    entries = [("entry", name) for name in config.entries]
    sides = [("side", name) for name in config.backend_servers]
    missing = [key for key in [*entries, *sides] if key not in heard]
    return [CensusRow(role, name, name, 0) for role, name in sorted(missing)]


def status_row(row: CensusRow, highest: int, waited_s: float) -> dict[str, Any]:
    """Describes a process that was heard of."""
    behind = row.number < highest
    return {
        "name": row.name,
        "role": row.role,
        "number": row.number,
        "lag_s": waited_s if behind else 0.0,
        "state": "behind" if behind else "in force",
    }


def unreachable_row(row: CensusRow) -> dict[str, Any]:
    """Describes a configured process that no entry has heard of."""
    return {
        "name": row.name,
        "role": row.role,
        "number": None,
        "lag_s": None,
        "state": "unreachable",
    }


def _address(config: Config, entry: str) -> str | None:
    listed = config.entries.get(entry)
    host = config.hosts.get(listed.host) if listed is not None else None
    if listed is None or host is None:
        return None
    return f"{host.address}:{listed.peer_port}"


def _decode(rows: list[list]) -> list[CensusRow]:
    try:
        return [CensusRow(*row) for row in rows]
    except TypeError as exc:
        raise ProtocolError(f"malformed census: {exc}") from exc
