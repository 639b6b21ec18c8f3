"""Dispatch at an entry: admits requests and handles the messages of the sides."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cornelpin.core.answer_times import AnswerTimes
from cornelpin.core.config import Limits
from cornelpin.core.execution import ExecutionStatus, Reason, Refusal
from cornelpin.core.limits import EntryShare, RateLimiter
from cornelpin.core.reservations import longest_wait_s
from cornelpin.core.tickets import Request, Ticket
from cornelpin.daemon.exchange import QUARANTINE_DETAIL, Exchange
from cornelpin.daemon.messages import Ask, Chunk, End, Gone, Head, NotRun, Withdraw
from cornelpin.daemon.placement import grant_message
from cornelpin.daemon.preferences import Preferences
from cornelpin.daemon.ticket_table import SessionEnded, TicketTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.links import Link, LinkTable
    from cornelpin.daemon.move_view import MoveView
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process
    from cornelpin.daemon.suspicion_sync import SuspicionSync
    from cornelpin.daemon.ticket_table import TicketLimits

# Exchange is defined in exchange.py and re-exported for callers of ``open``.
__all__ = ["Dispatcher", "Exchange"]


class Dispatcher:
    """Opens an exchange for each request and routes the sides' messages to it.

    Args:
        process: The process.
        links: Links to the sides.
        limits: Limits of what the entry holds.

    Attributes:
        moves: Chooses the versions of model routes; set by the entry. With None, a
            request keeps the version that it was opened with.
        suspicions: Suspected and quarantined contents; set by the entry. With None,
            there are none.
        entry_share: Returns this entry's share of the workspaces' limits; replaced by
            the entry.
    """

    def __init__(
        self, process: Process, links: LinkTable, limits: TicketLimits
    ) -> None:
        self._process = process
        self.links = links
        self.preferences = Preferences()
        self.answer_times = AnswerTimes()
        self.tickets = TicketTable(limits, self._shed_orders)
        self.moves: MoveView | None = None
        self.suspicions: SuspicionSync | None = None
        self.entry_share: Callable[[], EntryShare] = EntryShare
        self._rates = RateLimiter()
        self._candidates: dict[str, tuple[tuple[int, int], list[Link]]] = {}

    def watched_links(self) -> set[Link]:
        """Returns the links to ping often: busy, or next to be measured."""
        to_explore = self.preferences.to_explore
        busy = self.tickets.links()
        return busy if to_explore is None else busy | {to_explore}

    def on_message(self, link: Link, peer: Peer, msg: Any) -> bool:
        """Handles a message of a side; returns whether it concerned a request."""
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
        if ticket is not None and ticket.waiting and ticket.req.durable:
            # The exchange's thread stores the grant before it sends it.
            ticket.events.put((msg, link))
            return
        if ticket is None or link.retired:
            peer.send(Gone(request_id))
            return
        if ticket.waiting:
            self.choose_version(ticket, [link])
        if ticket.grant(link, peer.incarnation):
            self.preferences.record_grant(ticket.req, link)
            self._process.ring.record(
                "request.granted", request=request_id, detail=link.name
            )
            peer.send(grant_message(ticket, direct=False))
            for other in ticket.clear_reservations():
                other.send(Withdraw(request_id))
        else:
            peer.send(Gone(request_id))

    def open(self, req: Request, *, version: str = "", attempt: int = 0) -> Exchange:
        """Admits a request and returns its exchange.

        Args:
            req: The request.
            version: Backend server version to use, or an empty string. A model route's
                version is chosen by ``moves`` instead, if there are any.
            attempt: Number of earlier grants; not 0 only for a durable request that is
                run again.

        Raises:
            Refusal: If the content is quarantined, the workspace is over its limit or
                the entry cannot hold the request.
        """
        if self.suspicions is not None and self.suspicions.is_quarantined(
            req.fingerprint
        ):
            raise Refusal(Reason.QUARANTINED, detail=QUARANTINE_DETAIL)
        limits = self._limits_of(req)
        share = self.entry_share()
        self._rates.admit(req.workspace, limits, share, req.cost)
        ticket = Ticket(req)
        ticket.version = version
        ticket.resume_from(attempt)
        if self.moves is not None and req.kind == "model":
            ticket.version = self.moves.choose_version(req.route, req.request_id)
        concurrent = limits.concurrent
        if concurrent is not None:
            concurrent = share.of_count(concurrent)
        self.tickets.admit(ticket, concurrent)
        self._process.ring.record("request.accepted", request=req.request_id)
        return Exchange(self._process, self, ticket)

    def longest_wait_s(self, req: Request) -> float:
        """Returns how many seconds a request may wait and still meet its deadline."""
        if req.durable:
            return req.max_wait_s
        answer_s = self.answer_times.estimate_s(req.route, req.tier, req.cost)
        return longest_wait_s(req.max_wait_s, req.remaining_s(), answer_s)

    def adopt(
        self,
        req: Request,
        *,
        server: str,
        incarnation: str,
        version: str,
        attempt: int,
    ) -> Exchange:
        """Takes over a request that a failed entry had granted; returns its exchange.

        Raises:
            Refusal: If its backend server is not configured any more or the entry
                cannot hold it.
        """
        links = self.links.of_servers([server])
        if not links:
            raise Refusal(
                Reason.SERVER_LOST, ExecutionStatus.MAY_HAVE_RUN, f"{server} is gone"
            )
        ticket = Ticket(req)
        ticket.version = version
        ticket.adopted = True
        # ``grant`` counts the adopted grant again.
        ticket.resume_from(attempt - 1)
        ticket.grant(links[0], incarnation)
        self.tickets.admit(ticket)
        # Makes the exchange resume the response on the current session.
        ticket.events.put((SessionEnded(), links[0]))
        return Exchange(self._process, self, ticket)

    def _limits_of(self, req: Request) -> Limits:
        workspace = self._process.view.config.workspaces.get(req.workspace)
        return workspace.limits if workspace is not None else Limits()

    def choose_version(self, ticket: Ticket, links: list[Link]) -> None:
        """Sets the version of a ticket to one that is valid and loaded at the links."""
        if self.moves is None or ticket.req.kind != "model":
            return
        route = ticket.req.route
        version = self.moves.recheck_version(route, ticket.version)
        if not any(link.has_version(version) for link in links):
            version = self.moves.fallback_version(route, version)
        ticket.version = version

    def _shed_orders(self) -> dict[str, int]:
        tiers = self._process.view.config.tiers
        return {name: tier.shed_order for name, tier in tiers.items()}

    def must_run_alone(self, req: Request) -> bool:
        """Whether a request's content is suspected of crashing backend servers."""
        return self.suspicions is not None and self.suspicions.is_suspect(
            req.fingerprint
        )

    def candidates(self, route: str) -> list[Link]:
        """Returns the links to the backend servers of a route.

        The list is cached until the configuration or the links change, so that the
        cost of a decision does not grow with the backend servers of the route.
        """
        config = self._process.view.config
        cache_key = (config.number, self.links.generation)
        cached = self._candidates.get(route)
        if cached is not None and cached[0] == cache_key:
            return cached[1]
        cfg = config.routes.get(route)
        links = self.links.of_servers(cfg.backend_servers) if cfg is not None else []
        self._candidates[route] = (cache_key, links)
        return links
