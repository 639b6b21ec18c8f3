"""Applies a merge patch to the changed sections of a configuration only.

The rest of the document is neither decoded nor validated again, so a change of one
workspace costs the same with ten workspaces as with ten thousand.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

import attrs

from cornelpin.core._checking import Fault, Faults, check_of, member_path
from cornelpin.core.config import (
    Config,
    ConfigFaults,
    item_reference_faults,
    parse_config,
    token_faults,
)
from cornelpin.core.patch import merge_patch
from cornelpin.core.sections import (
    SHARD_ABOVE_ITEMS,
    SHARDED_KEYS,
    canonical_json,
    digest_of,
    digests,
    is_shard,
    join,
    shard_name,
    split,
)

# Top-level keys that a partial patch may change: adding or changing one of their items
# cannot make another item invalid, except that two workspaces may then share a token,
# which is checked separately. Names of hosts are not checked at all.
PARTIAL_KEYS = frozenset({"workspaces", "backend_servers", "hosts", "entries"})
# Those of them whose items others refer to: removing one may leave a dangling
# reference.
_REFERRED_KEYS = frozenset({"backend_servers"})
EMPTY_SECTION = b"{}"


@dataclass(frozen=True)
class PatchedConfig:
    """A configuration with its sections, usually the result of a patch.

    Attributes:
        config: The configuration.
        digest_by_name: Digests of all sections by section name.
        sections: All sections by digest.
        written: The sections to write, by section name: those that the patch changed,
            or all if it was applied to the whole document.
        patch: The patch, None if the configuration was not obtained from one.
    """

    config: Config
    digest_by_name: dict[str, str]
    sections: dict[str, bytes]
    written: dict[str, bytes]
    patch: Mapping[str, Any] | None


@dataclass(frozen=True)
class WholeDocumentNeeded:
    """The patch cannot be applied to the changed sections only."""


def apply_patch(
    config: Config,
    digest_by_name: Mapping[str, str],
    sections: Mapping[str, bytes],
    patch: Mapping[str, Any],
) -> PatchedConfig | tuple[Fault, ...]:
    """Applies a patch, to the changed sections only if that is sufficient.

    Args:
        config: The configuration before the patch.
        digest_by_name: Digests of its sections by section name.
        sections: Its sections by digest.
        patch: JSON merge patch after RFC 7396.

    Returns:
        The configuration after the patch, or all faults.
    """
    patched = apply_partial_patch(config, digest_by_name, sections, patch)
    if not isinstance(patched, WholeDocumentNeeded):
        return patched
    document = join({name: sections[digest] for name, digest in digest_by_name.items()})
    merged = merge_patch(document, patch)
    parsed = parse_config(merged, number=config.number + 1)
    if isinstance(parsed, ConfigFaults):
        return parsed.faults
    written = split(merged)
    after = digests(written)
    available = {after[name]: value for name, value in written.items()}
    return PatchedConfig(parsed, after, available, written, patch)


def apply_partial_patch(
    config: Config,
    digest_by_name: Mapping[str, str],
    sections: Mapping[str, bytes],
    patch: Mapping[str, Any],
) -> PatchedConfig | WholeDocumentNeeded | tuple[Fault, ...]:
    """Applies a patch that only adds, changes or removes items of ``PARTIAL_KEYS``.

    Args:
        config: The configuration before the patch.
        digest_by_name: Digests of its sections by section name.
        sections: Its sections by digest.
        patch: JSON merge patch after RFC 7396.

    Returns:
        The configuration after the patch, the faults of the changed items, or
        WholeDocumentNeeded.
    """
    if not all(
        _is_partial(key, key_patch, digest_by_name) for key, key_patch in patch.items()
    ):
        return WholeDocumentNeeded()
    faults: Faults = []
    maps: dict[str, Mapping[str, Any]] = {}
    written: dict[str, bytes] = {}
    for key, key_patch in patch.items():
        merged = _merge(key, key_patch, digest_by_name, sections)
        items = {n: i for values in merged.values() for n, i in values.items()}
        changed = {name: items[name] for name in key_patch if name in items}
        maps[key] = _with_items(config, key, key_patch, changed, faults)
        faults.extend(item_reference_faults(config, key, changed))
        if _sharding_changes(key, len(maps[key]), digest_by_name):
            return WholeDocumentNeeded()
        written |= {name: canonical_json(values) for name, values in merged.items()}
    changes: dict[str, Any] = {"number": config.number + 1, **maps}
    result = attrs.evolve(config, **changes)
    if not faults:
        faults.extend(token_faults(result))
    if faults:
        return tuple(sorted(faults, key=lambda fault: fault.path))
    after = _digests_after(digest_by_name, written)
    available = {**sections, **{after[n]: v for n, v in written.items() if n in after}}
    kept = {digest: available[digest] for digest in after.values()}
    stored = {name: value for name, value in written.items() if name in after}
    return PatchedConfig(result, after, kept, stored, patch)


def _is_partial(key: str, key_patch: Any, digest_by_name: Mapping[str, str]) -> bool:
    if key not in PARTIAL_KEYS or not isinstance(key_patch, dict):
        return False
    present = key in digest_by_name or _is_sharded(key, digest_by_name)
    removes = any(value is None for value in key_patch.values())
    return present and not (removes and key in _REFERRED_KEYS)


def _is_sharded(key: str, digest_by_name: Mapping[str, str]) -> bool:
    return key not in digest_by_name and any(
        is_shard(name, key) for name in digest_by_name
    )


def _merge(
    key: str,
    key_patch: Mapping[str, Any],
    digest_by_name: Mapping[str, str],
    sections: Mapping[str, bytes],
) -> dict[str, dict[str, Any]]:
    """Returns the changed sections after the patch, decoded, by section name."""
    sharded = _is_sharded(key, digest_by_name)
    patch_by_section: dict[str, dict[str, Any]] = {}
    for name, item_patch in key_patch.items():
        section = shard_name(key, name) if sharded else key
        patch_by_section.setdefault(section, {})[name] = item_patch
    merged = {}
    for section, changes in patch_by_section.items():
        before = (
            sections[digest_by_name[section]]
            if section in digest_by_name
            else EMPTY_SECTION
        )
        merged[section] = merge_patch(json.loads(before), changes)
    return merged


def _with_items(
    config: Config,
    key: str,
    key_patch: Mapping[str, Any],
    changed: Mapping[str, Any],
    faults: Faults,
) -> Mapping[str, Any]:
    """Returns the items of a top-level key, with the changed ones rebuilt."""
    built = check_of(Config, key)(changed, member_path("$", key), faults)
    items = dict(getattr(config, key))
    for name in key_patch.keys() - changed.keys():
        items.pop(name, None)
    items.update(built)
    return MappingProxyType(items)


def _sharding_changes(key: str, count: int, digest_by_name: Mapping[str, str]) -> bool:
    """Returns whether the patch makes a top-level key sharded or unsharded."""
    large = count > SHARD_ABOVE_ITEMS
    return key in SHARDED_KEYS and large != _is_sharded(key, digest_by_name)


def _digests_after(
    digest_by_name: Mapping[str, str], written: Mapping[str, bytes]
) -> dict[str, str]:
    """Returns the digests after the change, without those of empty shards."""
    after = dict(digest_by_name)
    for name, value in written.items():
        after.pop(name, None)
        if value != EMPTY_SECTION or name in PARTIAL_KEYS:
            after[name] = digest_of(value)
    return after
