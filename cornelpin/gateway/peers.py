"""Messages between entries: what each has in flight, waiting and used.

Entries of one data centre tell each other every change; between data centres relays
exchange summaries. What must be known at once goes to everybody directly.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING, Any, cast

import msgpack

from cornelpin.gateway import logs
from cornelpin.gateway.broadcast_group import BroadcastGroup
from cornelpin.gateway.peer import Peer
from cornelpin.gateway.summaries import (
    BUSY_INTERVAL_S,
    DIGEST_INTERVAL_S,
    Summary,
    merge_shares,
    merge_speeds,
)
from cornelpin.gateway.summary_exchange import SummaryExchange
from cornelpin.scheduling.quota import Share

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

FULL_INTERVAL_S = 3.0
"""Time between whole states to the own data centre, which heal lost messages."""
HELLO_INTERVAL_S = 12.0
"""Time between greetings to other data centres: relays tell of each entry meanwhile."""
HEARTBEAT_INTERVAL_S = 0.4
"""Longest time between messages to the own data centre, so that a silent entry is
noticed there and elsewhere."""
NEAR_SENDS_PER_S = 600
"""Messages a second to the entries of the own data centre while slots are scarce."""
PEER_LIVENESS_S = 1.5
"""Silence after which a peer counts as not heard: more than two beats and a digest."""
QUEUE_SCORES_TTL_S = 1.2
"""Silence after which a peer's waiting requests no longer count."""
TIMER_SLACK_S = 0.002
"""Time by which a message may go early rather than need a timer of its own."""
PEER_EXPIRY_S = 15.0
"""Silence after which a peer is forgotten: longer than a restart."""
ONE_TIME_UPDATES = ("refused", "broken")
"""Parts of messages that are told once."""


