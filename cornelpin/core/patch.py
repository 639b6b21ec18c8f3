"""Applies and computes JSON merge patches (RFC 7396)."""

from __future__ import annotations

from typing import Any


def merge_patch(document: Any, patch: Any) -> Any:
    """Returns the document with a merge patch applied; modifies neither."""
    if not isinstance(patch, dict):
        return patch
    result = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = merge_patch(result.get(key), value)
    return result


def diff(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Returns the merge patch that turns one document into another.

    A merge patch cannot set a member to null, so nulls in the new document are
    ignored, as in merge_patch.
    """
    patch: dict[str, Any] = {key: None for key in old if new.get(key) is None}
    for key, value in new.items():
        before = old.get(key)
        if value is None or _same(before, value):
            continue
        if isinstance(before, dict) and isinstance(value, dict):
            patch[key] = diff(before, value)
        else:
            patch[key] = value
    return patch


def _same(old: Any, new: Any) -> bool:
    """Compares JSON values; unlike in Python, true and 1 differ."""
    if isinstance(old, bool) or isinstance(new, bool):
        return old is new
    if isinstance(old, dict) and isinstance(new, dict):
        return old.keys() == new.keys() and all(_same(old[k], new[k]) for k in old)
    if isinstance(old, list) and isinstance(new, list):
        return len(old) == len(new) and all(map(_same, old, new))
    return bool(old == new)
