"""Checks with all entries whether a key may have run while the store is unavailable.

A request that cannot be claimed is refused as "not run" only if every entry finds no
other request under its key, neither in its shard snapshot nor among the dispatches that
it has noted.
"""

from __future__ import annotations

import queue
import secrets
import threading
import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

from cornelpin.daemon.claim_messages import ClaimAsk, ClaimReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.leases import EntryLeases
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process
    from cornelpin.daemon.record_store import RecordStore

# Beyond this number the keys noted longest ago are evicted; for these an entry relies
# on its shard snapshot alone.
MAX_KEYS = 50_000
ASK_TIMEOUT_S = 0.5
ASK_ID_BYTES = 8


class ClaimPeers:
    """Notes the keys dispatched by this entry and asks other entries about theirs."""

    def __init__(
        self,
        process: Process,
        record_store: RecordStore,
        leases: EntryLeases,
        peers: Callable[[], list[Peer]],
    ) -> None:
        self._process = process
        self._record_store = record_store
        self._leases = leases
        self._peers = peers
        self._lock = threading.Lock()
        self._owners: OrderedDict[str, set[str]] = OrderedDict()
        self._queries: dict[str, queue.SimpleQueue[tuple[str, ClaimReply]]] = {}

    def note_dispatch(self, key: str, owner: str) -> None:
        """Notes that a request with a key may be dispatched here."""
        with self._lock:
            self._owners.setdefault(key, set()).add(owner)
            self._owners.move_to_end(key)
            if len(self._owners) > MAX_KEYS:
                self._owners.popitem(last=False)

    def forget_dispatch(self, key: str, owner: str) -> None:
        """Removes the note of a request that certainly is not dispatched here."""
        with self._lock:
            owners = self._owners.get(key, set())
            owners.discard(owner)
            if not owners:
                self._owners.pop(key, None)

    def may_have_run_here(self, key: str, owner: str) -> bool:
        """Whether a request of another owner may have been dispatched under a key.

        This entry notes dispatches from its start. Its shard snapshots are read later
        and so contain all claims stored before the start.
        """
        snapshot = self._record_store.snapshot_of(key)
        if snapshot is None:
            return True
        found = snapshot.records.get(key)
        with self._lock:
            others = self._owners.get(key, set()) - {owner}
        stored = snapshot.may_have(key) if found is None else found.owner != owner
        return bool(others) or stored

    def handle(self, peer: Peer, msg: Any) -> bool:
        """Handles another entry's message; returns whether it concerns claims."""
        match msg:
            case ClaimAsk():
                known = self.may_have_run_here(msg.key, msg.owner)
                peer.send(ClaimReply(msg.ask_id, known))
            case ClaimReply():
                replies = self._queries.get(msg.ask_id)
                if replies is not None:
                    replies.put((peer.name, msg))
            case _:
                return False
        return True

    def may_have_run(self, key: str, owner: str) -> bool:
        """Whether a request of another owner may have run under a key at any entry.

        An entry that does not reply in time counts as one that may have run it.
        """
        if self.may_have_run_here(key, owner):
            return True
        others = self._others(key)
        replies = self._ask(key, owner, others)
        known = any(reply.known for reply in replies.values())
        return known or replies.keys() != others

    def _others(self, key: str) -> set[str]:
        """Returns the other entries that may have run a key since its shard was read.

        These are the configured entries and those whose lease was active after the
        read; earlier claims are in the snapshot.
        """
        snapshot = self._record_store.snapshot_of(key)
        read_at = snapshot.read_at if snapshot is not None else float("-inf")
        configured = set(self._process.view.config.entries)
        others = configured | self._leases.active_since(read_at)
        return others - {self._process.settings.name}

    def _ask(self, key: str, owner: str, others: set[str]) -> dict[str, ClaimReply]:
        """Returns the replies that arrive within the time limit, by entry."""
        ask_id = secrets.token_hex(ASK_ID_BYTES)
        inbox: queue.SimpleQueue[tuple[str, ClaimReply]] = queue.SimpleQueue()
        self._queries[ask_id] = inbox
        for peer in self._peers():
            if peer.name in others:
                peer.send(ClaimAsk(ask_id, key, owner))
        deadline = time.monotonic() + ASK_TIMEOUT_S
        replies: dict[str, ClaimReply] = {}
        try:
            while replies.keys() != others:
                name, reply = inbox.get(timeout=max(0.0, deadline - time.monotonic()))
                replies[name] = reply
        except queue.Empty:
            pass
        finally:
            del self._queries[ask_id]
        return replies
