"""Summaries of the entries of one data centre, sent to the other data centres.

Bandwidth between data centres is scarce, so entries send each change only within their
own. Two entries of each data centre, the relays, sum up the state of its entries and
send it to a relay of every other data centre, which forwards it to its own entries.
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

RELAYS_PER_DATA_CENTRE = 2
"""Entries of a data centre that send its summary: two, so that summaries continue if
one fails."""
BACKUP_FACTOR = 4
"""Ratio of the second relay's send intervals to the first one's."""
SUMMARY_FAST_INTERVAL_S = 0.04
"""Time between summaries while slots are scarce: a tenth of 0.4 s, a typical time for
which a request holds a slot."""
SUMMARY_SLOW_INTERVAL_S = 0.2
"""Time between summaries while slots are not scarce."""
ENTRY_REPORT_INTERVAL_S = 0.25
"""Time between reports on the single entries of a data centre, which carry the counts
for shared quotas; quotas tolerate counts 0.3 s old. Also the time between an entry's
reports of its class counts and speed estimates within its data centre: relays sum these
up with each report on the entries."""
FULL_REPORT_EVERY = 8
"""One in this many entry reports carries all quota amounts, not only the changed ones,
to make up for lost messages."""
MAX_QUEUE_SCORES = 16
"""Most queue scores of a service in a summary; the highest, whose requests are served
first, are kept."""
PREFILL_UNIT_TOKENS = 64
"""Unit of prompt tokens not yet processed in a summary: small numbers take fewer
bytes."""
SUMMARY_FRESH_S = 0.12
"""A stored summary older than this is replaced by any relay's, a younger one only by
one of the same relay or with more entries. It is three times
SUMMARY_FAST_INTERVAL_S."""


def short_id(server_id: str) -> int:
    """Returns a server's id in summaries: four bytes instead of its name."""
    return zlib.crc32(server_id.encode())


def relay_order(links: Mapping[str, float]) -> list[str]:
    """Returns hosts by preference as relays: those with the widest links first.

    Args:
        links: Bandwidth of each host's link, Mbit/s.
    """
    return sorted(
        links, key=lambda host: (-links[host], zlib.crc32(f"relay {host}".encode()))
    )


@attrs.define
class Summary:
    """Summed state of all entries of another data centre.

    Attributes:
        relay: Host of the entry that sent it.
        entries: Number of entries included.
        received_at: Monotonic time of its arrival.
        in_flight: Requests in flight and their prompt tokens not yet processed, by the
            server's short id.
        queue_scores: Highest scores of queued requests by service, ascending; the
            highest is served first.
    """

    relay: str = ""
    entries: int = 0
    received_at: float = float("-inf")
    in_flight: dict[int, tuple[int, int]] = attrs.field(factory=dict)
    queue_scores: dict[str, list[float]] = attrs.field(factory=dict)

    def replaced_by(self, relay: str, entries: int, now: float) -> bool:
        """Returns whether a newly received summary replaces this one.

        Args:
            relay: Host that sent the new summary.
            entries: Number of entries included in it.
            now: Monotonic time in seconds.
        """
        if relay == self.relay or now - self.received_at > SUMMARY_FRESH_S:
            return True
        return entries > self.entries


