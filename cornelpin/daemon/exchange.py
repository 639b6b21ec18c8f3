"""One request at its entry, from acceptance to the last byte of the response.

Places the request, resumes its response after a lost session, runs it again where that
is safe, and otherwise ends with a refusal that says whether it may have run.
"""

from __future__ import annotations

import queue
import time
from typing import TYPE_CHECKING, Any

from cornelpin.core.execution import ExecutionStatus, Reason, Refusal
from cornelpin.daemon.messages import (
    Ask,
    Cancel,
    Chunk,
    End,
    Gone,
    Head,
    NotRun,
    Resume,
    Withdraw,
)
from cornelpin.daemon.placement import NoServer, Placement
from cornelpin.daemon.request_times import RequestTimes
from cornelpin.daemon.ticket_table import DEFAULT_RETRY_AFTER_S, Evicted, SessionEnded

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cornelpin.core.tickets import Ticket
    from cornelpin.daemon.dispatch import Dispatcher
    from cornelpin.daemon.links import Link
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

# Interval of the checks for the deadline and an abandoned request.
POLL_S = 0.25
MIN_POLL_S = 0.01
# Maximum wait for a new session of the side that holds the request.
RESUME_TIMEOUT_S = 6.0
# Most attempts of an idempotent request, including the first; other requests are not
# run again after a failure.
MAX_SERVICE_ATTEMPTS = 3
QUARANTINE_DETAIL = "this content crashed the backend servers that ran it"
MAX_RETRY_AFTER_S = 30.0


