"""Immutable sections of a configuration document and the head that refers to them.

Splits a document of any size into values that fit the size limit of the object store: a
section holds one top-level key, or one of ``SHARDS`` shards of a key with many items.
Sections are content-addressed: the key is the digest, so a section never changes.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from attrs import asdict, frozen

SHARDS = 64
# Number of items above which a key is sharded.
SHARD_ABOVE_ITEMS = 64
SHARDED_KEYS = frozenset({"workspaces", "backend_servers", "hosts"})
_SHARD_MARK = "."


@frozen(kw_only=True)
class Head:
    """The object that lists the sections of one revision of the configuration.

    Attributes:
        number: Revision of the configuration.
        sections: Digests of the document's sections by section name.
        patch: Digests by section name of the patch that produced this revision.
        patch_id: Random identifier of the patch.
        author: Operator who submitted the patch.
        at: Unix time in seconds at which the patch was submitted.
        previous: Digest of the previous head, empty for the first one.
    """

    number: int
    sections: Mapping[str, str]
    patch: Mapping[str, str]
    patch_id: str
    author: str
    at: float
    previous: str = ""

    def encode(self) -> bytes:
        """Returns the head as canonical JSON."""
        return canonical_json(asdict(self))

    @classmethod
    def decode(cls, value: bytes) -> Head:
        """Decodes a head that was written by :meth:`encode`.

        Raises:
            ValueError: If the value is not a head.
        """
        try:
            head = cls(**json.loads(value))
        except TypeError as exc:
            raise ValueError(f"not a configuration head: {exc}") from exc
        if not _has_valid_types(head):
            raise ValueError("not a configuration head: a field of another type")
        return head


def _has_valid_types(head: Head) -> bool:
    """Checks the field types of a decoded head."""
    texts = (head.patch_id, head.author, head.previous)
    maps = (head.sections, head.patch)
    return (
        type(head.number) is int
        and head.number > 0
        and isinstance(head.at, int | float)
        and all(isinstance(text, str) for text in texts)
        and all(isinstance(digest_by_name, dict) for digest_by_name in maps)
        and all(
            isinstance(d, str)
            for digest_by_name in maps
            for d in digest_by_name.values()
        )
    )


def canonical_json(value: Any) -> bytes:
    """Returns JSON that is byte-identical for equal values."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)
    return text.encode()


def digest_of(value: bytes) -> str:
    """Returns the SHA-256 digest of a value in hexadecimal."""
    return hashlib.sha256(value).hexdigest()


def split(document: Mapping[str, Any]) -> dict[str, bytes]:
    """Splits a document or patch into encoded sections, by section name."""
    sections: dict[str, bytes] = {}
    for key, value in document.items():
        if key in SHARDED_KEYS and _is_large(value):
            for shard, part in _shards(value).items():
                sections[f"{key}{_SHARD_MARK}{shard:02d}"] = canonical_json(part)
        else:
            sections[key] = canonical_json(value)
    return sections


def join(sections: Mapping[str, bytes]) -> dict[str, Any]:
    """Joins the encoded sections of a document or patch, given by name."""
    document: dict[str, Any] = {}
    for name, value in sections.items():
        key, mark, _ = name.partition(_SHARD_MARK)
        if mark:
            document.setdefault(key, {}).update(json.loads(value))
        else:
            document[key] = json.loads(value)
    return document


def document_of(
    head: Head | None, sections_by_digest: Mapping[str, bytes]
) -> dict[str, Any]:
    """Returns the document of a head, given its sections by digest."""
    digest_by_name = head.sections if head is not None else {}
    return join(
        {name: sections_by_digest[digest] for name, digest in digest_by_name.items()}
    )


def digests(sections: Mapping[str, bytes]) -> dict[str, str]:
    """Returns the digests of sections by section name."""
    return {name: digest_of(value) for name, value in sections.items()}


def shard_name(key: str, item_name: str) -> str:
    """Returns the name of the section that holds an item of a sharded key."""
    return f"{key}{_SHARD_MARK}{_shard_of(item_name):02d}"


def is_shard(name: str, key: str) -> bool:
    """Returns whether a section is a shard of a top-level key."""
    return name.startswith(key + _SHARD_MARK)


def _shard_of(item_name: str) -> int:
    return hashlib.sha256(item_name.encode()).digest()[0] % SHARDS


def _is_large(value: Any) -> bool:
    return isinstance(value, dict) and len(value) > SHARD_ABOVE_ITEMS


def _shards(items: Mapping[str, Any]) -> dict[int, dict[str, Any]]:
    shards: dict[int, dict[str, Any]] = {}
    for name, item in items.items():
        shards.setdefault(_shard_of(name), {})[name] = item
    return shards
