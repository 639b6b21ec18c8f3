"""Loads and patches the configuration in the object store and reads its history.

A patch writes the new sections, copies the current head to the history and then
replaces the head with a conditional write. Each head refers to its own patch, so a
crash between any two of these writes loses nothing.
"""

from __future__ import annotations

import threading
import time
import uuid
from collections.abc import Callable, Mapping
from typing import Any

from cornelpin.core._checking import Fault, member_path
from cornelpin.core._config_outcomes import (
    Accepted,
    HistoryEntry,
    Invalid,
    NoSuchNumber,
    NotStored,
    Snapshot,
    Stale,
    Undecided,
)
from cornelpin.core._config_sections import SectionStore
from cornelpin.core.config import Config, ConfigFaults, parse_config
from cornelpin.core.partial_patch import PatchedConfig, apply_patch
from cornelpin.core.patch import diff
from cornelpin.core.sections import Head, digest_of, join, split
from cornelpin.stores.objects import (
    MAX_VALUE_BYTES,
    Conflict,
    Found,
    Missing,
    ObjectStore,
    Unavailable,
    Unchanged,
    Unknown,
    Written,
)

__all__ = [
    "Accepted",
    "ConfigStore",
    "HistoryEntry",
    "Invalid",
    "NoSuchNumber",
    "NotStored",
    "Snapshot",
    "Stale",
    "Submission",
    "Unavailable",
    "Undecided",
]

HEAD_KEY = "config/head"
HISTORY_PREFIX = "config/history/"
# Attempts to resolve a head write with an unknown outcome, with exponential backoff.
RESOLVE_ATTEMPTS = 6
RESOLVE_PAUSE_S = 0.05

Submission = Accepted | Stale | Invalid | NotStored | Undecided

_EMPTY = Snapshot(0, Config(), None, {}, 0)

# Returns a configuration, its head and its sections by digest.
KnownConfig = Callable[[], tuple[Config, Head | None, Mapping[str, bytes]]]


def _no_known_config() -> tuple[Config, Head | None, Mapping[str, bytes]]:
    return Config(), None, {}


