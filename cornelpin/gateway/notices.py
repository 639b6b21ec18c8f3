"""Notices: what entries tell those again that may have missed it.

An update is sent once. Entries that start, were cut off or lost the message learn of
it by notices, from two entries of each data centre, so that what an entry receives does
not grow with their number.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack

from cornelpin.gateway.summaries import RELAYS_PER_DATA_CENTRE, relay_order

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from cornelpin.gateway.peer import Peer

MESSAGE_BYTES = 6_000
"""Size above which a message of notices takes no further one."""
REPEAT_S = 2.0
"""Time from an update to the notices that repeat it: more than that after which an
entry that hears nothing knows that it has missed messages."""
SETTLED_S = 3.0
"""Time for which an entry has run, or is heard, before it tells others what has
happened earlier."""


class Notices:
    """What is to be told again, and when.

    Args:
        collect: Returns the notices as lists by field.
        now: Monotonic time in seconds.
    """

    def __init__(self, collect: Callable[[], dict[str, list[Any]]], now: float) -> None:
        self._collect = collect
        self._due_at = now
        self._updated_at = float("-inf")
        self._for_relays = False

    def repeat_now(self, *, everywhere: bool = False) -> None:
        """Lets the own data centre, or all of them, get notices at once."""
        self._due_at = 0.0
        self._for_relays |= everywhere

    def repeat_everywhere(self, now: float) -> None:
        """Lets all data centres get the notices a moment after an update."""
        self.repeat_here(now)
        self._for_relays = True

    def repeat_here(self, now: float) -> None:
        """Lets the own data centre get the notices a moment after others."""
        self._updated_at = now
        self._due_at = min(self._due_at, now + REPEAT_S)

    def take_due(self, now: float) -> bool:
        """Returns whether notices are due for the own data centre, once."""
        if now < self._due_at:
            return False
        again_at = self._updated_at + REPEAT_S
        self._due_at = again_at if again_at > now else float("inf")
        return True

    def take_due_for_relays(self) -> bool:
        """Returns whether the notices just taken are due for other data centres."""
        due = self._for_relays
        # Until the last update is repeated.
        self._for_relays = due and self._due_at < float("inf")
        return due

    def messages(self, *fields: str) -> Iterator[dict[str, list[Any]]]:
        """Yields notices in parts that each fit into a message.

        Args:
            fields: The fields; all if none is given.
        """
        for field, notices in self._collect().items():
            if not fields or field in fields:
                for batch in _batches(notices):
                    yield {field: batch}


def is_informant(
    host: str,
    running_s: float,
    link_mbps: float,
    local: Mapping[str, Peer],
    now: float,
) -> bool:
    """Returns whether an entry is one of those of its data centre that send notices.

    These are the first in the order of relays. Entries that have just started are left
    out, as they know less than others, unless there are no others.

    Args:
        host: Host of the entry.
        running_s: Time for which it has run, in seconds.
        link_mbps: Bandwidth of its host's link, Mbit/s.
        local: Live peers of its data centre by host.
        now: Monotonic time in seconds.
    """
    links = {name: peer.link_mbps for name, peer in local.items()}
    links[host] = link_mbps
    ages_s = {name: now - peer.heard_since for name, peer in local.items()}
    ages_s[host] = running_s
    settled = {name: links[name] for name in links if ages_s[name] >= SETTLED_S}
    return host in relay_order(settled or links)[:RELAYS_PER_DATA_CENTRE]


def _batches(notices: list[Any]) -> Iterator[list[Any]]:
    batch: list[Any] = []
    size = 0
    for notice in notices:
        batch.append(notice)
        size += len(msgpack.packb(notice))
        if size >= MESSAGE_BYTES:
            yield batch
            batch, size = [], 0
    if batch:
        yield batch