def build_summary(
    own: Mapping[str, Any], peers: Iterable[Peer], now: float, max_age_s: float
) -> dict[str, Any]:
    """Returns the summary of a data centre as a message.

    Args:
        own: State of this entry.
        peers: The other entries of its data centre.
        now: Monotonic time in seconds.
        max_age_s: Age of a peer's last message, in seconds, from which it is left out.
    """
    counts: Counter[str] = Counter()
    pending_tokens: Counter[str] = Counter()
    scores: dict[str, list[float]] = {}
    live = [peer for peer in peers if now - peer.received_at < max_age_s]
    tables = [own["in_flight"], *(peer.in_flight for peer in live)]
    for table in tables:
        for server_id, (count, tokens) in table.items():
            counts[server_id] += count
            pending_tokens[server_id] += tokens
    for queues in [own["keys"], *(peer.queue_scores for peer in live)]:
        for service, of_peer in queues.items():
            scores.setdefault(service, []).extend(of_peer)
    return {
        "entries": 1 + len(live),
        "in_flight": {
            short_id(server_id): (
                count,
                -(-pending_tokens[server_id] // PREFILL_UNIT_TOKENS),
            )
            for server_id, count in counts.items()
            if count
        },
        "keys": {
            service: heapq.nlargest(MAX_QUEUE_SCORES, of_service)
            for service, of_service in scores.items()
            if of_service
        },
    }


def read_summary(message: Mapping[str, Any], now: float) -> Summary:
    """Decodes a received summary."""
    return Summary(
        relay=str(message["from"][0]),
        entries=int(message["entries"]),
        received_at=now,
        in_flight={
            int(short): (int(count), PREFILL_UNIT_TOKENS * int(units))
            for short, (count, units) in message["in_flight"].items()
        },
        queue_scores={
            str(service): sorted(float(score) for score in scores)
            for service, scores in message["keys"].items()
        },
    )


class EntryReportBuilder:
    """Builds a relay's reports on the entries of its data centre.

    A summary has only sums over the entries. The reports carry what other data centres
    need of each entry; they are the ``digest`` field of a message.
    """

    def __init__(self) -> None:
        self._sent: dict[tuple[str, str], dict[str, int]] = {}
        self._count = 0

    def build(self, peers: Mapping[str, Peer], now: float) -> dict[str, list[Any]]:
        """Returns the fields of each entry's report, by host.

        Args:
            peers: The entries to report on, by host.
            now: Monotonic time in seconds.
        """
        full = self._count % FULL_REPORT_EVERY == 0
        self._count += 1
        sent: dict[tuple[str, str], dict[str, int]] = {}
        reports = {}
        for host, peer in peers.items():
            before = {} if full else self._sent.get((host, peer.incarnation), {})
            sent[host, peer.incarnation] = dict(peer.used)
            used = {k: v for k, v in peer.used.items() if before.get(k) != v}
            ages = {kind: round(now - at, 2) for kind, at in peer.store_seen_at.items()}
            reports[host] = [
                peer.incarnation,
                peer.ip,
                peer.sequence,
                round(now - peer.received_at, 2),
                used,
                ages,
                peer.revisions,
                peer.rollouts,
                peer.link_mbps,
            ]
        self._sent = sent
        return reports


def sum_class_counts(
    own: Mapping[str, Mapping[str, Sequence[float]]], peers: Iterable[Peer]
) -> dict[str, dict[str, list[float]]]:
    """Returns a data centre's offered and served requests by service and request class.

    Args:
        own: Counts of this entry.
        peers: The other entries of the data centre.
    """
    reports = [own, *(peer.class_counts for peer in peers)]
    services = {service for counts in reports for service in counts}
    return {
        service: _sum_figures(counts.get(service, {}) for counts in reports)
        for service in services
    }


def sum_speeds(
    own: Mapping[str, Sequence[float]], peers: Iterable[Peer]
) -> dict[str, list[float]]:
    """Returns the sums of a data centre's weighted speed estimates, by server id.

    Args:
        own: Estimates of this entry (``SpeedEstimate.export``).
        peers: The other entries of the data centre.
    """
    return _sum_figures([own, *(peer.speeds for peer in peers)])


def _sum_figures(
    tables: Iterable[Mapping[str, Sequence[float]]],
) -> dict[str, list[float]]:
    """Returns the element-wise sums of the lists with the same key."""
    total: dict[str, list[float]] = {}
    for table in tables:
        for name, figures in table.items():
            sums = total.setdefault(name, [0.0] * len(figures))
            total[name] = [a + b for a, b in zip(sums, figures, strict=True)]
    return total
