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
    from collections.abc import Iterator, Mapping

    from cornelpin.gateway.peer import Peer

MESSAGE_BYTES = 6_000
"""Size above which a message of notices takes no further one."""
REPEAT_S = 2.0
"""Time from an update to the notices that repeat it: more than that after which an
entry that hears nothing knows that it has missed messages."""
RECENT_S = 2 * REPEAT_S
"""Age of events up to which a repetition covers them."""
SETTLED_S = 3.0
"""Time for which an entry has run, or is heard, before it tells others what has
happened earlier."""


class Repetition:
    """When updates are repeated, as some entries may have missed them."""

    def __init__(self) -> None:
        self._due_at = float("inf")
        self._updated_at = float("-inf")
        self._everywhere = False

    def note_update(self, now: float) -> None:
        """Lets an update be repeated in all data centres."""
        self.note_notices(now)
        self._everywhere = True

    def note_notices(self, now: float) -> None:
        """Lets the notices of another data centre be repeated in this one."""
        self._updated_at = now
        self._due_at = min(self._due_at, now + REPEAT_S)

    def take_due(self, now: float) -> bool:
        """Returns whether a repetition is due, once."""
        if now < self._due_at:
            return False
        again_at = self._updated_at + REPEAT_S
        self._due_at = again_at if again_at > now else float("inf")
        return True

    def take_everywhere(self) -> bool:
        """Returns whether the repetition that was taken goes to all data centres."""
        everywhere = self._everywhere
        # Until the last update is repeated.
        self._everywhere = everywhere and self._due_at < float("inf")
        return everywhere


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


def batches(notices: list[Any]) -> Iterator[list[Any]]:
    """Yields notices in lists that each fit into a message."""
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
