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

    def read(self, digest_by_name: Mapping[str, str]) -> dict[str, bytes] | Unavailable:
        """Reads the sections with these names and digests; returns them by name.

        The cache then holds exactly these sections.
        """
        sections: dict[str, bytes] = {}
        for name, digest in digest_by_name.items():
            value = self._cached.get(digest) or self._read_one(digest)
            if isinstance(value, Unavailable):
                return Unavailable(f"section {name}: {value.reason}")
            sections[name] = value
        self._cached = {digest_by_name[name]: value for name, value in sections.items()}
        return sections

    def replace_cache(self, sections_by_digest: Mapping[str, bytes]) -> None:
        """Sets the cache to these sections, which must be stored already."""
        self._cached = dict(sections_by_digest)

    def write(
        self, sections: Mapping[str, bytes]
    ) -> dict[str, str] | Unavailable | Unknown:
        """Writes the sections, given by name, that are not cached.

        Returns the digests of all sections by name, or why a write failed.
        """
        digest_by_name = digests(sections)
        for name, digest in digest_by_name.items():
            if digest in self._cached:
                continue
            outcome = self._write_one(digest, sections[name])
            if outcome is not None:
                return outcome
        return digest_by_name

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
