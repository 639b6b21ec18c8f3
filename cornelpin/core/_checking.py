"""Validates JSON documents against attrs classes.

Each field of a class carries its check in its metadata. A check takes a JSON value,
appends every validation error (fault) it finds to a list and returns the value to store
in the field.
"""

from __future__ import annotations

import difflib
import json
import math
import re
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, TypeVar

import attrs

T = TypeVar("T")

_CHECK = "check"
_PLAIN_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}")
_NAME_VALID = "a name: a letter or digit, then up to 127 more or ._:/@+-"
_MISSING = "(missing)"
_HIDDEN = "(hidden)"


@attrs.frozen
class Fault:
    """A validation error: one invalid value in a document.

    Attributes:
        path: JSON path of the value, such as ``$.tiers.urgent.weight``.
        value: The invalid value.
        valid: Description of the accepted values.
    """

    path: str
    value: Any
    valid: str

    def __str__(self) -> str:
        return f"{self.path}: {_shorten(self.value)} is not valid; use {self.valid}"


Faults = list[Fault]
Check = Callable[[Any, str, Faults], Any]


def _shorten(value: Any) -> str:
    text = json.dumps(value, default=repr)
    return text if len(text) <= 80 else text[:77] + "..."


def member_path(path: str, key: object) -> str:
    """Returns the JSON path of a member of the object or array at ``path``."""
    if isinstance(key, int):
        return f"{path}[{key}]"
    if isinstance(key, str) and _PLAIN_KEY.fullmatch(key):
        return f"{path}.{key}"
    return f"{path}[{json.dumps(key, default=repr)}]"


def format_names(names: Any) -> str:
    """Formats names for the description of valid values; shows at most 20."""
    known = sorted(names)
    if not known:
        return "(none is defined)"
    shown = ", ".join(known[:20])
    return shown if len(known) <= 20 else f"{shown}, ... ({len(known)} in all)"


def checked(check: Check) -> dict[str, Check]:
    """Returns attrs field metadata with the check of a field."""
    return {_CHECK: check}


def boolean() -> Check:
    """Returns a check that accepts true and false."""

    def check(value: Any, path: str, faults: Faults) -> Any:
        if not isinstance(value, bool):
            faults.append(Fault(path, value, "true or false"))
        return value

    return check


def _range_text(
    kind: str, low: float | None, high: float | None, exclusive_low: bool
) -> str:
    lower = (
        "" if low is None else f" {'above' if exclusive_low else 'of at least'} {low}"
    )
    upper = "" if high is None else f" and at most {high}"
    return kind + lower + upper


