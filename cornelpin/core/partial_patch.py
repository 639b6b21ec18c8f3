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
    entry_faults,
    parse_config,
    token_faults,
)
from cornelpin.core.patch import merge_patch
from cornelpin.core.sections import (
    SHARD_ABOVE_ENTRIES,
    SHARDED_KEYS,
    canonical_json,
    digest_of,
    digests,
    is_shard,
    join,
    shard_name,
    split,
)

# Sections whose entries may refer to others; adding or changing one of their entries
# cannot make another entry invalid.
PARTIAL_KEYS = frozenset({"workspaces", "backend_servers", "hosts", "entries"})
# Sections whose entries are referred to; removing one may leave a dangling reference.
_REFERRED_KEYS = frozenset({"backend_servers"})
EMPTY_SECTION = b"{}"


@dataclass(frozen=True)
class Change:
    """The configuration after a patch.

    Attributes:
        config: The configuration.
        names: Digests of all sections by section name.
        sections: All sections by digest.
        written: The sections that the patch changed, by section name.
        patch: The patch, None if the configuration was not obtained from one.
    """

    config: Config
    names: dict[str, str]
    sections: dict[str, bytes]
    written: dict[str, bytes]
    patch: Mapping[str, Any] | None


@dataclass(frozen=True)
class WholeDocumentNeeded:
    """The patch can only be applied to the whole document."""


def apply_patch(
    config: Config,
    names: Mapping[str, str],
    sections: Mapping[str, bytes],
    patch: Mapping[str, Any],
) -> Change | tuple[Fault, ...]:
    """Applies a patch, to the changed sections only where that is sufficient.

    Args:
        config: The configuration before the patch.
        names: Digests of its sections by section name.
        sections: Its sections by digest.
        patch: JSON merge patch after RFC 7396.

    Returns:
        The configuration after the patch, or all faults.
    """
    change = apply_partial_patch(config, names, sections, patch)
    if not isinstance(change, WholeDocumentNeeded):
        return change
    document = join({name: sections[digest] for name, digest in names.items()})
    merged = merge_patch(document, patch)
    parsed = parse_config(merged, number=config.number + 1)
    if isinstance(parsed, ConfigFaults):
        return parsed.faults
    written = split(merged)
    after = digests(written)
    available = {after[name]: value for name, value in written.items()}
    return Change(parsed, after, available, written, patch)


def apply_partial_patch(
    config: Config,
    names: Mapping[str, str],
    sections: Mapping[str, bytes],
    patch: Mapping[str, Any],
) -> Change | WholeDocumentNeeded | tuple[Fault, ...]:
    """Applies a patch that only adds or changes entries of some sections.

    Args:
        config: The configuration before the patch.
        names: Digests of its sections by section name.
        sections: Its sections by digest.
        patch: JSON merge patch after RFC 7396.

    Returns:
        The configuration after the patch, the faults of the changed entries, or
        WholeDocumentNeeded.
    """
    if not all(_is_partial(key, part, names) for key, part in patch.items()):
        return WholeDocumentNeeded()
    faults: Faults = []
    maps: dict[str, Mapping[str, Any]] = {}
    written: dict[str, bytes] = {}
    for key, part in patch.items():
        merged = _merge(key, part, names, sections)
        entries = {n: e for values in merged.values() for n, e in values.items()}
        changed = {name: entries[name] for name in part if name in entries}
        maps[key] = _with_entries(config, key, part, changed, faults)
        faults.extend(entry_faults(config, key, changed))
        if _sharding_changes(key, len(maps[key]), names):
            return WholeDocumentNeeded()
        written |= {name: canonical_json(values) for name, values in merged.items()}
    changes: dict[str, Any] = {"number": config.number + 1, **maps}
    result = attrs.evolve(config, **changes)
    if not faults:
        faults.extend(token_faults(result))
    if faults:
        return tuple(sorted(faults, key=lambda fault: fault.path))
    after = _digests_after(names, written)
    available = {**sections, **{after[n]: v for n, v in written.items() if n in after}}
    kept = {digest: available[digest] for digest in after.values()}
    stored = {name: value for name, value in written.items() if name in after}
    return Change(result, after, kept, stored, patch)


def _is_partial(key: str, part: Any, names: Mapping[str, str]) -> bool:
    if key not in PARTIAL_KEYS or not isinstance(part, dict):
        return False
    present = key in names or _is_sharded(key, names)
    removes = any(value is None for value in part.values())
    return present and not (removes and key in _REFERRED_KEYS)


def _is_sharded(key: str, names: Mapping[str, str]) -> bool:
    return key not in names and any(is_shard(name, key) for name in names)


def _merge(
    key: str,
    part: Mapping[str, Any],
    names: Mapping[str, str],
    sections: Mapping[str, bytes],
) -> dict[str, dict[str, Any]]:
    """Returns the changed sections after the patch, decoded, by section name."""
    sharded = _is_sharded(key, names)
    parts: dict[str, dict[str, Any]] = {}
    for name, entry in part.items():
        section = shard_name(key, name) if sharded else key
        parts.setdefault(section, {})[name] = entry
    merged = {}
    for section, changes in parts.items():
        before = sections[names[section]] if section in names else EMPTY_SECTION
        merged[section] = merge_patch(json.loads(before), changes)
    return merged


def _with_entries(
    config: Config,
    key: str,
    part: Mapping[str, Any],
    changed: Mapping[str, Any],
    faults: Faults,
) -> Mapping[str, Any]:
    """Returns the entries of a section, with the changed ones rebuilt."""
    built = check_of(Config, key)(changed, member_path("$", key), faults)
    entries = dict(getattr(config, key))
    for name in part.keys() - changed.keys():
        entries.pop(name, None)
    entries.update(built)
    return MappingProxyType(entries)


def _sharding_changes(key: str, count: int, names: Mapping[str, str]) -> bool:
    """Returns whether the patch makes a section sharded or unsharded."""
    large = count > SHARD_ABOVE_ENTRIES
    return key in SHARDED_KEYS and large != _is_sharded(key, names)


def _digests_after(
    names: Mapping[str, str], written: Mapping[str, bytes]
) -> dict[str, str]:
    """Returns the digests after the change, without those of empty shards."""
    after = dict(names)
    for name, value in written.items():
        after.pop(name, None)
        if value != EMPTY_SECTION or name in PARTIAL_KEYS:
            after[name] = digest_of(value)
    return after
