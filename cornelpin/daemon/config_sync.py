"""Propagates the configuration over peer sessions.

An entry sends a change as its patch to the sides that follow it and to a few entries,
and as a number alone to its other peers among the entries, which request what they are
missing. A side follows up to ``MAX_FOLLOWED_PEERS`` entries: it asks them to send it
the patch of each change (``ConfigFollow``). A process that missed a change, or whose
patched configuration has another digest than announced, requests the head
(``core.sections.Head``, which lists the digests of all sections) and the sections that
it does not have.
"""

from __future__ import annotations

import collections
import json
import random
import threading
import time
from typing import TYPE_CHECKING, Any

from loguru import logger

from cornelpin.core.config import ConfigFaults, parse_config
from cornelpin.core.partial_patch import PatchedConfig, apply_patch
from cornelpin.core.sections import (
    Head,
    canonical_json,
    digest_of,
    digests,
    join,
    split,
)
from cornelpin.daemon.config_messages import (
    ConfigAsk,
    ConfigDelta,
    ConfigFollow,
    ConfigNumber,
)
from cornelpin.daemon.messages import (
    ConfigHead,
    ConfigSections,
    ConfigWant,
    ProtocolError,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.core.config import Config
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

# Latest patches kept for processes that missed a change.
MAX_KEPT_DELTAS = 64
MAX_FOLLOWED_PEERS = 2
# An unanswered request for a change is repeated after this time.
REQUEST_RETRY_S = 0.5
# Interval at which ``repair`` is called.
REPAIR_INTERVAL_S = 0.5
# Size of the sections above which they are split over several messages.
MAX_MESSAGE_SECTIONS_BYTES = 1_000_000


class ConfigSync:
    """Keeps this process and its peers at the highest known configuration number.

    A peer is a session with another process, see :class:`Peer`.

    Args:
        process: The process.
        peers: Returns all peers.
        unasked_patch_peers: Returns peers that are sent patches without having asked
            for them by following this process.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        process: Process,
        peers: Callable[[], list[Peer]],
        unasked_patch_peers: Callable[[], list[Peer]] = list,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._process = process
        self._view = process.view
        self._peers = peers
        self._unasked_patch_peers = unasked_patch_peers
        self._clock = clock
        self._lock = threading.RLock()
        self._pending_head: Head | None = None
        self._pending_sections: dict[str, bytes] = {}
        self._deltas: collections.deque[ConfigDelta] = collections.deque(
            maxlen=MAX_KEPT_DELTAS
        )
        self._followers: set[Peer] = set()
        self._followed_peers: set[Peer] = set()
        self._highest_announced = 0
        self._requested = 0
        self._requested_at = 0.0

    @property
    def highest_announced(self) -> int:
        """Highest number announced by a peer, 0 before the first."""
        return self._highest_announced

    @property
    def behind(self) -> bool:
        """Whether a peer has announced a higher number than the one in force."""
        return self._highest_announced > self._view.number

    def announce(self, peer: Peer) -> None:
        """Sends the number in force to a peer."""
        if self._view.number:
            peer.send(ConfigNumber(self._view.number))

    def on_peer_opened(self, peer: Peer) -> None:
        """Announces the number to a new peer and follows it if too few are followed."""
        self.announce(peer)
        self._follow()

    def on_peer_closed(self, peer: Peer) -> None:
        """Follows another peer if the closed one was followed."""
        with self._lock:
            self._followed_peers.discard(peer)
        self._follow()

    def _follow(self) -> None:
        for peer in self._peers():
            with self._lock:
                if (
                    len(self._followed_peers) >= MAX_FOLLOWED_PEERS
                    or peer in self._followed_peers
                ):
                    continue
                self._followed_peers.add(peer)
            peer.send(ConfigFollow())

    def handle(self, peer: Peer, msg: Any) -> None:
        """Handles a configuration message from a peer."""
        match msg:
            case ConfigNumber():
                self.on_announced(peer, msg.number)
            case ConfigAsk():
                self._on_ask(peer, msg.number)
            case ConfigDelta():
                self._on_delta(peer, msg)
            case ConfigFollow():
                self._on_follow(peer)
            case ConfigHead():
                self._on_head(peer, msg)
            case ConfigWant():
                self._on_want(peer, msg)
            case ConfigSections():
                self._on_sections(msg.sections)
            case _:
                raise ProtocolError(f"unexpected {type(msg).__name__}")

    def on_announced(self, peer: Peer, number: int) -> None:
        """Requests the configuration from a peer that announced a higher number."""
        with self._lock:
            self._highest_announced = max(self._highest_announced, number)
            if number <= self._view.number:
                return
            now = self._clock()
            if number <= self._requested and now - self._requested_at < REQUEST_RETRY_S:
                return
            self._requested, self._requested_at = number, now
        peer.send(ConfigAsk(self._view.number))

    def repair(self) -> None:
        """Repeats an unanswered request for an announced number to a random peer."""
        peers = self._peers()
        with self._lock:
            now = self._clock()
            if (
                not self.behind
                or now - self._requested_at < REQUEST_RETRY_S
                or not peers
            ):
                return
            self._requested_at = now
        random.choice(peers).send(ConfigAsk(self._view.number))

    def publish(
        self,
        head: Head,
        config: Config,
        sections: Mapping[str, bytes],
        patch: Mapping[str, Any] | None = None,
    ) -> bool:
        """Puts a configuration in force; an entry also announces it to its peers.

        Args:
            head: Head of the configuration.
            config: The configuration.
            sections: Its sections by digest.
            patch: Patch from the previous number, if known.

        Returns:
            Whether it is now in force.
        """
        delta = _delta(head, patch) if patch is not None else None
        with self._lock:
            if not self._view.apply(config, head=head, sections=sections):
                return False
            if delta is None:
                self._deltas.clear()
            else:
                self._deltas.append(delta)
            self._followers = {p for p in self._followers if not p.closed}
            followers = set(self._followers)
        self._process.ring.record("config.in-force", detail=str(head.number))
        if self._process.settings.role == "entry":
            followers.update(self._unasked_patch_peers())
            self._announce_to_all(delta, followers)
        return True

    def _announce_to_all(self, delta: ConfigDelta | None, followers: set[Peer]) -> None:
        number = ConfigNumber(self._view.number)
        for peer in followers:
            peer.send(delta or number)
        for peer in self._peers():
            # A side gets changes from the entries that it follows.
            if peer not in followers and peer.role != "side":
                peer.send(number)

    def _on_follow(self, peer: Peer) -> None:
        with self._lock:
            self._followers.add(peer)
        self.announce(peer)

    def _on_ask(self, peer: Peer, number: int) -> None:
        with self._lock:
            head = self._view.head
            deltas = [delta for delta in self._deltas if delta.number > number]
        if head is None or number >= head.number:
            return
        if number and deltas and deltas[0].number == number + 1:
            for delta in deltas:
                peer.send(delta)
            return
        peer.send(ConfigHead(head.number, head.encode()))

    def _on_delta(self, peer: Peer, msg: ConfigDelta) -> None:
        with self._lock:
            self._highest_announced = max(self._highest_announced, msg.number)
            if msg.number <= self._view.number:
                return
            if msg.number == self._view.number + 1 and self._apply(msg):
                return
        # 0 requests the head instead of patches.
        peer.send(ConfigAsk(0))

    def _apply(self, msg: ConfigDelta) -> bool:
        """Applies a patch; returns whether the result has the expected digest."""
        config, before, sections = self._view.snapshot()
        if before is None:
            return False
        patch = _decode_patch(msg.patch)
        patched = apply_patch(config, before.sections, sections, patch)
        if not isinstance(patched, PatchedConfig):
            return False
        head = Head(
            number=msg.number,
            # Here digests by section name; ``patched.sections`` holds values by digest.
            sections=patched.digest_by_name,
            patch=digests(split(patch)),
            patch_id=msg.patch_id,
            author=msg.author,
            at=msg.at,
            previous=digest_of(before.encode()),
        )
        if digest_of(head.encode()) != msg.digest:
            return False
        return self.publish(head, patched.config, patched.sections, patch)

    def _on_head(self, peer: Peer, msg: ConfigHead) -> None:
        if msg.number <= self._view.number:
            return
        head = _decode_head(msg.head)
        with self._lock:
            if self._pending_head is None or head.number > self._pending_head.number:
                self._pending_head, self._pending_sections = head, {}
        held = self._view.sections
        missing = [d for d in head.sections.values() if d not in held]
        if missing:
            peer.send(ConfigWant(missing))
        else:
            self._on_sections({})

    def _on_want(self, peer: Peer, msg: ConfigWant) -> None:
        """Sends the requested sections in messages of bounded size."""
        held = self._view.sections
        part: dict[str, bytes] = {}
        for digest in msg.digests:
            if digest not in held:
                continue
            if (
                part
                and sum(map(len, part.values())) + len(held[digest])
                > MAX_MESSAGE_SECTIONS_BYTES
            ):
                peer.send(ConfigSections(part))
                part = {}
            part[digest] = held[digest]
        peer.send(ConfigSections(part))

    def _on_sections(self, received: Mapping[str, bytes]) -> None:
        with self._lock:
            head = self._pending_head
            if head is None or head.number <= self._view.number:
                return
            valid = {d: v for d, v in received.items() if digest_of(v) == d}
            self._pending_sections.update(valid)
            known = {**self._view.sections, **self._pending_sections}
            if not all(digest in known for digest in head.sections.values()):
                return
            self._pending_head, self._pending_sections = None, {}
            self._publish_pending(head, known)

    def _publish_pending(self, head: Head, known: Mapping[str, bytes]) -> None:
        document = join({name: known[d] for name, d in head.sections.items()})
        config = parse_config(document, number=head.number)
        if isinstance(config, ConfigFaults):
            logger.error(
                "received configuration {} is invalid and not applied: {}",
                head.number,
                config,
            )
            return
        held = {digest: known[digest] for digest in head.sections.values()}
        self.publish(head, config, held)


def _delta(head: Head, patch: Mapping[str, Any]) -> ConfigDelta:
    return ConfigDelta(
        number=head.number,
        patch=canonical_json(patch),
        patch_id=head.patch_id,
        author=head.author,
        at=head.at,
        digest=digest_of(head.encode()),
    )


def _decode_head(value: bytes) -> Head:
    try:
        return Head.decode(value)
    except ValueError as exc:
        raise ProtocolError(str(exc)) from exc


def _decode_patch(value: bytes) -> dict[str, Any]:
    try:
        patch = json.loads(value)
    except ValueError as exc:
        raise ProtocolError(f"configuration patch is not valid JSON: {exc}") from exc
    if not isinstance(patch, dict):
        raise ProtocolError("configuration patch is not a JSON object")
    return patch
