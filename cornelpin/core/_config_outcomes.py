"""Outcomes of reading and patching the stored configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cornelpin.core._checking import Fault
    from cornelpin.core.config import Config
    from cornelpin.core.sections import Head


@dataclass(frozen=True)
class Snapshot:
    """The stored configuration under one number.

    Attributes:
        number: Number of the configuration, 0 before the first patch.
        document: The JSON document, which must not be changed.
        config: The parsed document.
        head: The stored head, None before the first patch.
        head_version: Version of the head object, 0 before the first patch.
    """

    number: int
    document: dict[str, Any]
    config: Config
    head: Head | None
    head_version: int


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
