"""One entry's part in the exchange of summaries between data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cornelpin.gateway.summaries import (
    BACKUP_FACTOR,
    ENTRY_REPORT_INTERVAL_S,
    RELAYS_PER_DATA_CENTRE,
    SUMMARY_FAST_INTERVAL_S,
    SUMMARY_SLOW_INTERVAL_S,
    EntryReportBuilder,
    Summary,
    build_summary,
    read_summary,
    relay_order,
    short_id,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.gateway.peer import Peer

RANK_TTL_S = 0.1
"""Time for which this entry's rank among the relays is cached."""
SUMMARY_EXPIRY_S = 1.5
"""Age at which a data centre's summary expires; the same as the liveness of a peer."""
MAX_PENDING_UPDATES = 1_000
"""One-time updates of each kind kept for the next summary: enough for the requests
refused in some seconds of overload."""
TIMER_SLACK_S = 0.002
"""A summary due within this time is sent now instead of at the next timer."""


class SummaryExchange:
    """Builds summaries for other data centres and keeps those received from them.

    Args:
        host: Name of this entry's host.
        data_centre: Data centre of the host.
        link_mbps: Bandwidth of the host's link, Mbit/s.
    """

    def __init__(self, host: str, data_centre: str, link_mbps: float) -> None:
        self._host = host
        self._data_centre = data_centre
        self._link_mbps = link_mbps
        self._summaries: dict[str, Summary] = {}
        self._one_time_updates: dict[str, list[Any]] = {}
        # Time at which the rank was determined, and the rank.
        self._rank: tuple[float, int | None] = (float("-inf"), None)
        self._entry_report_builder = EntryReportBuilder()
        self._entry_reports_sent_at = 0.0
        self._sent_at = 0.0

    def in_flight(self, server_id: str) -> tuple[int, int]:
        """Returns the load of other data centres' entries on a server.

        Returns:
            Their requests in flight there and the prompt tokens not yet processed.
        """
        short = short_id(server_id)
        found = [s.in_flight.get(short, (0, 0)) for s in self._summaries.values()]
        return sum(count for count, _ in found), sum(tokens for _, tokens in found)

    def summaries(self) -> list[Summary]:
        """Returns the last summary of each other data centre."""
        return list(self._summaries.values())

    def hears(self, data_centre: str) -> bool:
        """Returns whether there is a summary of a data centre that has not expired."""
        return data_centre in self._summaries

    def expire(self, now: float) -> None:
        """Drops expired summaries."""
        for data_centre, summary in list(self._summaries.items()):
            if now - summary.received_at > SUMMARY_EXPIRY_S:
                del self._summaries[data_centre]

    def receive(self, data_centre: str, message: Mapping[str, Any], now: float) -> None:
        """Stores a summary of another data centre if it replaces the current one."""
        known = self._summaries.setdefault(data_centre, Summary())
        summary = read_summary(message, now)
        if known.replaced_by(summary.relay, summary.entries, now):
            self._summaries[data_centre] = summary

    def add_one_time_updates(
        self, updates: Mapping[str, list[Any]], local: Mapping[str, Peer], now: float
    ) -> None:
        """Collects one-time updates for the next summary if this entry is a relay."""
        if self.rank(local, now) is None:
            self._one_time_updates.clear()
            return
        for name, items in updates.items():
            kept = self._one_time_updates.setdefault(name, [])
            kept.extend(items)
            # Without another data centre no summary is sent, so the list would grow.
            del kept[:-MAX_PENDING_UPDATES]

    def drop_updates(self) -> None:
        """Drops the updates collected for the next summary; they would be old."""
        self._one_time_updates.clear()

    def rank(self, local: Mapping[str, Peer], now: float) -> int | None:
        """Returns this entry's rank among its data centre's relays; None if not one.

        Args:
            local: Live peers of the own data centre by host.
            now: Monotonic time in seconds.
        """
        at, rank = self._rank
        if now - at > RANK_TTL_S:
            links = {host: peer.link_mbps for host, peer in local.items()}
            index = relay_order(links | {self._host: self._link_mbps}).index(self._host)
            rank = index if index < RELAYS_PER_DATA_CENTRE else None
            self._rank = (now, rank)
        return rank

    def due(self, rank: int, now: float, *, slots_scarce: bool) -> bool:
        """Returns whether a relay of this rank sends its summary now."""
        interval_s = (
            SUMMARY_FAST_INTERVAL_S if slots_scarce else SUMMARY_SLOW_INTERVAL_S
        )
        if rank:
            interval_s *= BACKUP_FACTOR
        return now + TIMER_SLACK_S >= self._sent_at + interval_s

    def next_summary(
        self, own: Mapping[str, Any], local: Mapping[str, Peer], now: float
    ) -> dict[str, Any]:
        """Returns the summary of this data centre with the collected updates."""
        self._sent_at = now
        # The maximum age leaves out none of these peers: it equals the liveness limit.
        summary = (
            build_summary(own, local.values(), now, SUMMARY_EXPIRY_S)
            | self._one_time_updates
        )
        self._one_time_updates = {}
        return summary

    def next_entry_reports(
        self, rank: int, entries: Callable[[], Mapping[str, Peer]], now: float
    ) -> dict[str, list[Any]] | None:
        """Returns the reports on this data centre's entries by host if they are due.

        Args:
            rank: Rank of this entry among the relays.
            entries: Returns the entries of this data centre by host.
            now: Monotonic time in seconds.
        """
        interval_s = ENTRY_REPORT_INTERVAL_S * (BACKUP_FACTOR if rank else 1)
        if now < self._entry_reports_sent_at + interval_s:
            return None
        self._entry_reports_sent_at = now
        return self._entry_report_builder.build(entries(), now)

    def remote_relays(self, rank: int, live: Mapping[str, Peer]) -> list[str]:
        """Returns the addresses of the relays of the same rank in other data centres.

        A data centre with too few entries for this rank is represented by its last
        entry in the order of relays.

        Args:
            rank: Rank of this entry.
            live: Live peers of all data centres by host.
        """
        # Bandwidth of each host's link, Mbit/s, by data centre and host.
        links_by_data_centre: dict[str, dict[str, float]] = {}
        for host, peer in live.items():
            if peer.data_centre != self._data_centre:
                links_by_data_centre.setdefault(peer.data_centre, {})[host] = (
                    peer.link_mbps
                )
        return [
            live[relay_order(links)[min(rank, len(links) - 1)]].ip
            for links in links_by_data_centre.values()
        ]
