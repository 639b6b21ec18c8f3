"""Summaries that data centres tell each other of what their entries hold.

Bytes between data centres are dear, so entries of different ones do not tell each
other every change: two entries of each, the relays, sum up what theirs have told and
send that to a relay of every other data centre, which hands it on to its own entries.
"""

from __future__ import annotations

import heapq
import zlib
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from cornelpin.gateway.peer import Peer

RELAYS = 2
"""Entries of a data centre that send its summary, so that the loss of one costs
nothing."""
BACKUP_FACTOR = 4
"""Multiple of the first relay's interval at which the second one sends."""
BUSY_INTERVAL_S = 0.04
"""Time between summaries while slots are scarce: a slot is held for ten times that."""
CALM_INTERVAL_S = 0.2
"""The same while slots are free everywhere."""
DIGEST_INTERVAL_S = 0.25
"""Time between digests of single entries, by which their rates are shared; the test of
quotas over entries holds with counts 0.3 s old."""
WHOLE_DIGEST_EVERY = 8
"""Digests of which one tells all amounts, to heal what was lost."""
MAX_KEYS = 16
"""Waiting requests of a service that another data centre is told of."""
READING_UNIT = 64
"""Prompt tokens that the reading figure of a summary counts in: small numbers take
fewer bytes."""
FRESH_S = 0.12
"""Age from which the other relay's summary replaces one: three busy intervals."""


def short_id(server_id: str) -> int:
    """Returns what names a server in summaries."""
    return zlib.crc32(server_id.encode())


def relay_order(links: Mapping[str, float]) -> list[str]:
    """Returns hosts in the order in which they are relays: those with wide links first.

    Args:
        links: Bandwidth of each host's link.
    """
    return sorted(
        links, key=lambda host: (-links[host], zlib.crc32(f"relay {host}".encode()))
    )


@attrs.define
class Summary:
    """What all entries of another data centre hold.

    Attributes:
        relay: Host of the entry that sent it.
        entries: Entries that it sums up.
        heard: Monotonic time of its arrival.
        in_flight: Requests and unread prompt tokens, by the server's short id.
        keys: Keys of waiting requests by service.
    """

    relay: str = ""
    entries: int = 0
    received_at: float = float("-inf")
    in_flight: dict[int, tuple[int, int]] = attrs.field(factory=dict)
    queue_scores: dict[str, list[float]] = attrs.field(factory=dict)

    def replaced_by(self, relay: str, entries: int, now: float) -> bool:
        """Returns whether a relay's word goes before this one."""
        if relay == self.relay or now - self.received_at > FRESH_S:
            return True
        return entries > self.entries


def build_summary(
    own: Mapping[str, Any], peers: Iterable[Peer], now: float, fresh_s: float
) -> dict[str, Any]:
    """Returns the summary of a data centre.

    Args:
        own: State of the entry that sums up.
        peers: The other entries of its data centre.
        now: Monotonic time in seconds.
        fresh_s: Silence after which a peer no longer counts.
    """
    counts: Counter[str] = Counter()
    reading: Counter[str] = Counter()
    keys: dict[str, list[float]] = {}
    heard = [peer for peer in peers if now - peer.received_at < fresh_s]
    flights = [own["in_flight"], *(peer.in_flight for peer in heard)]
    for flight in flights:
        for server_id, (count, tokens) in flight.items():
            counts[server_id] += count
            reading[server_id] += tokens
    for waiting in [own["keys"], *(peer.queue_scores for peer in heard)]:
        for service, some in waiting.items():
            keys.setdefault(service, []).extend(some)
    return {
        "entries": 1 + len(heard),
        "in_flight": {
            short_id(server_id): (count, -(-reading[server_id] // READING_UNIT))
            for server_id, count in counts.items()
            if count
        },
        "keys": {
            service: heapq.nlargest(MAX_KEYS, some)
            for service, some in keys.items()
            if some
        },
    }


def read_summary(message: Mapping[str, Any], now: float) -> Summary:
    """Returns a received summary."""
    return Summary(
        relay=str(message["from"][0]),
        entries=int(message["entries"]),
        received_at=now,
        in_flight={
            int(short): (int(count), READING_UNIT * int(units))
            for short, (count, units) in message["in_flight"].items()
        },
        queue_scores={
            str(service): sorted(float(key) for key in some)
            for service, some in message["keys"].items()
        },
    )


class Digest:
    """What a relay tells of each entry, the amounts only as far as they changed."""

    def __init__(self) -> None:
        self._told: dict[tuple[str, str], dict[str, int]] = {}
        self._count = 0

    def of(self, peers: Mapping[str, Peer], now: float) -> dict[str, list[Any]]:
        """Returns the digest of some entries by host."""
        whole = self._count % WHOLE_DIGEST_EVERY == 0
        self._count += 1
        told: dict[tuple[str, str], dict[str, int]] = {}
        digest = {}
        for host, peer in peers.items():
            before = {} if whole else self._told.get((host, peer.incarnation), {})
            told[host, peer.incarnation] = dict(peer.used)
            used = {k: v for k, v in peer.used.items() if before.get(k) != v}
            ages = {kind: round(now - at, 2) for kind, at in peer.store_seen_at.items()}
            digest[host] = [
                peer.incarnation,
                peer.ip,
                peer.sequence,
                round(now - peer.received_at, 2),
                used,
                ages,
                peer.versions,
                peer.rollouts,
                peer.link_mbps,
            ]
        self._told = told
        return digest


def merge_shares(
    own: Mapping[str, Mapping[str, Sequence[float]]], peers: Iterable[Peer]
) -> dict[str, dict[str, list[float]]]:
    """Returns how well a whole data centre served each kind, by service."""
    told = [own, *(peer.shares for peer in peers)]
    services = {service for shares in told for service in shares}
    return {
        service: _add_up(shares.get(service, {}) for shares in told)
        for service in services
    }


def merge_speeds(
    own: Mapping[str, Sequence[float]], peers: Iterable[Peer]
) -> dict[str, list[float]]:
    """Returns what a whole data centre learned of the speeds of servers."""
    return _add_up([own, *(peer.speeds for peer in peers)])


def _add_up(
    tables: Iterable[Mapping[str, Sequence[float]]],
) -> dict[str, list[float]]:
    """Returns the sums of figures that have the same name."""
    total: dict[str, list[float]] = {}
    for table in tables:
        for name, figures in table.items():
            sums = total.setdefault(name, [0.0] * len(figures))
            total[name] = [a + b for a, b in zip(sums, figures, strict=True)]
    return total
