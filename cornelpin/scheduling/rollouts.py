"""Roll-outs: a service's traffic moves to servers of another version.

Servers of the new version run beside the old ones. A bad version fails a share of its
responses or is several times slower, at once or later, on one route or on all. It is
rolled back before it has received more than a small share of the traffic.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.core.revision import NO_REVISION, Revision
from cornelpin.scheduling.rollout_analysis import (
    OLD_GROUP,
    FailureTest,
    SlownessTest,
    server_group,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from cornelpin.scheduling.servers import BackendServer

SHARE_DURING_ANALYSIS = 0.5
"""The platform bounds the share of requests that a bad version may receive. During the
canary analysis a new version may use this part of the bound. The rest allows for counts
of peers that arrive late and for the time in which all requests go to the new version
(``SWITCH_S``)."""
SLOW_FACTOR = 2.0
"""Multiple of the old version's mean run time on a route above which a run counts as
slow. Servers of one version may differ by more; the share of such runs is compared with
the old version's. A new version has few requests and runs them faster than it would the
whole traffic, so one that is several times slower may seem to be twice as slow."""
MIN_TIMED_RUNS = 20
"""Timed runs of the old version on a route before its mean run time is used."""
MIN_TIME_S = 0.05
"""Lower bound that the gateway applies to a run's duration before it calls
``Rollouts.record_end``, seconds: a busy entry or a new connection adds as much."""
START_TOLERANCE_S = 0.5
"""A peer's ``Rollout.seen_at`` is adopted if it is earlier by more than this time, in
seconds, which is longer than the latency of a message."""
FALSE_ROLLBACK_RATE = 1e-4
"""Nominal rate of false alarms, by which a good version is rolled back, per run of the
new version. It is divided among the groups of runs that are tested."""
SLOW_KEY = "\tslow "
"""Prefix under which messages carry the counts of slow runs among the times, where
entries of earlier builds ignore them."""
MIN_RUNS = 20
"""Fewest runs of the new version for it to be declared good. If its failure rate has
risen by 0.15 from ``rollout_analysis.BASE_BAD_RATE``, at least two of them have failed
with a probability of 0.9, although two failures alone do not cause a rollback."""
SWITCH_S = 2.5
"""All new requests go to the new version for this time before the outcome of the order
is written, seconds, so that most runs on old servers have ended when these servers are
stopped."""
MAX_SWITCH_SHARE = 0.25
"""Upper bound of ``SWITCH_S`` as a part of the order's duration, for short orders."""
STATE_MARGIN_S = 1.0
"""Time before the end of an order at which its outcome is written, seconds: enough for
two slow responses of the store."""


