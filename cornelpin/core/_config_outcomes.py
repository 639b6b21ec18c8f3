"""Outcomes of reading and patching the stored configuration."""

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
    """The stored configuration under one number.

    Attributes:
        number: Number of the configuration, 0 before the first patch.
        config: The parsed document.
        head: The stored head, None before the first patch.
        sections: The sections that the head names, by digest.
        head_version: Version of the head object, 0 before the first patch.
        patch: Patch that led here from the number before, None if it was not read.
    """

    number: int
    config: Config
    head: Head | None
    sections: Mapping[str, bytes]
    head_version: int
    patch: Mapping[str, Any] | None = None

    @property
    def document(self) -> dict[str, Any]:
        """The JSON document, decoded anew."""
        return document_of(self.head, self.sections)


@dataclass(frozen=True)
class Accepted:
    """The patch is stored under a number."""

    number: int


@dataclass(frozen=True)
class Stale:
    """The patch was made against another number than the current one.

    Attributes:
        current: The current number.
        changed: Merge patch from the patch's base to the current document, None if
            the base is not known.
    """

    current: int
    changed: dict[str, Any] | None


@dataclass(frozen=True)
class Invalid:
    """The patched document has faults; nothing was written."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True)
class NotStored:
    """The store failed and the patch surely did not take effect."""

    reason: str


@dataclass(frozen=True)
class Undecided:
    """The store failed and the patch may take effect."""

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
    """No configuration of the number exists."""

    number: int
