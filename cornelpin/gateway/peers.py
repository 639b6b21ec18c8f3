"""UDP messages between entries: requests in flight, queue scores and quota use of each.

Entries of one data centre send each other every change; between data centres only the
relays, two entries of each, exchange summaries (see ``summaries``). Urgent updates go
to all entries directly.

Some fields of the messages have other names than the values they hold:

* ``keys``: scores of the queued requests, the highest served first
* ``versions``: revisions of the store's objects (``StoreReport.revisions``)
* ``ages``: seconds since the store's last response (``StoreReport.ages``); in the same
  messages as ``versions``
* ``shares``: counts of offered and served requests by request class
* ``paces``: estimates of server speeds
* ``slowdowns``: how long work takes on servers at this moment, as they state it
* ``digest``: a relay's reports on the entries of its data centre
* ``poison``: quarantined parts of prompts
* ``notices``: repeated ``contents``, ``limits`` and ``leaving``, which relays do not
  pass on
* ``permits``: permits to send to servers with limits; a message has this field alone
* ``missed``: the sender has missed messages, and asks for the notices
* ``refused``, ``contents``, ``leaving``, ``crashed``, ``sound``, ``limits``: see
  ONE_TIME_UPDATES
"""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING, Any, cast

import msgpack

from cornelpin.gateway import logs
from cornelpin.gateway.broadcast_group import BroadcastGroup
from cornelpin.gateway.notices import RECENT_S, Repetition, batches, is_informant
from cornelpin.gateway.peer import Peer, StoreReport
from cornelpin.gateway.summaries import (
    ENTRY_REPORT_INTERVAL_S,
    RELAYS_PER_DATA_CENTRE,
    SUMMARY_FAST_INTERVAL_S,
    Summary,
    relay_order,
    sum_class_counts,
    sum_speeds,
)
from cornelpin.gateway.summary_exchange import SummaryExchange
from cornelpin.platform import is_ip_address
from cornelpin.scheduling.quota import FleetView

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cornelpin.gateway.senders import Senders

FULL_STATE_INTERVAL_S = 3.0
"""Time between full-state messages to the own data centre, which repair lost ones."""
HELLO_INTERVAL_S = 12.0
"""Time between hellos to other data centres; in between, the relays there report on
each entry."""
HEARTBEAT_INTERVAL_S = 0.4
"""Longest time between messages to the own data centre, so that a failed entry is
noticed there and, through the relays' reports, in the others."""
LOCAL_SENDS_PER_S = 600
"""Most messages per second, summed over the entries of the own data centre, while slots
are scarce."""
PEER_LIVENESS_S = 1.5
"""Time without a message after which a peer is not live: more than two heartbeats and
an entry report."""
QUEUE_SCORES_TTL_S = 1.2
"""Time without a message after which a peer's queue scores no longer count."""
STORE_REPORT_INTERVAL_S = 0.2
"""Longest time between two messages with a store report, while there are messages."""
TIMER_SLACK_S = 0.002
"""A message due within this time is sent now instead of by another timer."""
PEER_EXPIRY_S = 15.0
"""Time without a message after which a peer is removed: longer than a restart."""
SILENT_HELLO_INTERVAL_S = 1.0
"""Time between hellos to the relays of a silent data centre, which sends nothing else
while it hears nothing either."""
ONE_TIME_UPDATES = (
    "refused",
    "contents",
    "leaving",
    "crashed",
    "refuted",
    "sound",
    "limits",
)
"""Fields that are sent once and not repeated in full-state messages: refused requests,
what is new of contents that crash servers, servers that said that they leave, parts of
prompts in hand at crashes or shown to be sound, and changed limits of servers."""
URGENT_UPDATES = ("contents", "leaving", "crashed", "refuted", "limits")
"""Those of them that ``flush`` sends to all entries."""


