"""The prefix cache of the model engine: hashed blocks of prompt words, LRU eviction."""

from __future__ import annotations

import hashlib
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import attrs

from standins._http import hashed_uniform

# Size of a block; the stand-in counts each word of a prompt as one token.
BLOCK_WORDS = 64
# Share of the cache events that are never reported.
EVENT_DROP_RATE = 0.1


@attrs.frozen
class Block:
    """A cached block.

    Attributes:
        block: Hash of the parent and the words; names the block.
        parent: Hash of the preceding block, or the root of the first block.
        words: The words of the block.
    """

    block: str
    parent: str
    words: list[str]


@attrs.frozen
class CacheEvent:
    """A change of the cache.

    Attributes:
        seq: Sequence number; numbers of dropped events are missing.
        kind: ``stored`` or ``evicted``.
        block: Hash of the block.
        recorded_s: Monotonic time in seconds.
    """

    seq: int
    kind: str
    block: str
    recorded_s: float


def block_hash(parent: str, words: list[str]) -> str:
    """Returns the hash of a block that follows the block ``parent``."""
    return hashlib.sha256(f"{parent}|{' '.join(words)}".encode()).hexdigest()


def prompt_blocks(root: str, prompt: str) -> list[Block]:
    """Splits a prompt into full blocks.

    Args:
        root: Parent of the first block, ``model@version``, so that versions share
            no blocks.
        prompt: The prompt; an incomplete last block is left out.
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
    """A cache of blocks with a limited size and LRU eviction.

    Events are dropped with probability ``EVENT_DROP_RATE``, so readers of the event
    stream miss some changes.
    """

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
        """Number of tokens in all cached blocks."""
        with self._lock:
            return len(self._blocks) * BLOCK_WORDS

    def match_and_insert(self, blocks: list[Block]) -> int:
        """Looks up the longest cached prefix of a prompt, then stores all its blocks.

        Returns:
            Number of tokens in the prefix that was already cached.
        """
        with self._lock:
            hits = 0
            while hits < len(blocks) and blocks[hits].block in self._blocks:
                hits += 1
            # In reverse order, so that a block is evicted after its children.
            for block in reversed(blocks):
                self._put(block)
            self._evict()
            return hits * BLOCK_WORDS

    def get(self, name: str) -> Block | None:
        """Returns the block with the hash ``name``, if cached."""
        with self._lock:
            return self._blocks.get(name)

    def put(self, block: Block) -> None:
        """Stores a block received from another engine."""
        with self._lock:
            self._put(block)
            self._evict()

    def events(self, after: int, lag_s: float) -> list[dict[str, Any]]:
        """Returns the events after sequence number ``after`` that are ``lag_s`` old."""
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