class OrderState(enum.Enum):
    """State of an order; the values are those in log lines, not those in the store."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "taken back"


@attrs.frozen
class Order:
    """An operator's order to move a service to another version.

    Attributes:
        service: The service.
        version: Version to which its traffic moves.
        duration_s: Time in which the move is to be done, seconds.
        state: Its state according to the store.
        has_status: Whether the store holds a status of it.
        revision: Revision of the stored object, for conditional writes.
    """

    service: str
    version: str
    duration_s: float
    state: OrderState = OrderState.RUNNING
    has_status: bool = False
    revision: Revision = NO_REVISION


@attrs.define
class Counts:
    """Counts of one entry for an order; they only grow.

    Attributes:
        sent: Requests sent to servers of any version.
        sent_new: Those sent to the new version.
        runs: Finished runs by route, as a list in the form of the message to peers:
            runs of old versions (index 0), failed ones among them (1), runs of the new
            version (2), failed ones among them (3).
        times: Timed runs of old versions by route, as a list: the sum of their
            normalised times (``Rollouts.record_end``) and their number.
        slow: Runs and slow ones among them by group of servers and route.
    """

    sent: int = 0
    sent_new: int = 0
    runs: dict[str, list[int]] = attrs.field(factory=dict)
    times: dict[str, list[float]] = attrs.field(factory=dict)
    slow: dict[tuple[str, str], list[int]] = attrs.field(factory=dict)

    def add(
        self, route: str, group: str, *, new: bool, failed: bool, slow: bool
    ) -> None:
        """Counts a finished run on a server of a group."""
        cell = self.runs.setdefault(route, [0, 0, 0, 0])
        # The columns of the new version follow the two of the old versions.
        cell[2 * new] += 1
        cell[2 * new + 1] += failed
        timed = self.slow.setdefault((group, route), [0, 0])
        timed[0] += 1
        timed[1] += slow

    def time(self, route: str, normalised_time: float) -> None:
        """Records the normalised time of a run of an old version."""
        into = self.times.setdefault(route, [0.0, 0])
        into[0] += normalised_time
        into[1] += 1

    def export(self) -> list[Any]:
        """Returns the counts for a message to peers."""
        runs = {route: list(cell) for route, cell in self.runs.items()}
        times = {route: list(cell) for route, cell in self.times.items()}
        slow = {
            f"{SLOW_KEY}{group} {route}": list(cell)
            for (group, route), cell in self.slow.items()
        }
        return [self.sent, self.sent_new, runs, times | slow]

    @classmethod
    def decode(cls, exported: Sequence[Any]) -> Counts:
        """Returns the counts that ``export`` put in a message."""
        sent, sent_new, runs, times = exported
        timed, slow = {}, {}
        for key, cell in times.items():
            if key.startswith(SLOW_KEY):
                group, _, route = key.removeprefix(SLOW_KEY).partition(" ")
                slow[group, route] = [int(number) for number in cell]
            else:
                timed[key] = cell
        return cls(sent, sent_new, runs, timed, slow)


@attrs.define
class Rollout:
    """One order with the counts of all entries.

    Attributes:
        order: The order.
        seen_at: Monotonic time at which any entry first saw it.
        fault: Reason why the new version was found bad; empty if it was not.
        own: Counts of this entry.
        others: Counts of other entries, by name and incarnation.
        lost_outcome: Outcome that the store held and lost in a restore, until it is
            written again.
    """

    order: Order
    seen_at: float
    fault: str = ""
    lost_outcome: OrderState | None = None
    own: Counts = attrs.field(factory=Counts)
    others: dict[tuple[str, str], Counts] = attrs.field(factory=dict)
    _failure_tests: dict[str, FailureTest] = attrs.field(factory=dict)
    _slowness_tests: dict[str, SlownessTest] = attrs.field(factory=dict)

    @property
    def state(self) -> OrderState:
        """State of the order; an outcome lost in a restore of the store still holds."""
        return self.lost_outcome or self.order.state

    def update(self, order: Order) -> None:
        """Takes over the order as read from the store again."""
        if order.state is not OrderState.RUNNING:
            self.lost_outcome = None
        elif (
            self.state is not OrderState.RUNNING
            and order.revision.era > self.order.revision.era
        ):
            self.lost_outcome = self.state
        self.order = order

    def totals(self) -> Counts:
        """Returns the summed counts of all entries."""
        total = Counts()
        for counts in (self.own, *self.others.values()):
            total.sent += counts.sent
            total.sent_new += counts.sent_new
            for route, cell in counts.runs.items():
                into = total.runs.setdefault(route, [0, 0, 0, 0])
                for column, number in enumerate(cell):
                    into[column] += number
            for route, (time_sum, runs) in counts.times.items():
                timed = total.times.setdefault(route, [0.0, 0])
                timed[0] += time_sum
                timed[1] += runs
            for key, slow in counts.slow.items():
                slow_total = total.slow.setdefault(key, [0, 0])
                slow_total[0] += slow[0]
                slow_total[1] += slow[1]
        return total

    def ends_at(self) -> float:
        """Returns the monotonic time by which the order must be done."""
        return self.seen_at + self.order.duration_s

    def switching(self, now: float) -> bool:
        """Returns whether all new requests go to the new version."""
        switch_s = min(SWITCH_S, MAX_SWITCH_SHARE * self.order.duration_s)
        return now >= self.ends_at() - STATE_MARGIN_S - switch_s and self.proven()

    def proven(self) -> bool:
        """Returns whether the new version has enough runs and was not found bad."""
        if self.fault:
            return False
        # Column 2 holds the runs of the new version.
        return sum(cell[2] for cell in self.totals().runs.values()) >= MIN_RUNS

    def record_time(self, route: str, normalised_time: float, *, new: bool) -> bool:
        """Records a run's normalised time; returns whether the run was slow.

        Only times of the old version are kept; runs of both versions are compared
        with them.
        """
        time_sum, samples = self.totals().times.get(route, (0.0, 0))
        if not new:
            self.own.time(route, normalised_time)
        return (
            samples >= MIN_TIMED_RUNS
            and normalised_time > SLOW_FACTOR * time_sum / samples
        )

    def assess(self) -> bool:
        """Updates the tests; returns whether this call found the new version bad."""
        if self.fault:
            return False
        total = self.totals()
        groups = {"": _sum_of(total.runs.values()), **total.runs}
        # Each group has a test of failures and one of slowness.
        threshold = math.log(2 * len(groups) / FALSE_ROLLBACK_RATE)
        for name, cell in groups.items():
            test = self._failure_tests.setdefault(name, FailureTest())
            test.update(cell)
            if test.score >= threshold:
                # Columns as in ``FailureTest.update``.
                self.fault = _reason("failed", name, cell[2:], cell[:2])
                return True
            by_servers = _slow_by_servers(total.slow, name)
            slowness = self._slowness_tests.setdefault(name, SlownessTest())
            slowness.update(by_servers)
            if slowness.alarms(threshold):
                old = by_servers.pop(OLD_GROUP, [0, 0])
                new = [sum(column) for column in zip(*by_servers.values(), strict=True)]
                self.fault = _reason("were slow", name, new, old)
                return True
        return False


def _slow_by_servers(
    slow: Mapping[tuple[str, str], Sequence[int]], name: str
) -> dict[str, list[int]]:
    """Returns runs and slow ones of a route, or of all if empty, by servers' group."""
    by_servers: dict[str, list[int]] = {}
    for (group, route), (runs, slow_runs) in slow.items():
        if name in {"", route}:
            cell = by_servers.setdefault(group, [0, 0])
            cell[0] += runs
            cell[1] += slow_runs
    return by_servers