class Peers(asyncio.DatagramProtocol):
    """Sends this entry's state to the other entries and keeps what they send.

    Args:
        host: Name of this entry's host.
        ip: IP address of the host.
        data_centre: Data centre of the host.
        port: UDP port that all entries use for these messages.
        link_mbps: Bandwidth of the host's link, Mbit/s.
        state: Returns this entry's full state: tables by message field.
        one_time_updates: Returns and clears the updates to be sent once.
        class_counts: Returns the counts of offered and served requests by service and
            request class (``scheduling.request_classes``).
        speeds: Returns this entry's estimates of server speeds.
        slowdowns: Returns what servers have stated of their momentary slowdowns and
            other entries do not know yet. It is old soon, so it is sent once, and in
            the own data centre only.
        notices: Returns what is known of contents that crash servers, and what servers
            have said of themselves, their limits and that they leave, as lists by
            field. For entries that start or have missed an update. Takes the age of
            events, in seconds, from which on contents are left out.
        store_report: Returns what the others are told of the copies of the store's
            objects; sent after each change and every STORE_REPORT_INTERVAL_S.
        on_message: Called after a message is merged, with the host and incarnation of
            its sender and the message; for a summary with the name of its data centre,
            an empty incarnation and the message.
        on_permits: Called with the host of the sender of a message about permits, and
            its content.
        senders: Whose messages are heard; those of all if not given.

    Attributes:
        slots_scarce: Whether few slots are free; updates are then sent more often,
            since entries may assign the same slots. Set from the dispatcher.
        silent_data_centres: Data centres of which no entry is heard any more, until
            the last one expires.
        malformed: Number of malformed messages received.
    """

    def __init__(
        self,
        host: str,
        ip: str,
        data_centre: str,
        port: int,
        *,
        link_mbps: float,
        state: Callable[[], dict[str, Any]],
        one_time_updates: Callable[[], dict[str, Any]],
        class_counts: Callable[[], dict[str, dict[str, list[float]]]],
        speeds: Callable[[], dict[str, list[float]]],
        slowdowns: Callable[[], list[list[str | float]]],
        notices: Callable[[float], dict[str, list[Any]]],
        store_report: Callable[[], StoreReport],
        on_message: Callable[[str, str, dict[str, Any]], None],
        on_permits: Callable[[str, dict[str, Any]], None],
        senders: Senders | None = None,
    ) -> None:
        self.host = host
        self.incarnation = secrets.token_hex(4)
        self._ip = ip
        self._data_centre = data_centre
        self._port = port
        self._link_mbps = link_mbps
        self._state = state
        self._one_time_updates = one_time_updates
        self._class_counts = class_counts
        self._speeds = speeds
        self._slowdowns = slowdowns
        self._store_report = store_report
        self._store_report_sent_at = 0.0
        self._store_reported: tuple[Any, Any] = (None, None)
        self._on_message = on_message
        self._on_permits = on_permits
        self._senders = senders
        self._started = time.monotonic()
        self._notices = notices
        self._repetition = Repetition()
        # Hosts of expired peers that may be running on the other side of a partition.
        self._lost: set[str] = set()
        self._peers: dict[str, Peer] = {}
        # Sums of in_flight over the peers, by server id.
        self._totals: dict[str, list[int]] = {}
        self._local = BroadcastGroup(LOCAL_SENDS_PER_S)
        # Addresses in other data centres, and addresses of unknown data centre because
        # no message was received from them yet.
        self._remote_or_unknown: set[str] = set()
        self._summary_exchange = SummaryExchange(host, data_centre, link_mbps)
        self._statistics_sent_at = 0.0
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._full_state_sent_at = 0.0
        self._hello_sent_at = 0.0
        # Monotonic time of the last hello to a silent data centre.
        self._called_at = 0.0
        # Monotonic time of the last message of any entry.
        self._heard_at = self._started
        self._timer: asyncio.TimerHandle | None = None
        self.silent_data_centres: frozenset[str] = frozenset()
        self.slots_scarce = False
        self.malformed = 0

    async def start(self, addresses: Iterable[str]) -> None:
        """Opens the port and sends hellos to the known addresses."""
        self.add_listed(addresses)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._ip, self._port)
        )
        self.send_full_state()

    def close(self) -> None:
        """Closes the port."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def add_listed(self, addresses: Iterable[Any]) -> None:
        """Adds the IP addresses of entries as listed in the settings or the store."""
        valid = self._add_addresses(addresses)
        if self._senders is not None:
            self._senders.add(valid)

    def _add_addresses(self, addresses: Iterable[Any]) -> set[str]:
        """Adds IP addresses at which entries may run; returns those that are valid."""
        valid = {ip for ip in addresses if isinstance(ip, str) and is_ip_address(ip)}
        self._remote_or_unknown |= valid - self._local.addresses - {self._ip}
        return valid

    @property
    def addresses(self) -> set[str]:
        """Addresses at which other entries may run."""
        return self._local.addresses | self._remote_or_unknown

    def remote_age_s(self) -> float:
        """Returns the expected age of the state of other data centres, in seconds.

        On average a change waits half an interval for the next update within its data
        centre and half an interval for the next summary. The intervals are those of the
        first-ranked relay while slots are scarce, whether or not they are now: only
        then may entries assign the same slots. They are taken to be the same there as
        here; network delay is left out.
        """
        return (self._local.interval_s(slots_scarce=True) + SUMMARY_FAST_INTERVAL_S) / 2

    @property
    def count(self) -> int:
        """Number of live entries, this one included."""
        return self.fleet_view().heard

    def fleet_view(self) -> FleetView:
        """Returns the numbers of live and known entries, this one included."""
        unaccounted = len(self._lost)
        if time.monotonic() - self._started < PEER_EXPIRY_S:
            heard_from = {peer.ip for peer in self._peers.values()}
            unaccounted += len(self.addresses - heard_from)
        return FleetView(
            heard=1 + len(self.live_peers()),
            known=1 + len(self._peers),
            unaccounted=unaccounted,
        )

    def live_hosts(self) -> dict[str, str]:
        """Returns the data centre of each live entry, this one included."""
        live = {host: peer.data_centre for host, peer in self.live_peers().items()}
        return live | {self.host: self._data_centre}

    def live_peers(self) -> dict[str, Peer]:
        """Returns the live peers by host."""
        now = time.monotonic()
        return {
            h: p
            for h, p in self._peers.items()
            if now - p.received_at < PEER_LIVENESS_S
        }

    def _live_local(self) -> dict[str, Peer]:
        live = self.live_peers().items()
        return {h: p for h, p in live if p.data_centre == self._data_centre}

    def in_flight(self, server_id: str) -> tuple[int, int]:
        """Returns the load of the other entries on a server.

        Returns:
            Their requests in flight there and the prompt tokens not yet processed.
        """
        local = self._totals.get(server_id, (0, 0))
        remote = self._summary_exchange.in_flight(server_id)
        return local[0] + remote[0], local[1] + remote[1]

    def _set_in_flight(
        self, peer: Peer, server_id: str, count: int, tokens: int
    ) -> None:
        """Sets a peer's load on a server and updates the sum over all peers."""
        old_count, old_tokens = peer.in_flight.get(server_id, (0, 0))
        total = self._totals.setdefault(server_id, [0, 0])
        total[0] += count - old_count
        total[1] += tokens - old_tokens
        if count or tokens:
            peer.in_flight[server_id] = (count, tokens)
        else:
            peer.in_flight.pop(server_id, None)
        if total == [0, 0]:
            del self._totals[server_id]

    def _clear_in_flight(self, peer: Peer) -> None:
        for server_id in list(peer.in_flight):
            self._set_in_flight(peer, server_id, 0, 0)

    def queue_scores(self, service: str) -> list[float]:
        """Returns the scores of the requests queued at the other entries, ascending."""
        now = time.monotonic()
        scores: list[float] = []
        received: list[Peer | Summary] = [*self._peers.values()]
        received += self._summary_exchange.summaries()
        for report in received:
            if now - report.received_at < QUEUE_SCORES_TTL_S:
                scores += report.queue_scores.get(service, ())
        scores.sort()
        return scores

    def schedule_update(self) -> None:
        """Schedules a message to the own data centre after a change of the state."""
        if self._transport is None:
            return
        loop = asyncio.get_running_loop()
        due = self._local.due_at(slots_scarce=self.slots_scarce)
        at = loop.time() + max(0.0, due - time.monotonic())
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(at, self._send_due)

    def tick(self) -> None:
        """Sends the messages that are due and removes expired peers."""
        now = time.monotonic()
        if now - self._hello_sent_at >= HELLO_INTERVAL_S:
            self.send_full_state()
        elif now - self._full_state_sent_at >= FULL_STATE_INTERVAL_S:
            self._send_full_local_state()
        elif self.slots_scarce or now - self._local.sent_at >= HEARTBEAT_INTERVAL_S:
            self._send_due()
        self._repeat_updates(now)
        self._send_summary_if_due(now)
        for host, peer in list(self._peers.items()):
            if now - peer.received_at > PEER_LIVENESS_S:
                self._clear_in_flight(peer)
            if now - peer.received_at > PEER_EXPIRY_S:
                self._remove(host, peer, now)
        self._forget_lost()
        self._summary_exchange.expire(now)
        self._note_silent_data_centres()
        self._call_silent_data_centres(now)

    def _note_silent_data_centres(self) -> None:
        known = {peer.data_centre for peer in self._peers.values()}
        silent = frozenset(known.difference(self.live_hosts().values()))
        if silent != self.silent_data_centres:
            logs.event("data_centre.silent", data_centres=sorted(silent))
            self.silent_data_centres = silent

    def _call_silent_data_centres(self, now: float) -> None:
        """Sends hellos to the relays of silent data centres."""
        due = now >= self._called_at + SILENT_HELLO_INTERVAL_S
        if not self.silent_data_centres or not due or not self._is_informant(now):
            return
        self._called_at = now
        for name in self.silent_data_centres:
            peers = {h: p for h, p in self._peers.items() if p.data_centre == name}
            order = relay_order({host: p.link_mbps for host, p in peers.items()})
            self._send_hello(peers[h].ip for h in order[:RELAYS_PER_DATA_CENTRE])

    def _remove(self, host: str, peer: Peer, now: float) -> None:
        del self._peers[host]
        self._lost.add(host)
        self._local.addresses.discard(peer.ip)
        self._remote_or_unknown.discard(peer.ip)
        silent_s = round(now - peer.received_at, 1)
        logs.event("peer.forgotten", peer=host, silent_s=silent_s)

    def _forget_lost(self) -> None:
        """Forgets expired peers while this entry hears most entries.

        Those that it does not hear are then few, if they run at all.
        """
        if self._lost:
            fleet = self.fleet_view()
            if 2 * fleet.heard > fleet.all_entries:
                self._lost.clear()

    def flush(self) -> None:
        """Sends updates now: all to the own data centre, urgent ones to all entries."""
        updates = self._one_time_updates()
        if "contents" in updates:
            self._repetition.note_update(time.monotonic())
        self._send_local(updates=updates)
        state = self._state()
        urgent = {name: state[name] for name in ("rollouts", "poison")}
        urgent |= self._store_fields(self._store_report())
        for name in URGENT_UPDATES:
            if name in updates:
                urgent[name] = updates[name]
        self._send(urgent, self._remote_or_unknown)

    def send_full_state(self) -> None:
        """Sends the full state to the own data centre and hellos to all others."""
        self._hello_sent_at = time.monotonic()
        self._send_full_local_state()
        self._send_hello(self._remote_or_unknown)
        self._send_notices(self._local.addresses)
        self._send_contents(self._first_remote_relays(), float("inf"))

    def _send_full_local_state(self) -> None:
        self._full_state_sent_at = time.monotonic()
        full_state = dict(self._state(), full=True, ips=sorted(self.addresses))
        self._send_local(full_state)

    def _send_hello(self, addresses: Iterable[str]) -> None:
        """Sends all known addresses and what an entry that starts must know."""
        hello = {"poison": self._state()["poison"], "ips": sorted(self.addresses)}
        self._send(hello | self._store_fields(self._store_report()), addresses)

    def _send_notices(self, addresses: Iterable[str]) -> None:
        """Sends all notices if this entry is an informant."""
        if self._is_informant(time.monotonic()):
            for field, notices in self._notices(float("inf")).items():
                self._send_batches(field, notices, addresses)

    def _send_contents(self, addresses: Iterable[str], max_age_s: float) -> None:
        """Sends the notices about contents if this entry is an informant."""
        if self._is_informant(time.monotonic()):
            contents = self._notices(max_age_s)["contents"]
            self._send_batches("contents", contents, addresses)

    def _send_batches(
        self, field: str, notices: list[Any], addresses: Iterable[str]
    ) -> None:
        for some in batches(notices):
            self._send({"notices": {field: some}}, addresses)

    def _repeat_updates(self, now: float) -> None:
        """Repeats updates about contents if that is due.

        The first relays of other data centres repeat there what they get, and send it
        to no other data centre.
        """
        if not self._repetition.take_due(now):
            return
        self._send_contents(self._local.addresses, RECENT_S)
        if self._repetition.take_everywhere():
            self._send_contents(self._first_remote_relays(), RECENT_S)

    def _first_remote_relays(self) -> list[str]:
        return self._summary_exchange.remote_relays(0, self.live_peers())

    def _is_informant(self, now: float) -> bool:
        """Returns whether this entry sends the notices of its data centre."""
        return is_informant(
            self.host, now - self._started, self._link_mbps, self._live_local(), now
        )

    def send_permits(self, host: str, message: dict[str, Any]) -> None:
        """Sends a message about permits to one entry."""
        peer = self._peers.get(host)
        if peer is not None:
            self._send({"permits": message}, [peer.ip])

    def _send_due(self) -> None:
        self._timer = None
        now = time.monotonic()
        if self._local.due_at(slots_scarce=self.slots_scarce) <= now + TIMER_SLACK_S:
            self._send_local()
        self._send_summary_if_due(now)

    def _send_local(
        self,
        full_state: dict[str, Any] | None = None,
        updates: dict[str, Any] | None = None,
    ) -> None:
        """Sends the changes since the last message to the own data centre.

        Args:
            full_state: Full state to be sent in place of the changes.
            updates: One-time updates; None to send those not yet sent.
        """
        now = time.monotonic()
        updates = self._one_time_updates() if updates is None else updates
        self._local.add_one_time_updates(updates)
        self._summary_exchange.add_one_time_updates(updates, self._live_local(), now)
        message = self._local.next_message(self._state(), now) | (full_state or {})
        message |= self._due_store_fields(now)
        if now >= self._statistics_sent_at + ENTRY_REPORT_INTERVAL_S:
            self._statistics_sent_at = now
            message["shares"] = self._class_counts()
            message["paces"] = self._speeds()
        slowdowns = self._slowdowns()
        if slowdowns:
            message["slowdowns"] = slowdowns
        self._send(message, self._local.addresses)

    def _send(self, message: dict[str, Any], addresses: Iterable[str]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._sequence += 1
        message["from"] = [
            self.host,
            self.incarnation,
            self._sequence,
            self._data_centre,
            self._link_mbps,
        ]
        self._send_datagrams(msgpack.packb(message, use_single_float=True), addresses)

    def _due_store_fields(self, now: float) -> dict[str, Any]:
        """Returns the fields of a store report if it is due, or has news."""
        report = self._store_report()
        state = (report.revisions, report.ages.keys())
        if (
            state == self._store_reported
            and now < self._store_report_sent_at + STORE_REPORT_INTERVAL_S
        ):
            return {}
        self._store_reported, self._store_report_sent_at = state, now
        return self._store_fields(report)

    def _store_fields(self, report: StoreReport) -> dict[str, Any]:
        return {"ages": report.ages, "versions": report.revisions}

    def _send_datagrams(self, data: bytes, addresses: Iterable[str]) -> None:
        assert self._transport is not None
        for ip in addresses:
            self._transport.sendto(data, (ip, self._port))

    def _send_summary_if_due(self, now: float) -> None:
        """Sends the summary of this data centre if this entry is a relay."""
        local = self._live_local()
        rank = self._summary_exchange.rank(local, now)
        if rank is None or not self._summary_exchange.due(
            rank, now, slots_scarce=self.slots_scarce
        ):
            return
        relays = self._summary_exchange.remote_relays(rank, self.live_peers())
        if not relays:
            if all(p.data_centre == self._data_centre for p in self._peers.values()):
                self._summary_exchange.drop_updates()
            return
        message = self._summary_exchange.next_summary(self._state(), local, now)
        reports = self._summary_exchange.next_entry_reports(
            rank, lambda: local | {self.host: self._as_peer()}, now
        )
        if reports is not None:
            message["digest"] = reports
            message["shares"] = sum_class_counts(self._class_counts(), local.values())
            message["paces"] = sum_speeds(self._speeds(), local.values())
        self._send(message, relays)

    def _as_peer(self) -> Peer:
        """Returns this entry as a peer of the others, for the entry reports."""
        state, now = self._state(), time.monotonic()
        report = self._store_report()
        return Peer(
            self._ip,
            self._data_centre,
            self.incarnation,
            link_mbps=self._link_mbps,
            sequence=self._sequence,
            received_at=now,
            revisions=report.revisions,
            store_seen_at={kind: now - age_s for kind, age_s in report.ages.items()},
            used=state["used"],
            rollouts=state["rollouts"],
        )

    def age_reports(self, suspended_s: float) -> None:
        """Ages all reports by a time that the monotonic clock has not counted."""
        self._heard_at -= suspended_s
        for peer in self._peers.values():
            peer.received_at -= suspended_s
            for kind in peer.store_seen_at:
                peer.store_seen_at[kind] -= suspended_s

    # Received messages.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the open port."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Merges a message of another entry; counts and drops a malformed one."""
        if self._senders is not None and not self._senders.admit(addr[0], len(data)):
            return
        try:
            message = msgpack.unpackb(data, strict_map_key=False)
            host, incarnation, sequence, data_centre, link_mbps = message["from"]
            if host == self.host:
                return
            if "entries" in message:  # Only summaries have this field.
                if data_centre != self._data_centre:
                    self._receive_summary(data_centre, message, data, addr[0])
                return
            peer = self._peer_for(host, incarnation, data_centre, addr[0])
            if "permits" in message:
                # These are numbered by themselves and not ordered with the others.
                self._on_permits(host, message["permits"])
                return
            peer.link_mbps = float(link_mbps)
            self._merge(host, peer, int(sequence), message)
        except (
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            msgpack.UnpackException,
        ):
            self.malformed += 1

    def _peer_for(self, host: str, incarnation: str, data_centre: str, ip: str) -> Peer:
        """Returns the peer of a host, a new one for a new incarnation."""
        peer = self._peers.get(host)
        if peer is not None and peer.incarnation == incarnation:
            return peer
        logs.event("peer.heard", peer=host, incarnation=incarnation, ip=ip)
        self._lost.discard(host)
        if peer is not None:
            self._clear_in_flight(peer)
        local = data_centre == self._data_centre
        (self._remote_or_unknown if local else self._local.addresses).discard(ip)
        (self._local.addresses if local else self._remote_or_unknown).add(ip)
        peer = self._peers[host] = Peer(
            ip, data_centre, incarnation, heard_since=time.monotonic()
        )
        if local:
            # The next tick sends a full state, for the new peer.
            self._full_state_sent_at = 0.0
        elif self._transport is not None:
            self._send_hello([ip])
        self._send_notices([ip])
        return peer

    def _merge(
        self, host: str, peer: Peer, sequence: int, message: dict[str, Any]
    ) -> None:
        """Merges a message that an entry sent about itself."""
        if sequence <= peer.sequence:
            return
        now = time.monotonic()
        self._note_heard(peer.ip, now)
        if "missed" in message or self._was_silent(peer, now):
            self._send_notices([peer.ip])
        peer.sequence = sequence
        peer.received_at = now
        self._note_notices(peer, message, now)
        if message.get("full"):
            self._clear_in_flight(peer)
        self._add_addresses(message.get("ips", ()))
        for server_id, (count, tokens) in message.get("in_flight", {}).items():
            self._set_in_flight(peer, server_id, int(count), int(tokens))
        for service, scores in message.get("keys", {}).items():
            peer.queue_scores[service] = sorted(float(score) for score in scores)
        if "ages" in message:
            peer.record_store(
                message["ages"], message.get("versions", {}), peer.received_at
            )
        peer.used.update(message.get("used", {}))
        peer.rollouts.update(message.get("rollouts", {}))
        peer.class_counts.update(message.get("shares", {}))
        peer.speeds = message.get("paces", peer.speeds)
        if peer.data_centre == self._data_centre:
            updates = {n: message[n] for n in ONE_TIME_UPDATES if n in message}
            self._summary_exchange.add_one_time_updates(
                updates, self._live_local(), peer.received_at
            )
        self._on_message(host, peer.incarnation, message)

    def _was_silent(self, peer: Peer, now: float) -> bool:
        """Returns whether a peer that is heard again was cut off, or paused.

        Of other data centres, entries are mostly known by reports.
        """
        local = peer.data_centre == self._data_centre
        silent_s = now - peer.received_at
        return local and peer.sequence >= 0 and silent_s > PEER_LIVENESS_S

    def _note_heard(self, ip: str, now: float) -> None:
        """Asks for notices if no entry was heard for some time before this message.

        This entry was then cut off, or paused.
        """
        silent_s, self._heard_at = now - self._heard_at, now
        if silent_s > PEER_LIVENESS_S:
            self._send({"missed": True}, self._local.addresses or {ip})

    def _note_notices(self, peer: Peer, message: dict[str, Any], now: float) -> None:
        """Lets updates about contents, and notices from elsewhere, be repeated."""
        if "contents" in message:
            self._repetition.note_update(now)
        elif "notices" in message and peer.data_centre != self._data_centre:
            self._repetition.note_notices(now)

    def _receive_summary(
        self, data_centre: str, message: dict[str, Any], data: bytes, ip: str
    ) -> None:
        """Stores a summary of another data centre.

        If it was received from the other data centre, not from an entry of the own one,
        it is forwarded to the entries of the own one.
        """
        now = time.monotonic()
        self._note_heard(ip, now)
        if ip not in self._local.addresses:
            self._send_datagrams(data, self._local.addresses)
            if not self._summary_exchange.hears(data_centre):
                # Its relay passes on what it may have missed.
                self._send_notices([ip])
        self._summary_exchange.receive(data_centre, message, now)
        for host, report in message.get("digest", {}).items():
            self._merge_entry_report(host, data_centre, report, now)
        self._on_message(data_centre, "", message)

    def _merge_entry_report(
        self, host: str, data_centre: str, report: list[Any], now: float
    ) -> None:
        """Merges a relay's report on an entry of its data centre."""
        incarnation, ip, sequence, age_s, used, ages, revisions, rollouts, link = report
        known = self._peers.get(host)
        # Ignores a report on this entry, and one on a superseded incarnation, which
        # sent its last message before that of the known incarnation.
        if host == self.host or (
            known is not None
            and known.incarnation != incarnation
            and known.received_at > now - age_s
        ):
            return
        peer = self._peer_for(host, incarnation, data_centre, ip)
        if sequence < peer.sequence:
            return
        peer.sequence = sequence
        peer.link_mbps = float(link)
        peer.received_at = max(peer.received_at, now - age_s)
        peer.record_store(ages, revisions, now)
        self._on_message(host, incarnation, {"used": used, "rollouts": rollouts})
