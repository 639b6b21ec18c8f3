"""Reads values from decoded JSON with type checks.

Errors name the path within the object that was passed, such as a single route, and show
a missing value as None.
"""

from __future__ import annotations

import ipaddress
import math
import reprlib
from collections.abc import Mapping
from typing import Any, cast


class BadValue(ValueError):
    """A value that is missing, has the wrong type or is out of range."""


MAX_PORT_DIGITS = 5

# Python types that are accepted for each required type.
_ACCEPTED_TYPES: dict[type, tuple[type, ...]] = {
    str: (str,),
    bool: (bool,),
    int: (int,),
    float: (int, float),
    dict: (dict,),
    list: (list,),
}


def value(table: Mapping[str, Any], path: str, kind: type, *default: Any) -> Any:
    """Returns the value at a dotted path.

    Args:
        table: Decoded JSON object.
        path: Keys of nested objects, joined by dots.
        kind: Required type of the value; float also accepts integers.
        default: Returned for a missing or null value; without a default, such a value
            is an error.

    Raises:
        BadValue: If the value is missing or has the wrong type.
    """
    found: Any = table
    for key in path.split("."):
        # A dict is by far the most frequent, and the check for it the cheapest.
        is_table = type(found) is dict or isinstance(found, Mapping)
        found = found.get(key) if is_table else None
    if found is None and default:
        return default[0]
    if type(found) is kind and kind is not float:
        return found
    is_bool = isinstance(found, bool)
    if not isinstance(found, _ACCEPTED_TYPES[kind]) or (is_bool and kind is not bool):
        valid = " or ".join(k.__name__ for k in _ACCEPTED_TYPES[kind])
        raise BadValue(f"{path}: expected {valid}, found {reprlib.repr(found)}")
    if kind is float and not _is_finite(cast("float", found)):
        raise BadValue(f"{path}: expected a finite number, found {reprlib.repr(found)}")
    return found


def _is_finite(number: float) -> bool:
    try:
        return math.isfinite(number)
    except OverflowError:
        return False


def is_ip_address(text: str) -> bool:
    """Returns whether a text is an IP address; names are not looked up."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def address(text: str, path: str) -> tuple[str, int]:
    """Parses ``HOST:PORT``; ``path`` is the value's path for the error.

    Raises:
        BadValue: If the text has another form or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    digits = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not digits or not 0 < int(port) < 65_536:
        raise BadValue(f"{path}: expected HOST:PORT, found {reprlib.repr(text)}")
    return host, int(port)