class Exchange:
    """Drives one request from acceptance to its last byte, in its serving thread.

    Args:
        process: The process.
        dispatcher: The entry's dispatcher.
        ticket: Ticket of the request.

    Attributes:
        should_abandon: Returns whether to cancel the request, for instance because its
            caller has disconnected.
        before_grant: Stores a grant of a durable request, given the name of the server
            and the ticket; returns whether it was stored. None for other requests.
    """

    def __init__(
        self, process: Process, dispatcher: Dispatcher, ticket: Ticket
    ) -> None:
        self._process = process
        self._dispatcher = dispatcher
        self._ticket = ticket
        self._req = ticket.req
        self._received = 0  # Number of body parts.
        self._head_received = False
        self._complete = False
        self._failed_attempts = 0
        self._check_at = time.monotonic() + POLL_S
        cached = dispatcher.preferences.prefixes.cached_bytes(self._req.prefix)
        cached_bytes = max(cached.values(), default=0)
        self._times = RequestTimes(process.meters, self._req, cached_bytes)
        self._placement = Placement(
            process,
            ticket,
            dispatcher.candidates,
            dispatcher.choose_version,
            dispatcher.must_run_alone,
            dispatcher.preferences,
            dispatcher.longest_wait_s(self._req),
        )
        self.should_abandon: Callable[[], bool] = lambda: False
        self.before_grant: Callable[[str, Ticket], bool] | None = None

    @property
    def waiting(self) -> bool:
        """Whether the request is not granted yet."""
        return self._ticket.waiting

    def head(self) -> Head:
        """Places the request and waits for the head of the response.

        Raises:
            Refusal: If the request is refused or fails.
        """
        self._place(direct=True)
        while True:
            msg, link = self._next()
            if isinstance(msg, Head):
                self._head_received = True
                self._times.on_head()
                return msg
            self._on_event_before_head(msg, link)

    def parts(self) -> Iterator[list[bytes]]:
        """Yields the body parts of the response, in batches as they arrive.

        A part is one stream event of a model, or a piece of a service's body.

        Raises:
            Refusal: If the response is incomplete.
        """
        while not self._complete:
            new_parts = self._on_event_after_head(*self._next())
            if new_parts:
                yield new_parts

    def _on_event_after_head(self, msg: Any, link: Any) -> list[bytes]:
        """Handles any event after the head; returns the new parts, if it has some."""
        match msg:
            case Chunk():
                return self._new_parts(msg)
            case End():
                self._check_end(msg)
            case SessionEnded() if self._ticket.holder is link:
                self._resume(link)
            case NotRun() if self._ticket.held_by(link, msg.attempt):
                raise self._failed("the backend server lost the request")
            case Ask():
                link.send(Gone(msg.request_id))
        return []

    def close(self) -> None:
        """Ends the exchange; cancels the run and withdraws the reservations."""
        ticket = self._ticket
        request_id = self._req.request_id
        ticket.close()
        holder = ticket.holder
        if holder is not None:
            if not self._complete:
                holder.send(Cancel(request_id, ticket.attempt))
            # Lets the side drop the response that it keeps for the run.
            holder.send(Withdraw(request_id))
        for link in ticket.clear_reservations():
            link.send(Withdraw(request_id))
        self._dispatcher.tickets.remove(request_id)
        self._times.close(ticket, complete=self._complete)

    # Events

    def _next(self) -> tuple[Any, Any]:
        """Returns the next event of the ticket and its link.

        Raises:
            Refusal: If the deadline or the end of the wait has passed or the caller has
                disconnected.
        """
        while True:
            # Checked by time, not only when idle: a steady stream of parts would hide
            # that the caller has disconnected.
            if time.monotonic() >= self._check_at:
                self._check_time()
            try:
                msg, link = self._ticket.events.get(timeout=self._poll_s())
            except queue.Empty:
                pass
            else:
                if not self._superseded(msg, link):
                    return msg, link
            if self._ticket.waiting:
                self._place()

    def _poll_s(self) -> float:
        """Returns the seconds to wait for an event, at most to the end of the wait."""
        if not self._ticket.waiting:
            return POLL_S
        remaining_s = self._placement.wait_until - time.monotonic()
        if remaining_s < POLL_S:
            self._check_at = min(self._check_at, self._placement.wait_until)
        return min(max(remaining_s, MIN_POLL_S), POLL_S)

    def _superseded(self, msg: Any, link: Any) -> bool:
        """Whether an event belongs to a grant other than the current one."""
        if not isinstance(msg, Head | Chunk | End):
            return False
        return not self._ticket.held_by(link, msg.attempt)

    def _check_time(self) -> None:
        """Refuses a request that is abandoned, past its deadline or its longest wait.

        A durable request is not refused because all sides shed it: the sides
        get a new reservation after the check.
        """
        self._check_at = time.monotonic() + POLL_S
        if self._req.durable:
            self._placement.shed_by.clear()
        if self.should_abandon():
            raise self._refusal(Reason.CANCELLED, "the caller has gone away")
        if self._req.remaining_s() <= 0:
            raise self._refusal(Reason.DEADLINE, "the deadline has passed")
        if self._ticket.waiting and time.monotonic() > self._placement.wait_until:
            detail = "no slot in time to be answered before the deadline"
            raise self._refusal(Reason.SHED, detail)

    def _on_event_before_head(self, msg: Any, link: Any) -> None:
        """Handles an event before the head."""
        match msg:
            case Evicted():
                raise self._refusal(Reason.SHED, "shed for a higher tier")
            case Ask():
                self._on_ask(link)
            case NotRun():
                self._on_not_run(msg, link)
            case SessionEnded():
                self._on_session_ended(link)
            case End():
                self._retry_or_fail(msg.detail or msg.outcome)

    def _on_not_run(self, msg: NotRun, link: Link) -> None:
        """Places the request again: the side certainly did not run it."""
        if self._ticket.adopted:
            # The grant of the former owner may still be on its way to the side.
            raise self._failed("the backend server does not know the request")
        # Attempt 0 refuses a reservation, any other number a grant.
        if msg.attempt:
            requeued = self._ticket.requeue(link, msg.attempt)
            if requeued and msg.reason == Reason.QUARANTINED.value:
                raise self._refusal(Reason.QUARANTINED, QUARANTINE_DETAIL)
            # For a refused grant, NO_SERVER means that the backend server of this side
            # is unreachable or does not serve the version.
            if msg.reason == Reason.NO_SERVER.value:
                self._placement.refused_by.add(link)
            self._place()
            return
        self._ticket.release(link)
        if msg.reason == Reason.SHED.value:
            self._placement.shed_by.add(link)
            if not self._ticket.reserved() and self._ticket.waiting:
                self._refuse_if_all_shed()
        self._place()

    def _on_ask(self, link: Link) -> None:
        """Grants a durable request to a side after the grant is stored."""
        peer = link.peer
        if peer is not None and self._grant_stored(link, peer):
            self._placement.send_grant(link, peer, direct=False)
            for other in self._ticket.clear_reservations():
                other.send(Withdraw(self._req.request_id))
            return
        self._ticket.release(link)
        link.send(Gone(self._req.request_id))

    def _grant_stored(self, link: Link, peer: Peer) -> bool:
        if not self._ticket.waiting or self.before_grant is None or link.retired:
            return False
        self._dispatcher.choose_version(self._ticket, [link])
        self._ticket.incarnation = peer.incarnation
        stored = self.before_grant(link.name, self._ticket)
        return stored and self._ticket.grant(link, peer.incarnation)

    def _refuse_if_all_shed(self) -> None:
        """Refuses the request once every usable side has shed it."""
        if self._req.durable:
            return
        usable = [
            link for link in self._dispatcher.candidates(self._req.route) if link.usable
        ]
        if usable and all(link in self._placement.shed_by for link in usable):
            raise self._refusal(Reason.SHED, "shed under overload")

    def _on_session_ended(self, link: Link) -> None:
        if self._ticket.holder is link:
            self._resume(link)
        else:
            self._ticket.release(link)
            self._place()

    def _retry_or_fail(self, detail: str) -> None:
        """Runs an idempotent call again if no head was received; fails any other."""
        self._failed_attempts += 1
        holder = self._ticket.holder
        if (
            self._req.idempotent
            and not self._head_received
            and self._failed_attempts < MAX_SERVICE_ATTEMPTS
            and holder is not None
            and self._ticket.requeue(holder, self._ticket.attempt, may_have_run=True)
        ):
            holder.send(Cancel(self._req.request_id, self._ticket.attempt))
            holder.send(Withdraw(self._req.request_id))
            self._place()
            return
        raise self._failed(detail)

    def _resume(self, link: Link) -> None:
        """Requests the rest of the response on the next session of the side."""
        timeout_s = min(RESUME_TIMEOUT_S, max(0.0, self._req.remaining_s()))
        if not link.wait_for_session(timeout_s):
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
            attempt=self._ticket.attempt,
            age_s=self._ticket.since_grant_s,
        )
        link.send(resume)

    def _new_parts(self, msg: Chunk) -> list[bytes]:
        """Returns the parts not received before."""
        if msg.offset > self._received:
            raise self._failed("a part of the answer is missing")
        new_parts = msg.parts[self._received - msg.offset :]
        self._received += len(new_parts)
        self._times.on_parts(new_parts)
        return new_parts

    def _check_end(self, msg: End) -> None:
        if msg.outcome != "done":
            raise self._failed(msg.detail or f"the run {msg.outcome}")
        if msg.count != self._received:
            raise self._failed("the answer is incomplete")
        self._complete = True
        self._dispatcher.answer_times.observe(
            self._req.route,
            self._req.tier,
            parts=self._received,
            seconds=self._ticket.since_grant_s,
        )

    def _place(self, *, direct: bool = False) -> None:
        """Places the request while it waits.

        Raises:
            Refusal: If the route has no backend server.
        """
        try:
            self._placement.place(direct=direct)
        except NoServer:
            raise self._refusal(
                Reason.NO_SERVER, "the route has no backend server"
            ) from None

    # Refusals

    def _failed(self, detail: str) -> Refusal:
        """Builds the refusal of a request that may have run."""
        return self._record_refusal(
            Refusal(Reason.BACKEND_FAILED, ExecutionStatus.MAY_HAVE_RUN, detail)
        )

    def _refusal(self, reason: Reason, detail: str) -> Refusal:
        """Closes the ticket and builds the refusal of its request.

        The refusal says "not run" only if the request certainly did not run, which is
        what ``Ticket.close`` returns.
        """
        if self._ticket.close():
            return self._record_refusal(
                Refusal(
                    reason,
                    ExecutionStatus.NOT_RUN,
                    detail,
                    retry_after_s=self._retry_after_s(),
                )
            )
        # SHED is reported only for a request that did not run; SERVER_LOST also stands
        # for an execution with an unknown outcome.
        if reason is Reason.SHED:
            reason = Reason.SERVER_LOST
        return self._record_refusal(
            Refusal(reason, ExecutionStatus.MAY_HAVE_RUN, detail)
        )

    def _record_refusal(self, refusal: Refusal) -> Refusal:
        """Sets the tier of the refusal and records its reason as the outcome."""
        refusal.tier = self._req.tier
        self._times.outcome = refusal.reason.value
        return refusal

    def _retry_after_s(self) -> float:
        """Returns the estimated seconds until the queues of the route are drained."""
        states = [
            link.state
            for link in self._dispatcher.candidates(self._req.route)
            if link.state is not None
        ]
        waiting = sum(state.waiting for state in states)
        drain_per_s = sum(state.drain_per_s for state in states)
        if drain_per_s == 0:
            return DEFAULT_RETRY_AFTER_S
        drained_s = waiting / drain_per_s
        return min(max(drained_s, DEFAULT_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
