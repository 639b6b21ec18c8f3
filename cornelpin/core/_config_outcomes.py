"""Outcomes of loading and patching the stored configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from cornelpin.core.sections import Head, document_of

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornelpin.core._checking import Fault
    from cornelpin.core.config import Config


@dataclass(frozen=True)
class Snapshot:
    """One revision of the stored configuration.

    Attributes:
        number: Revision of the configuration, 0 before the first patch.
        config: The parsed document.
        head: The stored head object, None before the first patch.
        sections: The sections that the head refers to, by digest.
        head_version: Object store version of the head, 0 before the first patch.
        patch: Patch from the previous revision, None if it was not read.
    """

    number: int
    config: Config
    head: Head | None
    sections: Mapping[str, bytes]
    head_version: int
    patch: Mapping[str, Any] | None = None

    @property
    def document(self) -> dict[str, Any]:
        """The JSON document, decoded on each access."""
        return document_of(self.head, self.sections)


@dataclass(frozen=True)
class Accepted:
    """The patch is stored; it produced the configuration with this number."""

    number: int


@dataclass(frozen=True)
class Stale:
    """The patch is based on a configuration number that is not the current one.

    Attributes:
        current: The current configuration number.
        changed: Merge patch from the base document to the current one, None if the
            base document is not available.
    """

    current: int
    changed: dict[str, Any] | None


@dataclass(frozen=True)
class Invalid:
    """The patched document is not valid; nothing was written."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True)
class NotStored:
    """The store failed; the patch has not taken effect."""

    reason: str


@dataclass(frozen=True)
class Undecided:
    """The store failed; the patch may have taken effect or may still do so."""

    reason: str


@dataclass(frozen=True)
class HistoryEntry:
    """An accepted patch with its number, author and Unix time in seconds."""

    number: int
    author: str
    at: float
    patch: dict[str, Any]
    patch_id: str


@dataclass(frozen=True)
class NoSuchNumber:
    """No configuration with the number exists."""

    number: int
