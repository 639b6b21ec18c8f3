"""Decodes the objects of the platform's store, which any writer may have left odd."""

from __future__ import annotations

import reprlib
from typing import TYPE_CHECKING, Any

import attrs
import msgpack

from cornelpin.core.revision import Revision
from cornelpin.platform._tolerant_json import Unreadable

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_REVISION = 2**63 - 1
MAX_NAME_CHARS = 256
"""Longest name of an object that is used."""
MAX_OBJECT_BYTES = 4_194_304
"""Size limit of the configuration: several times the platform's limit on a value."""
MAX_SMALL_OBJECT_BYTES = 16_384
"""Size limit of any other object; they have some hundred bytes."""
LARGE_OBJECT = "main"
"""Name of the configuration."""


@attrs.frozen
class StoreObject:
    """One object of the store, or its deletion in a watch.

    Attributes:
        name: Name of the object.
        revision: Revision of its last change, for conditional writes.
        spec: Content set by its author.
        status: Content set by this system.
        removed: Whether the object was deleted.
    """

    name: str
    revision: Revision
    spec: Any
    status: Any = None
    removed: bool = False


@attrs.frozen
class OddObject:
    """An object of another writer that can't be used or passed on.

    Attributes:
        name: Its name, as far as it can be told; may be empty or odd itself.
        reason: Why it can't be used.
    """

    name: str
    reason: str


@attrs.frozen
class Listing:
    """All objects of a kind at a store revision.

    Attributes:
        objects: The objects that can be used.
        revision: Revision of the store.
        odd: The others.
    """

    objects: tuple[StoreObject, ...]
    revision: Revision
    odd: tuple[OddObject, ...] = ()


@attrs.frozen
class WatchResult:
    """Changes since a revision.

    Attributes:
        changes: Changed and deleted objects, in order. One that has become odd counts
            as deleted.
        revision: Revision up to which they are complete.
        history_lost: Whether the store no longer holds the changes since the requested
            revision, or was restored since; the caller must list all objects again.
        odd: Changed objects that can't be used.
    """

    changes: tuple[StoreObject, ...]
    revision: Revision
    history_lost: bool = False
    odd: tuple[OddObject, ...] = ()


def list_field(body: dict[str, Any], name: str) -> list[Any]:
    found = body.get(name)
    return found if isinstance(found, list) else []


def revision_number(found: Any, default: int = 0) -> int:
    """Returns a revision; a default for a value that is none."""
    valid = type(found) is int and 0 <= found <= MAX_REVISION
    return found if valid else default


def last_name(items: Iterable[Any]) -> str:
    """Returns the name after which the next page of a listing begins.

    It is the last name in the page, shortened if it is too long for a request: the text
    sorts after all names that begin as it does.
    """
    last = ""
    for item in items:
        meta = item.get("metadata") if isinstance(item, dict) else None
        name = meta.get("name") if isinstance(meta, dict) else None
        if isinstance(item, Unreadable):
            name = item.name
        if isinstance(name, str) and name:
            last = name
    return last if len(last) <= MAX_NAME_CHARS else last[:MAX_NAME_CHARS] + "\U0010ffff"


def decode_event(event: Any, era: int) -> StoreObject | OddObject:
    if isinstance(event, Unreadable):
        return OddObject(event.name, event.reason)
    if not isinstance(event, dict):
        return OddObject("", "an event that is no object")
    return decode_object(event.get("object"), era, removed=bool(event.get("removed")))


def removal(odd: OddObject, after: Revision) -> StoreObject:
    """Returns the change by which a name no longer stands for an object."""
    revision = Revision(after.era, after.number + 1)
    return StoreObject(odd.name, revision, None, removed=True)


def decode_object(
    item: Any, era: int, *, removed: bool = False
) -> StoreObject | OddObject:
    """Decodes an object, or tells why it can't be used."""
    if isinstance(item, Unreadable):
        return OddObject(item.name, item.reason)
    meta = item.get("metadata") if isinstance(item, dict) else None
    if not isinstance(meta, dict):
        return OddObject("", f"no metadata in {reprlib.repr(item)}")
    name = meta.get("name")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARS:
        return OddObject(str(name)[:MAX_NAME_CHARS], "no valid name")
    if not name.isprintable():
        return OddObject(name, "a name that is not printable")
    if revision_number(meta.get("rev"), -1) < 0:
        return OddObject(name, "no valid revision")
    stored = StoreObject(
        name=name,
        revision=Revision(era, revision_number(meta.get("rev"))),
        spec=item.get("spec"),
        status=item.get("status"),
        removed=removed,
    )
    reason = _unportable(stored)
    return OddObject(name, reason) if reason else stored


def _unportable(stored: StoreObject) -> str:
    """Returns why an object can't be passed on to other entries; empty if it can."""
    try:
        size = len(msgpack.packb([stored.spec, stored.status]))
    except (ValueError, OverflowError, TypeError, RecursionError) as exc:
        return f"{type(exc).__name__}: {str(exc)[:80]}"
    limit = MAX_OBJECT_BYTES if stored.name == LARGE_OBJECT else MAX_SMALL_OBJECT_BYTES
    return f"{size} bytes" if size > limit else ""
