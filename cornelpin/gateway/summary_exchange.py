"""This entry's part in what its data centre and the others tell each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cornelpin.gateway.summaries import (
    BACKUP_FACTOR,
    BUSY_INTERVAL_S,
    CALM_INTERVAL_S,
    DIGEST_INTERVAL_S,
    RELAYS,
    Digest,
    Summary,
    build_summary,
    read_summary,
    relay_order,
    short_id,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.gateway.peer import Peer

RANK_FRESH_S = 0.1
"""Time for which an entry takes its place among the relays for unchanged."""
SILENT_S = 1.5
"""Silence after which a data centre's summary no longer counts, as a peer's word."""
MAX_NEWS = 1_000
"""News kept for the next summary: refused requests of some seconds of overload."""
TIMER_SLACK_S = 0.002
"""Time by which a summary may go early rather than need a timer of its own."""


class SummaryExchange:
    """Summaries sent to other data centres, if this entry relays, and those received.

    Args:
        host: Name of this entry's host.
        data_centre: Where it is.
        link_mbps: Bandwidth of its link.
    """

    def __init__(self, host: str, data_centre: str, link_mbps: float) -> None:
        self._host = host
        self._data_centre = data_centre
        self._link_mbps = link_mbps
        self._summaries: dict[str, Summary] = {}
        self._news: dict[str, list[Any]] = {}
        self._rank: tuple[float, int | None] = (float("-inf"), None)
        self._digest = Digest()
        self._digest_at = 0.0
        self._sent_at = 0.0

    def in_flight(self, server_id: str) -> tuple[int, int]:
        """Returns requests and unread prompt tokens of other data centres' entries."""
        short = short_id(server_id)
        found = [s.in_flight.get(short, (0, 0)) for s in self._summaries.values()]
        return sum(count for count, _ in found), sum(tokens for _, tokens in found)

    def summaries(self) -> list[Summary]:
        """Returns the last summary of each other data centre."""
        return list(self._summaries.values())

    def expire(self, now: float) -> None:
        """Drops summaries of data centres that are no longer heard."""
        for data_centre, summary in list(self._summaries.items()):
            if now - summary.received_at > SILENT_S:
                del self._summaries[data_centre]

    def take(self, data_centre: str, message: Mapping[str, Any], now: float) -> None:
        """Takes a summary of another data centre."""
        known = self._summaries.setdefault(data_centre, Summary())
        summary = read_summary(message, now)
        if known.replaced_by(summary.relay, summary.entries, now):
            self._summaries[data_centre] = summary

    def keep(
        self, news: Mapping[str, list[Any]], near: Mapping[str, Peer], now: float
    ) -> None:
        """Keeps what is told once for the next summary, if this entry relays."""
        if self.rank(near, now) is None:
            self._news.clear()
            return
        for part, told in news.items():
            kept = self._news.setdefault(part, [])
            kept.extend(told)
            # Without another data centre nothing is ever sent.
            del kept[:-MAX_NEWS]

    def rank(self, near: Mapping[str, Peer], now: float) -> int | None:
        """Returns this entry's place among its data centre's relays, if it is one."""
        at, rank = self._rank
        if now - at > RANK_FRESH_S:
            links = {host: peer.link_mbps for host, peer in near.items()}
            place = relay_order(links | {self._host: self._link_mbps}).index(self._host)
            rank = place if place < RELAYS else None
            self._rank = (now, rank)
        return rank

    def due(self, rank: int, now: float, *, busy: bool) -> bool:
        """Returns whether a relay is to send its summary now."""
        interval_s = BUSY_INTERVAL_S if busy else CALM_INTERVAL_S
        if rank:
            interval_s *= BACKUP_FACTOR
        return now + TIMER_SLACK_S >= self._sent_at + interval_s

    def summary(
        self, own: Mapping[str, Any], near: Mapping[str, Peer], now: float
    ) -> dict[str, Any]:
        """Returns the summary of this data centre, with what was kept for it."""
        self._sent_at = now
        summary = build_summary(own, near.values(), now, SILENT_S) | self._news
        self._news = {}
        return summary

    def digest(
        self, rank: int, entries: Callable[[], Mapping[str, Peer]], now: float
    ) -> dict[str, list[Any]] | None:
        """Returns the digest of this data centre's entries if it is due."""
        interval_s = DIGEST_INTERVAL_S * (BACKUP_FACTOR if rank else 1)
        if now < self._digest_at + interval_s:
            return None
        self._digest_at = now
        return self._digest.of(entries(), now)

    def relays_elsewhere(self, rank: int, heard: Mapping[str, Peer]) -> list[str]:
        """Returns the addresses of the relays of the same rank elsewhere."""
        links: dict[str, dict[str, float]] = {}
        for host, peer in heard.items():
            if peer.data_centre != self._data_centre:
                links.setdefault(peer.data_centre, {})[host] = peer.link_mbps
        return [
            heard[relay_order(some)[min(rank, len(some) - 1)]].ip
            for some in links.values()
        ]
