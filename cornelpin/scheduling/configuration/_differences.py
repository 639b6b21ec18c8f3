"""What a configuration changes compared with the one in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from cornelpin.scheduling.routing import RoutingConfig

SECRETS = {"keys"}
"""Fields of which only the numbers of added and removed values are told."""


@attrs.frozen
class Difference:
    """A change from the configuration in force to another one.

    Attributes:
        path: What changes, such as ``route 'login'``.
        change: ``removed``, ``changed`` or ``added``.
        detail: Fields with both values.
    """

    path: str
    change: str
    detail: str = ""

    def __str__(self) -> str:
        detail = f": {self.detail}" if self.detail else ""
        return f"{self.change} {self.path}{detail}"


def differences(before: RoutingConfig, after: RoutingConfig) -> list[Difference]:
    """Returns what a configuration changes: removals first, as these end service.

    Args:
        before: The configuration in force.
        after: The other one.
    """
    found = [
        *_named("route", before.routes, after.routes),
        *_named("service", before.services.values(), after.services.values()),
        *_named("workspace", before.workspaces, after.workspaces),
    ]
    detail = _changed_fields(before.limits, after.limits)
    if detail:
        found.append(Difference("limits", "changed", detail))
    order = ["removed", "changed", "added"]
    return sorted(found, key=lambda difference: order.index(difference.change))


def _named(
    kind: str, before: Iterable[Any], after: Iterable[Any]
) -> Iterator[Difference]:
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    for name in [*old, *(name for name in new if name not in old)]:
        path = f"{kind} {name!r}"
        if name not in new:
            yield Difference(path, "removed")
        elif name not in old:
            yield Difference(path, "added")
        elif old[name] != new[name]:
            yield Difference(path, "changed", _changed_fields(old[name], new[name]))


def _changed_fields(old: Any, new: Any) -> str:
    """Returns the fields of an attrs class that differ, with both values."""
    changed = []
    for field in attrs.fields(type(old)):
        was, now = getattr(old, field.name), getattr(new, field.name)
        if was == now:
            continue
        if field.name in SECRETS:
            added, removed = len(set(now) - set(was)), len(set(was) - set(now))
            changed.append(f"{field.name} {added} added, {removed} removed")
        else:
            changed.append(f"{field.name} {_text(was)} to {_text(now)}")
    return ", ".join(changed)


def _text(value: Any) -> str:
    if isinstance(value, frozenset):
        return "/".join(sorted(value)) or "any"
    if isinstance(value, float):
        return f"{value:g}"
    return str(getattr(value, "value", value))
