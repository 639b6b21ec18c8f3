"""What the entries remember of claims, for the time that the store is away.

A request that cannot be claimed is refused "not run" only if no entry can have run
its key: neither by its copy of the shard nor by its memory.
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

MAX_KEYS = 50_000
ASK_TIMEOUT_S = 0.5
ASK_ID_BYTES = 8


class ClaimPeers:
    """Remembers the keys of this entry and asks the other entries for theirs."""

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
        self._asking: dict[str, queue.SimpleQueue[tuple[str, ClaimReply]]] = {}

    def remember(self, key: str, owner: str) -> None:
        """Notes that a request under a key may be dispatched here."""
        with self._lock:
            self._owners.setdefault(key, set()).add(owner)
            self._owners.move_to_end(key)
            if len(self._owners) > MAX_KEYS:
                self._owners.popitem(last=False)

    def forget(self, key: str, owner: str) -> None:
        """Notes that a request surely was not and will not be dispatched here."""
        with self._lock:
            owners = self._owners.get(key, set())
            owners.discard(owner)
            if not owners:
                self._owners.pop(key, None)

    def may_know(self, key: str, owner: str) -> bool:
        """Whether a key may have been dispatched, but for the given owner's request.

        The memory of this entry begins with its start; the copy of the shard was read
        after that, so it holds what former entries claimed.
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
        """Handles another entry's message; returns whether it was about claims."""
        match msg:
            case ClaimAsk():
                known = self.may_know(msg.key, msg.owner)
                peer.send(ClaimReply(msg.ask_id, known))
            case ClaimReply():
                replies = self._asking.get(msg.ask_id)
                if replies is not None:
                    replies.put((peer.name, msg))
            case _:
                return False
        return True

    def may_have_run(self, key: str, owner: str) -> bool:
        """Whether another request under a key may have run at any entry.

        An entry that does not answer may have run it.
        """
        if self.may_know(key, owner):
            return True
        others = self._others(key)
        replies = self._ask(key, owner, others)
        known = any(reply.known for reply in replies.values())
        return known or replies.keys() != others

    def _others(self, key: str) -> set[str]:
        """Returns the entries that may have run a key since its shard was read here.

        One that has left the configuration gives no reply, but what it claimed before
        the shard was read is known.
        """
        snapshot = self._record_store.snapshot_of(key)
        read_at = snapshot.read_at if snapshot is not None else float("-inf")
        configured = set(self._process.view.config.entries)
        others = configured | self._leases.active_since(read_at)
        return others - {self._process.settings.name}

    def _ask(self, key: str, owner: str, others: set[str]) -> dict[str, ClaimReply]:
        """Collects the replies of the other entries that answer in time."""
        ask_id = secrets.token_hex(ASK_ID_BYTES)
        arriving: queue.SimpleQueue[tuple[str, ClaimReply]] = queue.SimpleQueue()
        self._asking[ask_id] = arriving
        for peer in self._peers():
            if peer.name in others:
                peer.send(ClaimAsk(ask_id, key, owner))
        until = time.monotonic() + ASK_TIMEOUT_S
        replies: dict[str, ClaimReply] = {}
        try:
            while replies.keys() != others:
                name, reply = arriving.get(timeout=max(0.0, until - time.monotonic()))
                replies[name] = reply
        except queue.Empty:
            pass
        finally:
            del self._asking[ask_id]
        return replies
