"""Dispatch at an entry: reservations, the one grant, and the answer's parts."""

from __future__ import annotations

import queue
import random
import threading
import time
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.core.tickets import Request, Ticket
from cornelpin.core.verdict import Reason, Refusal, Verdict
from cornelpin.daemon.messages import (
    Ask,
    Cancel,
    Chunk,
    End,
    Gone,
    Grant,
    Head,
    NotRun,
    Reserve,
    Resume,
    Withdraw,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cornelpin.daemon.links import Link, LinkTable
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

RESERVATIONS = 3
POLL_S = 0.25
RESUME_TIMEOUT_S = 6.0
SERVICE_TRIES = 3
DEFAULT_RETRY_AFTER_S = 1.0


@attrs.frozen
class Lost:
    """The session of a link has ended."""


@attrs.frozen
class Evicted:
    """The entry sheds this waiting request to make room for another."""


class TicketTable:
    """All requests that this entry holds."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._tickets: dict[str, Ticket] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def admit(self, ticket: Ticket, shed_order: Callable[[str], int]) -> None:
        """Adds a ticket, evicting a waiting one of a lower tier if full.

        Raises:
            Refusal: If no lower tier's request waits here.
        """
        with self._lock:
            if len(self._tickets) >= self._limit:
                self._make_room(ticket, shed_order)
            self._tickets[ticket.req.request_id] = ticket

    def _make_room(self, ticket: Ticket, shed_order: Callable[[str], int]) -> None:
        waiting = [t for t in self._tickets.values() if t.waiting and not t.req.keep]
        victim = min(waiting, key=lambda t: shed_order(t.req.tier), default=None)
        mine = shed_order(ticket.req.tier)
        if victim is None or shed_order(victim.req.tier) >= mine:
            raise Refusal(
                Reason.SHED,
                detail="this entry holds as many requests as it may",
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        del self._tickets[victim.req.request_id]
        victim.events.put((Evicted(), None))

    def find(self, request_id: str) -> Ticket | None:
        """Returns a ticket by request id."""
        return self._tickets.get(request_id)

    def remove(self, request_id: str) -> None:
        """Removes a ticket."""
        with self._lock:
            self._tickets.pop(request_id, None)

    def tell_lost(self, link: Link) -> None:
        """Tells the tickets that use a link that its session has ended."""
        with self._lock:
            tickets = list(self._tickets.values())
        for ticket in tickets:
            if ticket.holder is link or link in ticket.reserved():
                ticket.events.put((Lost(), link))


class Dispatcher:
    """Places requests at sides and relays their answers."""

    def __init__(self, process: Process, links: LinkTable, limit: int) -> None:
        self._process = process
        self.links = links
        self.tickets = TicketTable(limit)

    def on_message(self, link: Link, peer: Peer, msg: Any) -> bool:
        """Handles a side's message about a request.

        Returns:
            Whether the message was one.
        """
        match msg:
            case Ask():
                self._on_ask(link, peer, msg)
            case NotRun() | Head() | Chunk() | End():
                ticket = self.tickets.find(msg.request_id)
                if ticket is not None:
                    ticket.events.put((msg, link))
            case _:
                return False
        return True

    def _on_ask(self, link: Link, peer: Peer, msg: Ask) -> None:
        request_id = msg.request_id
        ticket = self.tickets.find(request_id)
        if ticket is not None and ticket.waiting and ticket.req.keep:
            # Its own task stores the grant before it is sent.
            ticket.events.put((msg, link))
        elif ticket is not None and ticket.grant(link, peer.incarnation):
            self._process.ring.record(
                "request.granted", request=request_id, detail=link.name
            )
            peer.send(grant_message(ticket, direct=False))
        else:
            peer.send(Gone(request_id))

    def open(self, req: Request, *, version: str = "") -> Exchange:
        """Admits a request and returns its exchange.

        Raises:
            Refusal: If the entry cannot hold the request.
        """
        ticket = Ticket(req)
        ticket.version = version
        self.tickets.admit(ticket, self._shed_order)
        self._process.ring.record("request.accepted", request=req.request_id)
        return Exchange(self._process, self, ticket)

    def adopt(
        self, req: Request, *, server: str, incarnation: str, version: str
    ) -> Exchange:
        """Returns the exchange of a request that another entry had granted.

        Raises:
            Refusal: If its backend server is gone or the entry cannot hold it.
        """
        links = self.links.of_servers([server])
        if not links:
            raise Refusal(Reason.SERVER_LOST, Verdict.MAY_HAVE_RUN, f"{server} is gone")
        ticket = Ticket(req)
        ticket.version = version
        ticket.adopted = True
        ticket.grant(links[0], incarnation)
        self.tickets.admit(ticket, self._shed_order)
        ticket.events.put((Lost(), links[0]))
        return Exchange(self._process, self, ticket)

    def _shed_order(self, tier: str) -> int:
        cfg = self._process.view.config.tiers.get(tier)
        return cfg.shed_order if cfg is not None else -1

    def candidates(self, route: str) -> list[Link]:
        """Returns the links to the backend servers of a route."""
        cfg = self._process.view.config.routes.get(route)
        return self.links.of_servers(cfg.backend_servers) if cfg is not None else []


class Exchange:
    """One request from acceptance to its last byte, in the caller's task."""

    def __init__(
        self, process: Process, dispatcher: Dispatcher, ticket: Ticket
    ) -> None:
        self._process = process
        self._dispatcher = dispatcher
        self._ticket = ticket
        self._req = ticket.req
        self._shed_by: set[Link] = set()
        self._received = 0
        self._complete = False
        self._tries = 0
        self._wait_until = time.monotonic() + self._req.max_wait_s
        self.caller_gone: Callable[[], bool] = lambda: False
        self.before_grant: Callable[[str, str], bool] = lambda server, run: True

    @property
    def waiting(self) -> bool:
        """Whether the request is not granted yet."""
        return self._ticket.waiting

    def head(self) -> Head:
        """Waits for the head of the answer.

        Raises:
            Refusal: If there will be none.
        """
        self._place(direct=True)
        while True:
            msg, link = self._next()
            if isinstance(msg, Head):
                return msg
            self._before_head(msg, link)

    def parts(self) -> Iterator[list[bytes]]:
        """Yields the body parts of the answer.

        Raises:
            Refusal: If the answer breaks off.
        """
        while True:
            msg, link = self._next()
            match msg:
                case Chunk():
                    fresh = self._fresh(msg)
                    if fresh:
                        yield fresh
                case End():
                    self._check_end(msg)
                    return
                case Lost():
                    self._resume(link)
                case NotRun():
                    raise self._failed("the backend server lost the request")
                case Ask():
                    link.send(Gone(msg.request_id))

    def close(self) -> None:
        """Ends the exchange; cancels what still runs or waits."""
        ticket = self._ticket
        holder = ticket.holder
        request_id = self._req.request_id
        if not ticket.close() and holder is not None:
            if not self._complete:
                holder.send(Cancel(request_id))
            holder.send(Withdraw(request_id))
        for link in ticket.reserved():
            link.send(Withdraw(request_id))
        self._dispatcher.tickets.remove(request_id)

    # Placement

    def _place(self, *, direct: bool = False) -> None:
        """Grants directly to an idle side or reserves at several."""
        if not self._ticket.waiting:
            return
        links = self._dispatcher.candidates(self._req.route)
        if not links:
            raise self._refusal(Reason.NO_SERVER, "the route has no backend server")
        usable = [link for link in links if link.usable and link not in self._shed_by]
        if direct and not self._req.keep and self._grant_direct(usable):
            return
        room = RESERVATIONS - len(self._ticket.reserved())
        free = [link for link in usable if link not in self._ticket.reserved()]
        free.sort(key=lambda link: (_load(link), random.random()))
        for link in free[: max(0, room)]:
            if self._ticket.reserve(link):
                link.send(self._reserve_message())

    def _grant_direct(self, links: list[Link]) -> bool:
        idle = [link for link in links if link.idle_slots > 0]
        if not idle:
            return False
        link = max(idle, key=lambda link: (link.idle_slots, random.random()))
        peer = link.peer
        if peer is None or not self._ticket.grant(link, peer.incarnation):
            return False
        link.direct += 1
        self._send_grant(link, peer, direct=True)
        return True

    def _send_grant(self, link: Link, peer: Peer, *, direct: bool) -> None:
        self._process.ring.record(
            "request.granted", request=self._req.request_id, detail=link.name
        )
        peer.send(grant_message(self._ticket, direct=direct))
        if link.peer is not peer:
            # The session ended meanwhile; its loss may have been announced before
            # this grant was visible.
            self._ticket.events.put((Lost(), link))

    def _reserve_message(self) -> Reserve:
        req = self._req
        return Reserve(
            request_id=req.request_id,
            route=req.route,
            version=self._ticket.version,
            tier=req.tier,
            workspace=req.workspace,
            cost=req.cost,
            wait_s=max(0.0, self._wait_until - time.monotonic()),
            fingerprint=req.fingerprint,
        )

    # Events

    def _next(self) -> tuple[Any, Any]:
        """Returns the next event; refuses at the deadline or without a caller."""
        while True:
            try:
                return self._ticket.events.get(timeout=POLL_S)
            except queue.Empty:
                self._check_time()
            if self._ticket.waiting:
                self._place()

    def _check_time(self) -> None:
        if self._req.keep:
            # A durable request is not shed; it tries all sides again.
            self._shed_by.clear()
        if self.caller_gone():
            raise self._refusal(Reason.CANCELLED, "the caller has gone away")
        if self._req.left_s() <= 0:
            raise self._refusal(Reason.DEADLINE, "the deadline has passed")
        if self._ticket.waiting and time.monotonic() > self._wait_until:
            raise self._refusal(Reason.SHED, "no slot within the tier's longest wait")

    def _before_head(self, msg: Any, link: Any) -> None:
        match msg:
            case Evicted():
                raise self._refusal(Reason.SHED, "shed for a higher tier")
            case Ask():
                self._on_ask(link)
            case NotRun():
                self._on_not_run(msg, link)
            case Lost():
                self._on_lost(link)
            case End():
                self._retry_or_fail(msg.detail or msg.outcome)

    def _on_not_run(self, msg: NotRun, link: Link) -> None:
        """The side surely did not run the request; it may go elsewhere."""
        if self._ticket.adopted:
            # The former owner's grant may still be under way to the side.
            raise self._failed("the backend server does not know the request")
        taken_back = self._ticket.take_back(link)
        self._ticket.release(link)
        if not taken_back and msg.reason == Reason.SHED.value:
            self._shed_by.add(link)
            if not self._ticket.reserved() and self._ticket.waiting:
                self._refuse_if_all_shed()
        self._place()

    def _on_ask(self, link: Link) -> None:
        """Grants a durable request once the grant is stored."""
        peer = link.peer
        if peer is None:
            self._ticket.release(link)
        elif (
            self._ticket.waiting
            and self.before_grant(link.name, peer.incarnation)
            and self._ticket.grant(link, peer.incarnation)
        ):
            self._send_grant(link, peer, direct=False)
        else:
            self._ticket.release(link)
            peer.send(Gone(self._req.request_id))

    def _refuse_if_all_shed(self) -> None:
        if self._req.keep:
            return
        usable = [
            link for link in self._dispatcher.candidates(self._req.route) if link.usable
        ]
        if usable and all(link in self._shed_by for link in usable):
            raise self._refusal(Reason.SHED, "shed under overload")

    def _on_lost(self, link: Link) -> None:
        if self._ticket.holder is link:
            self._resume(link)
        else:
            self._ticket.release(link)
            self._place()

    def _retry_or_fail(self, detail: str) -> None:
        """Runs an idempotent call again; gives up on any other."""
        self._tries += 1
        holder = self._ticket.holder
        if (
            self._req.idempotent
            and self._tries < SERVICE_TRIES
            and holder is not None
            and self._ticket.take_back(holder)
        ):
            holder.send(Withdraw(self._req.request_id))
            self._place()
            return
        raise self._failed(detail)

    def _resume(self, link: Link) -> None:
        """Asks the side, on its next session, for the rest of the answer."""
        timeout_s = min(RESUME_TIMEOUT_S, max(0.0, self._req.left_s()))
        if not link.wait_opened(timeout_s):
            if self._received == 0:
                self._retry_or_fail("the backend server's host was lost")
                return
            raise self._failed("the backend server's host was lost")
        resume = Resume(
            request_id=self._req.request_id,
            offset=self._received,
            incarnation=self._ticket.incarnation,
            route=self._req.route,
            version=self._ticket.version,
            path=self._req.path,
        )
        link.send(resume)

    def _fresh(self, msg: Chunk) -> list[bytes]:
        """Returns the parts not received before."""
        if msg.offset > self._received:
            raise self._failed("a part of the answer is missing")
        fresh = msg.parts[self._received - msg.offset :]
        self._received += len(fresh)
        return fresh

    def _check_end(self, msg: End) -> None:
        if msg.outcome != "done":
            raise self._failed(msg.detail or f"the run {msg.outcome}")
        if msg.count != self._received:
            raise self._failed("the answer is incomplete")
        self._complete = True

    # Refusals

    def _failed(self, detail: str) -> Refusal:
        return Refusal(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, detail)

    def _refusal(self, reason: Reason, detail: str) -> Refusal:
        """Builds a refusal; "not run" only if the request was never granted."""
        if self._ticket.close():
            return Refusal(
                reason, Verdict.NOT_RUN, detail, retry_after_s=self._retry_after_s()
            )
        if reason is Reason.SHED:
            reason = Reason.SERVER_LOST
        return Refusal(reason, Verdict.MAY_HAVE_RUN, detail)

    def _retry_after_s(self) -> float:
        states = [
            link.state
            for link in self._dispatcher.candidates(self._req.route)
            if link.state is not None
        ]
        waiting = sum(state.waiting for state in states)
        slots = sum(state.slots for state in states) or 1
        return DEFAULT_RETRY_AFTER_S * (1.0 + waiting / slots)


def _load(link: Link) -> float:
    state = link.state
    if state is None:
        return float("inf")
    return (state.waiting + state.slots - state.free + link.direct) / state.slots


def grant_message(ticket: Ticket, *, direct: bool) -> Grant:
    """Builds the message that gives a request to a side."""
    req = ticket.req
    return Grant(
        request_id=req.request_id,
        direct=direct,
        route=req.route,
        version=ticket.version,
        tier=req.tier,
        workspace=req.workspace,
        cost=req.cost,
        method=req.method,
        path=req.path,
        headers=dict(req.headers),
        body=req.body,
        fingerprint=req.fingerprint,
        keep=req.keep,
    )