def _is_number(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:  # an integer outside the range of a float
        return False


def _in_range(
    value: float, low: float | None, high: float | None, exclusive_low: bool
) -> bool:
    if low is not None and (value < low or (exclusive_low and value == low)):
        return False
    return high is None or value <= high


def integer(*, low: int | None = None, high: int | None = None) -> Check:
    """Returns a check that accepts integers from ``low`` to ``high``, inclusive."""
    valid = _range_text("an integer", low, high, False)

    def check(value: Any, path: str, faults: Faults) -> Any:
        is_integer = _is_number(value) and isinstance(value, int)
        if not is_integer or not _in_range(value, low, high, False):
            faults.append(Fault(path, value, valid))
        return value

    return check


def number(
    *, low: float | None = None, high: float | None = None, exclusive_low: bool = False
) -> Check:
    """Returns a check that accepts finite numbers from ``low`` to ``high``.

    With ``exclusive_low``, ``low`` itself is excluded.
    """
    valid = _range_text("a number", low, high, exclusive_low)

    def check(value: Any, path: str, faults: Faults) -> Any:
        if not _is_number(value) or not _in_range(value, low, high, exclusive_low):
            faults.append(Fault(path, value, valid))
            return value
        return float(value)

    return check


def text(*, valid: str = "a text that is not empty", min_length: int = 1) -> Check:
    """Returns a check that accepts strings of a minimum length."""

    def check(value: Any, path: str, faults: Faults) -> Any:
        if not isinstance(value, str) or len(value) < min_length:
            faults.append(Fault(path, value, valid))
        return value

    return check


def matching(accept: Callable[[str], object], *, valid: str) -> Check:
    """Returns a check that accepts strings for which ``accept`` returns a true value.

    A ValueError from ``accept`` counts as a rejection.
    """

    def check(value: Any, path: str, faults: Faults) -> Any:
        try:
            accepted = isinstance(value, str) and bool(accept(value))
        except ValueError:
            accepted = False
        if not accepted:
            faults.append(Fault(path, value, valid))
        return value

    return check


def name() -> Check:
    """Returns a check that accepts names of items in the configuration."""
    return matching(_NAME.fullmatch, valid=_NAME_VALID)


def choice(*values: str) -> Check:
    """Returns a check that accepts one of the given strings."""
    return matching(values.__contains__, valid="one of " + ", ".join(values))


def nullable(inner: Check) -> Check:
    """Returns a check that accepts null and what the inner check accepts."""

    def check(value: Any, path: str, faults: Faults) -> Any:
        if value is None:
            return None
        inner_faults: Faults = []
        result = inner(value, path, inner_faults)
        for fault in inner_faults:
            is_own = fault.path == path
            valid = f"null or {fault.valid}" if is_own else fault.valid
            faults.append(attrs.evolve(fault, valid=valid))
        return result

    return check


def hidden(inner: Check) -> Check:
    """Wraps the check of a secret; its faults do not show the value."""

    def check(value: Any, path: str, faults: Faults) -> Any:
        inner_faults: Faults = []
        result = inner(value, path, inner_faults)
        faults.extend(attrs.evolve(fault, value=_HIDDEN) for fault in inner_faults)
        return result

    return check


def list_of(inner: Check) -> Check:
    """Returns a check that accepts arrays without duplicates; it returns a tuple."""

    def check(value: Any, path: str, faults: Faults) -> Any:
        if not isinstance(value, list):
            faults.append(Fault(path, value, "an array"))
            return ()
        items = []
        for index, item in enumerate(value):
            items.append(inner(item, member_path(path, index), faults))
            if item in value[:index]:
                valid = "an item that the array does not hold already"
                faults.append(Fault(member_path(path, index), item, valid))
        return tuple(items)

    return check


def map_of(cls: type) -> Check:
    """Returns a check that accepts objects whose members are valid for a class.

    It returns a mapping from names to instances; the key of a member becomes the
    ``name`` field of its instance.
    """

    def check(value: Any, path: str, faults: Faults) -> Any:
        if not isinstance(value, dict):
            faults.append(Fault(path, value, "an object from names to objects"))
            return MappingProxyType({})
        items: dict[str, Any] = {}
        for key, item in value.items():
            item_path = member_path(path, key)
            if not (isinstance(key, str) and _NAME.fullmatch(key)):
                faults.append(Fault(item_path, key, _NAME_VALID))
            items[key] = _build(cls, item, item_path, faults, {"name": key})
        return MappingProxyType({k: v for k, v in items.items() if v is not None})

    return check


def record(cls: type) -> Check:
    """Returns a check that accepts objects valid for an attrs class."""

    def check(value: Any, path: str, faults: Faults) -> Any:
        return _build(cls, value, path, faults, {})

    return check


def build(cls: type[T], value: Any, faults: Faults, **given: Any) -> T | None:
    """Builds an instance of a class from a whole document.

    Args:
        cls: The attrs class whose fields carry checks.
        value: The decoded JSON document.
        faults: The list to which every fault is appended.
        given: Values of fields that are not read from the document.

    Returns:
        The instance, or None if the document has faults.
    """
    return _build(cls, value, "$", faults, given)


def check_of(cls: type, key: str) -> Check:
    """Returns the check of one field of a class."""
    fields = attrs.fields_dict(cls)
    check: Check = fields[key].metadata[_CHECK]
    return check


def _build(
    cls: type[T], value: Any, path: str, faults: Faults, given: Mapping[str, Any]
) -> T | None:
    if not isinstance(value, dict):
        faults.append(Fault(path, value, "an object"))
        return None
    fields = {
        field.name: field
        for field in attrs.fields(cls)  # type: ignore[arg-type]
        if _CHECK in field.metadata
    }
    fault_count = len(faults)
    for key in value.keys() - fields.keys():
        faults.append(_unknown_key(path, key, list(fields)))
    values = dict(given)
    for key, field in fields.items():
        item_path = member_path(path, key)
        if key in value:
            values[key] = field.metadata[_CHECK](value[key], item_path, faults)
        elif field.default is attrs.NOTHING:
            faults.append(Fault(item_path, _MISSING, "a value: the key is required"))
    return cls(**values) if len(faults) == fault_count else None


def _unknown_key(path: str, key: Any, known: list[str]) -> Fault:
    matches = difflib.get_close_matches(str(key), known, n=1, cutoff=0.0)
    nearest = f" (nearest: {matches[0]})" if matches else ""
    valid = f"a known key{nearest}: {', '.join(known)}"
    return Fault(member_path(path, key), key, valid)