def _reason(what: str, name: str, new: Sequence[int], old: Sequence[int]) -> str:
    where = f" on route {name}" if name else ""
    return (
        f"{new[1]} of {new[0]} runs {what}{where}, "
        f"with the old version {old[1]} of {old[0]}"
    )


class Rollouts:
    """Roll-out orders of all services.

    Args:
        share: The platform's bound on a bad version's share of the requests, 0 to 1.
        extra: Requests that a bad version may receive beyond that share.
    """

    def __init__(self, *, share: float, extra: float) -> None:
        self._share = SHARE_DURING_ANALYSIS * share
        self._extra = SHARE_DURING_ANALYSIS * extra
        self._rollouts: dict[str, Rollout] = {}

    def set_order(self, order: Order, now: float) -> bool:
        """Stores an order as read from the store; returns whether it is new."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.version == order.version:
            known.update(order)
            return False
        self._rollouts[order.service] = Rollout(order, now)
        return True

    def drop_order(self, service: str) -> None:
        """Drops an order that was removed from the store."""
        self._rollouts.pop(service, None)

    def usable(
        self, service: str, servers: Iterable[BackendServer], now: float
    ) -> list[BackendServer]:
        """Returns the servers that may receive a request of a service now."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return list(servers)
        old = [s for s in servers if s.version != rollout.order.version]
        new = [s for s in servers if s.version == rollout.order.version]
        if rollout.state is OrderState.DONE:
            return new or old
        if rollout.state is OrderState.ROLLED_BACK or rollout.fault:
            return old
        if rollout.switching(now):
            return new or old
        return old + new if self._new_allowed(rollout) else old

    def _new_allowed(self, rollout: Rollout) -> bool:
        """Returns whether the new version may receive one more request."""
        total = rollout.totals()
        # The extra grows with the traffic, so that a version bad from the start costs
        # little.
        extra = min(self._extra, 1 + self._share * total.sent)
        return total.sent_new + 1 <= self._share * total.sent + extra

    def needs_traffic(self, server: BackendServer) -> bool:
        """Returns whether a server's version is below its share of the traffic."""
        rollout = self._rollouts.get(server.service)
        if rollout is None or rollout.state is not OrderState.RUNNING:
            return False
        if rollout.fault or server.version != rollout.order.version:
            return False
        total = rollout.totals()
        return total.sent_new + 1 <= self._share * total.sent

    def record_send(self, server: BackendServer) -> None:
        """Counts a request sent to a server."""
        rollout = self._rollouts.get(server.service)
        if rollout is None or rollout.state is not OrderState.RUNNING:
            return
        rollout.own.sent += 1
        rollout.own.sent_new += server.version == rollout.order.version

    def record_end(
        self, server: BackendServer, route: str, *, failed: bool, took_s: float | None
    ) -> bool:
        """Records the end of a run; returns whether the new version is newly found bad.

        Args:
            server: Server on which it ran.
            route: Name of its route.
            failed: Whether the server failed it.
            took_s: Its normalised time, by which runs of one route are compared: the
                duration in seconds, or for a stream, despite the parameter's name, the
                seconds per unit of ``Job.actual_cost``. None if not measured.
        """
        rollout = self._rollouts.get(server.service)
        if rollout is None or rollout.state is not OrderState.RUNNING:
            return False
        new = server.version == rollout.order.version
        slow = took_s is not None and rollout.record_time(route, took_s, new=new)
        group = server_group(server) if new else OLD_GROUP
        rollout.own.add(route, group, new=new, failed=failed, slow=slow)
        return rollout.assess()

    def pending_writes(self, now: float) -> list[tuple[Order, OrderState, str]]:
        """Returns states that are to be written to orders in the store, and reasons."""
        writes = []
        for rollout in self._rollouts.values():
            if rollout.lost_outcome is not None:
                reason = "lost in a restore of the store"
                writes.append((rollout.order, rollout.lost_outcome, reason))
                continue
            if rollout.state is not OrderState.RUNNING:
                continue
            late = now >= rollout.ends_at() - STATE_MARGIN_S
            if rollout.fault:
                writes.append((rollout.order, OrderState.ROLLED_BACK, rollout.fault))
            elif late and rollout.proven():
                writes.append((rollout.order, OrderState.DONE, "no fault detected"))
            elif now >= rollout.ends_at():
                reason = f"fewer than {MIN_RUNS} runs of the new version"
                writes.append((rollout.order, OrderState.ROLLED_BACK, reason))
            elif not rollout.order.has_status:
                writes.append((rollout.order, OrderState.RUNNING, "ordered"))
        return writes

    def export(self, now: float) -> dict[str, list[Any]]:
        """Returns running orders with this entry's counts for its peers, by service."""
        return {
            service: [
                rollout.order.version,
                round(now - rollout.seen_at, 2),
                rollout.fault,
                *rollout.own.export(),
            ]
            for service, rollout in self._rollouts.items()
            if rollout.state is OrderState.RUNNING
        }

    def merge_from(
        self,
        entry: tuple[str, str],
        received: Mapping[str, Sequence[Any]],
        now: float,
    ) -> bool:
        """Merges another entry's counts; returns whether a version is newly found bad.

        Args:
            entry: Name and incarnation of the entry.
            received: What ``export`` returned at that entry.
            now: Monotonic time in seconds.
        """
        found = False
        for service, report in received.items():
            version, age_s, fault, *counts = report
            rollout = self._rollouts.get(service)
            if rollout is None or rollout.order.version != version:
                continue
            if now - age_s < rollout.seen_at - START_TOLERANCE_S:
                rollout.seen_at = now - age_s
            rollout.others[entry] = Counts.decode(counts)
            if fault and not rollout.fault:
                rollout.fault, found = str(fault), True
            found = rollout.assess() or found
        return found


def _sum_of(cells: Iterable[Sequence[int]]) -> list[int]:
    return [sum(column) for column in zip(*cells, strict=True)] or [0, 0, 0, 0]
