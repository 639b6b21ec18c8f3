"""Reads and writes the immutable sections of the configuration."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from cornelpin.core.sections import digest_of, digests
from cornelpin.stores.objects import (
    Conflict,
    Found,
    Unavailable,
    Unknown,
    Written,
)

if TYPE_CHECKING:
    from cornelpin.stores.objects import ObjectStore

SECTION_PREFIX = "config/sections/"


class SectionStore:
    """Stores sections by digest and caches those of the last read."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects
        self._cached: dict[str, bytes] = {}

    def read(self, names: Mapping[str, str]) -> dict[str, bytes] | Unavailable:
        """Reads sections by name; the cache then holds exactly these."""
        sections: dict[str, bytes] = {}
        for name, digest in names.items():
            value = self._cached.get(digest) or self._read_one(digest)
            if isinstance(value, Unavailable):
                return Unavailable(f"section {name}: {value.reason}")
            sections[name] = value
        self._cached = {names[name]: value for name, value in sections.items()}
        return sections

    def replace_cache(self, sections: Mapping[str, bytes]) -> None:
        """Replaces the cache by sections that are known to be stored, by digest."""
        self._cached = dict(sections)

    def write(
        self, sections: Mapping[str, bytes]
    ) -> dict[str, str] | Unavailable | Unknown:
        """Writes the sections that are not cached; returns the digests of all."""
        names = digests(sections)
        for name, digest in names.items():
            if digest in self._cached:
                continue
            outcome = self._write_one(digest, sections[name])
            if outcome is not None:
                return outcome
        return names

    def _read_one(self, digest: str) -> bytes | Unavailable:
        found = self._objects.get(SECTION_PREFIX + digest)
        if isinstance(found, Unavailable):
            return found
        if not isinstance(found, Found):
            return Unavailable(f"{digest} is missing")
        if digest_of(found.value) != digest:
            return Unavailable(f"{digest} has other content than its digest says")
        return found.value

    def _write_one(self, digest: str, value: bytes) -> Unavailable | Unknown | None:
        outcome = self._objects.put(SECTION_PREFIX + digest, value, if_version=0)
        if isinstance(outcome, Written | Conflict):
            return None
        # An unreferenced section is harmless. After an unknown outcome it is enough
        # to prove that the section exists before a head refers to it.
        if isinstance(outcome, Unknown) and self._read_one(digest) == value:
            return None
        return outcome
