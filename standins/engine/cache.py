"""The prefix cache of the model engine."""

from __future__ import annotations

import hashlib
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import attrs

from standins._http import hashed_uniform

BLOCK_WORDS = 64
EVENT_DROP_RATE = 0.1


@attrs.frozen
class Block:
    """A cached block: its hash, the hash of the block before, its words."""

    block: str
    parent: str
    words: list[str]


@attrs.frozen
class CacheEvent:
    """A block that was stored or evicted, at a monotonic time in seconds."""

    seq: int
    kind: str
    block: str
    recorded_s: float


def block_hash(parent: str, words: list[str]) -> str:
    """Returns the hash that names a block after the block ``parent``."""
    return hashlib.sha256(f"{parent}|{' '.join(words)}".encode()).hexdigest()


def prompt_blocks(root: str, prompt: str) -> list[Block]:
    """Splits a prompt into its whole blocks.

    Args:
        root: Parent of the first block, ``model@version``: versions share none.
        prompt: The prompt; a trailing part of a block is left out.
    """
    words = prompt.split()
    blocks: list[Block] = []
    parent = root
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        part = words[start : start + BLOCK_WORDS]
        blocks.append(Block(block_hash(parent, part), parent, part))
        parent = blocks[-1].block
    return blocks


class PrefixCache:
    """Blocks in a limited memory, of which the least recently used leave."""

    def __init__(
        self,
        capacity_tokens: int,
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._capacity_blocks = capacity_tokens // BLOCK_WORDS
        self._seed = seed
        self._clock = clock
        self._lock = threading.Lock()
        self._blocks: OrderedDict[str, Block] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._seq = 0

    @property
    def cached_tokens(self) -> int:
        """The tokens in all cached blocks."""
        with self._lock:
            return len(self._blocks) * BLOCK_WORDS

    def match_and_insert(self, blocks: list[Block]) -> int:
        """Stores a prompt's blocks.

        Returns:
            The prompt tokens that were cached already, counted from the front.
        """
        with self._lock:
            hits = 0
            while hits < len(blocks) and blocks[hits].block in self._blocks:
                hits += 1
            # From the back, so that a block is never older than its children.
            for block in reversed(blocks):
                self._put(block)
            self._evict()
            return hits * BLOCK_WORDS

    def get(self, name: str) -> Block | None:
        """Returns the block of that hash, if cached."""
        with self._lock:
            return self._blocks.get(name)

    def put(self, block: Block) -> None:
        """Stores a block that came from another engine."""
        with self._lock:
            self._put(block)
            self._evict()

    def events(self, after: int, lag_s: float) -> list[dict[str, Any]]:
        """Returns the events past ``after`` that are at least ``lag_s`` old."""
        until = self._clock() - lag_s
        with self._lock:
            return [
                {"seq": event.seq, "kind": event.kind, "block": event.block}
                for event in self._events
                if event.seq > after and event.recorded_s <= until
            ]

    def _put(self, block: Block) -> None:
        if block.block not in self._blocks:
            self._record("stored", block.block)
        self._blocks[block.block] = block
        self._blocks.move_to_end(block.block)

    def _evict(self) -> None:
        while len(self._blocks) > self._capacity_blocks:
            name, _ = self._blocks.popitem(last=False)
            self._record("evicted", name)

    def _record(self, kind: str, name: str) -> None:
        self._seq += 1
        if hashed_uniform(self._seed, "event", self._seq) >= EVENT_DROP_RATE:
            event = CacheEvent(self._seq, kind, name, self._clock())
            self._events.append(event)