class ConfigStore:
    """Reads and patches the configuration kept in an object store; thread-safe.

    Args:
        objects: The object store.
        clock: Returns the Unix time in seconds that is stored with a patch.
        sleep: Waits between attempts to resolve a write with an unknown outcome.
        known: Returns the configuration that this process already has, such as from
            a peer, with its head and its sections by digest. If its head is the
            stored one, the sections are not read again.
    """

    def __init__(
        self,
        objects: ObjectStore,
        *,
        clock: Callable[[], float] = time.time,
        sleep: Callable[[float], object] = time.sleep,
        known: KnownConfig = _no_known_config,
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._sleep = sleep
        self._known = known
        self._sections = SectionStore(objects)
        self._last = _EMPTY
        self._lock = threading.Lock()

    def load(self) -> Snapshot | Unavailable:
        """Reads the configuration; takes a single read if it is unchanged."""
        with self._lock:
            return self._load()

    def submit(self, base: int, patch: dict[str, Any], *, author: str) -> Submission:
        """Applies a merge patch to the configuration.

        Args:
            base: Number of the configuration that the patch is based on.
            patch: JSON merge patch after RFC 7396.
            author: Operator who submits the patch.
        """
        with self._lock:
            current = self._load()
            if isinstance(current, Unavailable):
                return NotStored(current.reason)
            if base != current.number:
                return self._stale(base, current)
            checked = _patched_config(current, patch)
            if isinstance(checked, Invalid):
                return checked
            head = self._write_referenced_objects(current, checked, patch, author)
            if isinstance(head, NotStored):
                return head
            return self._replace_head(current, head, checked)

    def history(self, number: int) -> HistoryEntry | NoSuchNumber | Unavailable:
        """Reads the patch that produced a configuration number."""
        with self._lock:
            head = self._head_of(number)
            if not isinstance(head, Head):
                return head
            patch = self._read_document(head.patch)
            if isinstance(patch, Unavailable):
                return patch
            return HistoryEntry(number, head.author, head.at, patch, head.patch_id)

    def diff(self, old: int, new: int) -> dict[str, Any] | NoSuchNumber | Unavailable:
        """Returns the merge patch between the documents of two numbers."""
        with self._lock:
            documents: list[dict[str, Any]] = []
            for number in (old, new):
                document = self._document_of(number)
                if not isinstance(document, dict):
                    return document
                documents.append(document)
            return diff(*documents)

    def _load(self) -> Snapshot | Unavailable:
        last = self._last
        known_version = last.head_version or None
        found = self._objects.get(HEAD_KEY, unless_version=known_version)
        if isinstance(found, Unavailable):
            return found
        if isinstance(found, Unchanged):
            return last
        if isinstance(found, Missing):
            unavailable = Unavailable(f"the head is missing after number {last.number}")
            return unavailable if last.number else _EMPTY
        snapshot = self._read_snapshot(found)
        if isinstance(snapshot, Snapshot):
            self._last = snapshot
        return snapshot

    def _read_snapshot(self, found: Found) -> Snapshot | Unavailable:
        try:
            head = Head.decode(found.value)
        except ValueError as exc:
            return Unavailable(str(exc))
        if head.number < self._last.number:
            reason = f"head number {head.number} is below {self._last.number}"
            return Unavailable(reason)
        patched = self._known_config(head) or self._next_config(head)
        if patched is None:
            return self._read_whole(head, found.version)
        self._sections.replace_cache(patched.sections)
        number, version = head.number, found.version
        return Snapshot(
            number, patched.config, head, patched.sections, version, patched.patch
        )

    def _known_config(self, head: Head) -> PatchedConfig | None:
        """Returns the configuration of a head if ``known`` returns the same head."""
        config, known_head, sections = self._known()
        if known_head is None or known_head.encode() != head.encode():
            return None
        return PatchedConfig(config, dict(head.sections), dict(sections), {}, None)

    def _next_config(self, head: Head) -> PatchedConfig | None:
        """Returns the configuration of a head by applying its patch to the last one.

        Returns None if the head is not the direct successor, its patch cannot be read
        or applied, or the result has other sections than the head lists.
        """
        last = self._last
        if last.head is None or head.number != last.number + 1:
            return None
        patch = self._read_document(head.patch)
        if isinstance(patch, Unavailable):
            return None
        patched = apply_patch(last.config, last.head.sections, last.sections, patch)
        if (
            not isinstance(patched, PatchedConfig)
            or patched.digest_by_name != head.sections
        ):
            return None
        return patched

    def _read_whole(self, head: Head, version: int) -> Snapshot | Unavailable:
        sections = self._sections.read(head.sections)
        if isinstance(sections, Unavailable):
            return sections
        config = parse_config(join(sections), number=head.number)
        if isinstance(config, ConfigFaults):
            return Unavailable(f"stored configuration {head.number}: {config}")
        by_digest = {head.sections[name]: value for name, value in sections.items()}
        return Snapshot(head.number, config, head, by_digest, version)

    def _stale(self, base: int, current: Snapshot) -> Stale:
        document = self._document_of(base)
        if not isinstance(document, dict):
            return Stale(current.number, None)
        return Stale(current.number, diff(document, current.document))

    def _write_referenced_objects(
        self, current: Snapshot, patched: PatchedConfig, patch: Any, author: str
    ) -> Head | NotStored:
        """Writes all objects that the new head refers to and returns the head."""
        written = self._sections.write(patched.written)
        if not isinstance(written, dict):
            return NotStored(written.reason)
        patches = self._sections.write(split(patch))
        if not isinstance(patches, dict):
            return NotStored(patches.reason)
        failure = self._write_history(current.head) if current.head else None
        if failure is not None:
            return failure
        return Head(
            number=current.number + 1,
            sections=patched.digest_by_name,
            patch=patches,
            patch_id=uuid.uuid4().hex,
            author=author,
            at=self._clock(),
            previous=digest_of(current.head.encode()) if current.head else "",
        )

    def _write_history(self, head: Head) -> NotStored | None:
        """Writes a head to the history unless another writer already has."""
        key = f"{HISTORY_PREFIX}{head.number}"
        outcome = self._objects.put(key, head.encode(), if_version=0)
        if isinstance(outcome, Written | Conflict):
            return None
        found = self._objects.get(key) if isinstance(outcome, Unknown) else None
        if isinstance(found, Found) and found.value == head.encode():
            return None
        return NotStored(f"history {head.number}: {outcome.reason}")

    def _replace_head(
        self, current: Snapshot, head: Head, patched: PatchedConfig
    ) -> Submission:
        version = current.head_version
        outcome = self._objects.put(HEAD_KEY, head.encode(), if_version=version)
        if isinstance(outcome, Written):
            self._sections.replace_cache(patched.sections)
            self._last = Snapshot(
                head.number,
                patched.config,
                head,
                patched.sections,
                outcome.version,
                patched.patch,
            )
            return Accepted(head.number)
        if isinstance(outcome, Unavailable):
            return NotStored(outcome.reason)
        if isinstance(outcome, Conflict):
            return self._resolve_conflict(current, head)
        return self._resolve(current, head, outcome.reason)

    def _resolve_conflict(self, current: Snapshot, head: Head) -> Submission:
        """Returns the submission as stale: another head was stored before this one.

        Needs no comparison with ``head``, unlike a write with an unknown outcome.
        """
        latest = self._load()
        if isinstance(latest, Unavailable):
            return NotStored(f"another patch came first; {latest.reason}")
        return self._stale(current.number, latest)

    def _resolve(self, current: Snapshot, head: Head, reason: str) -> Submission:
        """Determines whether a head write with an unknown outcome took effect.

        The write may still be in flight, so reading the old head proves nothing.
        Repeats the same conditional write instead: at most one of the two takes
        effect, and a conflict proves that the head has been replaced.
        """
        version = current.head_version
        for attempt in range(RESOLVE_ATTEMPTS):
            self._sleep(RESOLVE_PAUSE_S * 2**attempt)
            outcome = self._objects.put(HEAD_KEY, head.encode(), if_version=version)
            if isinstance(outcome, Written):
                return Accepted(head.number)
            if isinstance(outcome, Conflict):
                decided = self._compare_stored_patch(current, head)
                if decided is not None:
                    return decided
        return Undecided(reason)

    def _compare_stored_patch(
        self, current: Snapshot, head: Head
    ) -> Accepted | Stale | None:
        """Returns whether the stored head with this number has the same patch id.

        Returns Accepted if so, Stale if not, None if the head cannot be read.
        """
        stored = self._head_of(head.number)
        if not isinstance(stored, Head):
            return None
        if stored.patch_id == head.patch_id:
            return Accepted(head.number)
        latest = self._load()
        if isinstance(latest, Unavailable):
            return Stale(max(head.number, self._last.number), None)
        return self._stale(current.number, latest)

    def _head_of(self, number: int) -> Head | NoSuchNumber | Unavailable:
        latest = self._load()
        if isinstance(latest, Unavailable):
            return latest
        if latest.head is not None and latest.number == number:
            return latest.head
        if not 0 < number < latest.number:
            return NoSuchNumber(number)
        found = self._objects.get(f"{HISTORY_PREFIX}{number}")
        if isinstance(found, Unavailable):
            return found
        if not isinstance(found, Found):
            return NoSuchNumber(number)
        try:
            return Head.decode(found.value)
        except ValueError as exc:
            return Unavailable(str(exc))

    def _document_of(self, number: int) -> dict[str, Any] | NoSuchNumber | Unavailable:
        if number == 0:
            return {}
        head = self._head_of(number)
        if not isinstance(head, Head):
            return head
        return self._read_document(head.sections)

    def _read_document(self, digest_by_name: Any) -> dict[str, Any] | Unavailable:
        # A separate store, so that old sections do not evict the current ones.
        sections = SectionStore(self._objects).read(digest_by_name)
        return sections if isinstance(sections, Unavailable) else join(sections)


def _patched_config(current: Snapshot, patch: Any) -> PatchedConfig | Invalid:
    """Applies a patch in memory and validates the result and its stored size."""
    if not isinstance(patch, dict):
        return Invalid((Fault("$", patch, "an object: a JSON merge patch"),))
    digest_by_name = current.head.sections if current.head else {}
    patched = apply_patch(current.config, digest_by_name, current.sections, patch)
    if not isinstance(patched, PatchedConfig):
        return Invalid(patched)
    too_large = tuple(
        Fault(member_path("$", name), f"{len(value)} bytes", f"{MAX_VALUE_BYTES} bytes")
        for name, value in (*patched.written.items(), *split(patch).items())
        if len(value) > MAX_VALUE_BYTES
    )
    return Invalid(too_large) if too_large else patched