class Peers(asyncio.DatagramProtocol):
    """The other entries, as far as they are heard.

    Args:
        host: Name of this entry's host.
        ip: Its address.
        data_centre: Where it is.
        port: Port that all entries use for these messages.
        link_mbps: Bandwidth of this host's link.
        state: Returns this entry's whole state to tell.
        news: Returns what is told once.
        shares: Returns how well each kind of request was served here.
        paces: Returns what was learned of the speeds of servers.
        ages: Returns how long ago the store last told of each kind; told each time.
        on_message: Called with the host and incarnation of an entry, or with a data
            centre and an empty word, and what was told, once that is taken in.
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
        shares: Callable[[], dict[str, dict[str, list[float]]]],
        speeds: Callable[[], dict[str, list[float]]],
        ages: Callable[[], dict[str, float]],
        on_message: Callable[[str, str, dict[str, Any]], None],
    ) -> None:
        self.host = host
        self.incarnation = secrets.token_hex(4)
        self._ip = ip
        self._data_centre = data_centre
        self._port = port
        self._link_mbps = link_mbps
        self._state = state
        self._one_time_updates = one_time_updates
        self._shares = shares
        self._speeds = speeds
        self._ages = ages
        self._on_message = on_message
        self._peers: dict[str, Peer] = {}
        self._totals: dict[str, list[int]] = {}
        self._near = BroadcastGroup(NEAR_SENDS_PER_S)
        self._far: set[str] = set()
        self._far_links = SummaryExchange(host, data_centre, link_mbps)
        self._learned_at = 0.0
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._full_at = 0.0
        self._greeted_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.busy = False
        self.malformed = 0

    async def start(self, addresses: Iterable[str]) -> None:
        """Opens the port and greets the entries known so far."""
        self.add_addresses(addresses)
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

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Takes addresses at which entries may run."""
        self._far |= set(addresses) - self._near.addresses - {self._ip}

    @property
    def addresses(self) -> set[str]:
        """Addresses at which other entries may run."""
        return self._near.addresses | self._far

    def remote_age_s(self) -> float:
        """Returns how old the word of other data centres is on average."""
        return (self._near.interval_s(busy=True) + BUSY_INTERVAL_S) / 2

    @property
    def count(self) -> int:
        """Entries heard lately, with this one."""
        return self.share().heard

    def share(self) -> Share:
        """Returns the part of the fleet that is heard."""
        return Share(heard=1 + len(self.live_peers()), known=1 + len(self._peers))

    def live_peers(self) -> dict[str, Peer]:
        """Returns the peers heard lately."""
        now = time.monotonic()
        return {
            h: p
            for h, p in self._peers.items()
            if now - p.received_at < PEER_LIVENESS_S
        }

    def _heard_near(self) -> dict[str, Peer]:
        heard = self.live_peers().items()
        return {h: p for h, p in heard if p.data_centre == self._data_centre}

    def in_flight(self, server_id: str) -> tuple[int, int]:
        """Returns requests and unread prompt tokens of the others at a server."""
        near = self._totals.get(server_id, (0, 0))
        far = self._far_links.in_flight(server_id)
        return near[0] + far[0], near[1] + far[1]

    def _set_in_flight(
        self, peer: Peer, server_id: str, count: int, tokens: int
    ) -> None:
        """Takes what a peer has at a server, and keeps the sum of all near peers."""
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
        """Returns the keys of what waits at the others, ascending."""
        now = time.monotonic()
        keys: list[float] = []
        words: list[Peer | Summary] = [*self._peers.values()]
        words += self._far_links.summaries()
        for word in words:
            if now - word.received_at < QUEUE_SCORES_TTL_S:
                keys += word.queue_scores.get(service, ())
        keys.sort()
        return keys

    def schedule_update(self) -> None:
        """Tells a change of this entry's state soon."""
        if self._transport is None:
            return
        loop = asyncio.get_running_loop()
        due = self._near.due_at(busy=self.busy)
        at = loop.time() + max(0.0, due - time.monotonic())
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(at, self._tell_due)

    def tick(self) -> None:
        """Tells what is due, and forgets peers long silent."""
        now = time.monotonic()
        if now - self._greeted_at >= HELLO_INTERVAL_S:
            self.send_full_state()
        elif now - self._full_at >= FULL_INTERVAL_S:
            self._tell_whole()
        elif self.busy or now - self._near.sent_at >= HEARTBEAT_INTERVAL_S:
            self._tell_due()
        self._sum_up_if_due(now)
        for host, peer in list(self._peers.items()):
            if now - peer.received_at > PEER_LIVENESS_S:
                self._clear_in_flight(peer)
            if now - peer.received_at > PEER_EXPIRY_S:
                self._forget(host, peer, now)
        self._far_links.expire(now)

    def _forget(self, host: str, peer: Peer, now: float) -> None:
        del self._peers[host]
        self._near.addresses.discard(peer.ip)
        self._far.discard(peer.ip)
        silent_s = round(now - peer.received_at, 1)
        logs.event("peer.forgotten", peer=host, silent_s=silent_s)

    def flush(self) -> None:
        """Tells everybody at once what can't wait, and the own data centre the rest."""
        news = self._one_time_updates()
        self._tell_near(news=news)
        state = self._state()
        urgent = {part: state[part] for part in ("versions", "rollouts")}
        if "broken" in news:
            urgent["broken"] = news["broken"]
        self._send(urgent, self._far)

    def send_full_state(self) -> None:
        """Tells the own data centre this entry's whole state, and greets the others."""
        self._greeted_at = time.monotonic()
        self._tell_whole()
        self._greet(self._far)

    def _tell_whole(self) -> None:
        self._full_at = time.monotonic()
        whole = dict(self._state(), full=True, ips=sorted(self.addresses))
        self._tell_near(whole)

    def _greet(self, addresses: Iterable[str]) -> None:
        versions = self._state()["versions"]
        self._send({"versions": versions, "ips": sorted(self.addresses)}, addresses)

    def _tell_due(self) -> None:
        self._timer = None
        now = time.monotonic()
        if self._near.due_at(busy=self.busy) <= now + TIMER_SLACK_S:
            self._tell_near()
        self._sum_up_if_due(now)

    def _tell_near(
        self, whole: dict[str, Any] | None = None, news: dict[str, Any] | None = None
    ) -> None:
        now = time.monotonic()
        news = self._one_time_updates() if news is None else news
        self._near.add_news(news)
        self._far_links.keep(news, self._heard_near(), now)
        message = self._near.message(self._state(), now) | (whole or {})
        if now >= self._learned_at + DIGEST_INTERVAL_S:
            self._learned_at = now
            message["shares"] = self._shares()
            message["paces"] = self._speeds()
        self._send(message, self._near.addresses)

    def _send(self, message: dict[str, Any], addresses: Iterable[str]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._sequence += 1
        message["ages"] = self._ages()
        message["from"] = [
            self.host,
            self.incarnation,
            self._sequence,
            self._data_centre,
            self._link_mbps,
        ]
        self._post(msgpack.packb(message, use_single_float=True), addresses)

    def _post(self, data: bytes, addresses: Iterable[str]) -> None:
        assert self._transport is not None
        for ip in addresses:
            self._transport.sendto(data, (ip, self._port))

    def _sum_up_if_due(self, now: float) -> None:
        """Sends the summary of this data centre if this entry relays it."""
        near = self._heard_near()
        rank = self._far_links.rank(near, now)
        if rank is None or not self._far_links.due(rank, now, busy=self.busy):
            return
        relays = self._far_links.relays_elsewhere(rank, self.live_peers())
        if not relays:
            return
        message = self._far_links.summary(self._state(), near, now)
        digest = self._far_links.digest(
            rank, lambda: near | {self.host: self._self()}, now
        )
        if digest is not None:
            message["digest"] = digest
            message["shares"] = merge_shares(self._shares(), near.values())
            message["paces"] = merge_speeds(self._speeds(), near.values())
        self._send(message, relays)

    def _self(self) -> Peer:
        """Returns this entry as the others see it."""
        state, now = self._state(), time.monotonic()
        return Peer(
            self._ip,
            self._data_centre,
            self.incarnation,
            link_mbps=self._link_mbps,
            sequence=self._sequence,
            received_at=now,
            versions=state["versions"],
            store_seen_at={kind: now - age_s for kind, age_s in self._ages().items()},
            used=state["used"],
            rollouts=state["rollouts"],
        )

    # What the others tell.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open port."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a message of another entry; a malformed one is dropped."""
        try:
            message = msgpack.unpackb(data, strict_map_key=False)
            host, incarnation, sequence, data_centre, link_mbps = message["from"]
            if host == self.host:
                return
            if "entries" in message:
                if data_centre != self._data_centre:
                    self._take_summary(data_centre, message, data, addr[0])
                return
            peer = self._peer(host, incarnation, data_centre, addr[0])
            peer.link_mbps = float(link_mbps)
            self._take(host, peer, int(sequence), message)
        except (
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            msgpack.UnpackException,
        ):
            self.malformed += 1

    def _peer(self, host: str, incarnation: str, data_centre: str, ip: str) -> Peer:
        """Returns the record of a peer, a new one for a new process."""
        peer = self._peers.get(host)
        if peer is not None and peer.incarnation == incarnation:
            return peer
        logs.event("peer.heard", peer=host, incarnation=incarnation, ip=ip)
        if peer is not None:
            self._clear_in_flight(peer)
        near = data_centre == self._data_centre
        (self._far if near else self._near.addresses).discard(ip)
        (self._near.addresses if near else self._far).add(ip)
        peer = self._peers[host] = Peer(ip, data_centre, incarnation)
        if near:
            self._full_at = 0.0
        elif self._transport is not None:
            self._greet([ip])
        return peer

    def _take(
        self, host: str, peer: Peer, sequence: int, message: dict[str, Any]
    ) -> None:
        """Takes an entry's own message."""
        if sequence <= peer.sequence:
            return
        peer.sequence = sequence
        peer.received_at = time.monotonic()
        if message.get("full"):
            self._clear_in_flight(peer)
        self.add_addresses(message.get("ips", ()))
        for server_id, (count, tokens) in message.get("in_flight", {}).items():
            self._set_in_flight(peer, server_id, int(count), int(tokens))
        for service, keys in message.get("keys", {}).items():
            peer.queue_scores[service] = sorted(float(key) for key in keys)
        peer.versions.update(message.get("versions", {}))
        peer.used.update(message.get("used", {}))
        peer.rollouts.update(message.get("rollouts", {}))
        peer.shares.update(message.get("shares", {}))
        peer.speeds = message.get("paces", peer.speeds)
        for kind, age_s in message.get("ages", {}).items():
            peer.store_seen_at[kind] = peer.received_at - age_s
        if peer.data_centre == self._data_centre:
            news = {n: message[n] for n in ONE_TIME_UPDATES if n in message}
            self._far_links.keep(news, self._heard_near(), peer.received_at)
        self._on_message(host, peer.incarnation, message)

    def _take_summary(
        self, data_centre: str, message: dict[str, Any], data: bytes, ip: str
    ) -> None:
        """Takes a summary of another data centre, and hands it on in the own one."""
        if ip not in self._near.addresses:
            self._post(data, self._near.addresses)
        now = time.monotonic()
        self._far_links.take(data_centre, message, now)
        for host, word in message.get("digest", {}).items():
            self._take_digest(host, data_centre, word, now)
        self._on_message(data_centre, "", message)

    def _take_digest(
        self, host: str, data_centre: str, word: list[Any], now: float
    ) -> None:
        """Takes what a relay tells of an entry of its data centre."""
        incarnation, ip, sequence, age_s, used, ages, versions, rollouts, link = word
        known = self._peers.get(host)
        if host == self.host or (
            known is not None
            and known.incarnation != incarnation
            and known.received_at > now - age_s
        ):
            return
        peer = self._peer(host, incarnation, data_centre, ip)
        if sequence < peer.sequence:
            return
        peer.sequence = sequence
        peer.link_mbps = float(link)
        peer.received_at = max(peer.received_at, now - age_s)
        peer.versions.update(versions)
        for kind, seen_s in ages.items():
            peer.store_seen_at[kind] = max(
                peer.store_seen_at.get(kind, 0.0), now - seen_s
            )
        self._on_message(host, incarnation, {"used": used, "rollouts": rollouts})
