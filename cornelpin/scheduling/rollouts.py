"""Roll-outs: moving a service's traffic to servers of another version.

Load pattern: servers of a new version come up beside the old ones. A bad version fails
a part of its answers or is several times slower, at once or later, on all routes or on
one; whatever it is, it must have had only a small part of the traffic.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.core.judgement import failure_ratio

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from cornelpin.scheduling.servers import BackendServer

SHARE_USED = 0.5
"""Part of the platform's bound on a new version's share that is used until it is
judged: the rest is left for the entries' delayed counts and for the last seconds."""
SLOW_FACTOR = 3.0
"""Multiple of the old version's usual time from which a run counts as slow: the servers
of one version differ by up to this factor among themselves."""
MIN_USUAL_RUNS = 20
"""Runs of the old version on a route before its usual time is trusted."""
MIN_BAD_RATE = 0.05
"""Share of bad runs that is expected of any version: servers of the slowest kind are
taken for slow now and then."""
PRIOR_RUNS = 20
"""Runs at that rate that the old version's own rate is blended with."""
MIN_TIME_S = 0.05
"""Time below which runs do not differ: what a busy entry or a new connection adds."""
AGE_SLACK_S = 0.5
"""Difference from which another entry's memory of an order's start goes before ours:
more than a message takes."""
ALPHA = 1e-4
"""Chance that a sound version is taken back, by one sum of evidence."""
RISES = (0.15, 0.4)
"""Rises of the share of bad runs that are tested against: a fault on one route of
several, and one on all."""
MIN_RUNS = 20
"""Judged runs without which a version is not stated good: a rise of 0.15 shows in them
with nine chances in ten."""
SWITCH_S = 2.5
"""Time before the end of an order in which all new requests go to the new version, so
that most runs on the old servers end before they are stopped."""
MAX_SWITCH_SHARE = 0.25
"""The same as the largest part of a short order."""
STATE_MARGIN_S = 1.0
"""Time before the end of an order in which its outcome is written: a slow answer of the
store, sent twice."""


class Outcome(enum.Enum):
    """How an order stands."""

    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken back"


@attrs.frozen
class Order:
    """An operator's order to move a service to a version.

    Attributes:
        service: The service.
        version: Version that its traffic is to be moved to.
        duration_s: Time in which that is to be done.
        outcome: How it stands, as the store says.
        stated: Whether the store says it at all.
        revision: Revision of the object, by which a change of it is conditional.
    """

    service: str
    version: str
    duration_s: float
    outcome: Outcome = Outcome.RUNNING
    has_status: bool = False
    revision: int = 0


@attrs.define
class Counts:
    """What one process has seen of an order; grows only.

    Attributes:
        sent: Requests sent to servers of any version.
        sent_new: Those sent to the new version.
        runs: Judged runs by route, each as old runs, bad ones, new runs, bad ones.
        times: Summed time and number of the old version's timed runs, by route.
    """

    sent: int = 0
    sent_new: int = 0
    runs: dict[str, list[int]] = attrs.field(factory=dict)
    times: dict[str, list[float]] = attrs.field(factory=dict)

    def add(self, route: str, *, new: bool, bad: bool) -> None:
        """Counts a judged run."""
        cell = self.runs.setdefault(route, [0, 0, 0, 0])
        cell[2 * new] += 1
        cell[2 * new + 1] += bad

    def time(self, route: str, seconds: float) -> None:
        """Takes the time of a run of the old version."""
        into = self.times.setdefault(route, [0.0, 0])
        into[0] += seconds
        into[1] += 1

    def export(self) -> list[Any]:
        """Returns the counts for a message."""
        return [self.sent, self.sent_new, self.runs, self.times]


@attrs.define
class _Evidence:
    """Restarting sums of log likelihood ratios of a group of runs (Page's test)."""

    seen: list[int] = attrs.field(factory=lambda: [0, 0, 0, 0])
    sums: dict[float, float] = attrs.field(factory=dict)

    def take(self, total: Sequence[int]) -> None:
        runs, bad = total[2] - self.seen[2], total[3] - self.seen[3]
        self.seen = list(total)
        prior = MIN_BAD_RATE * PRIOR_RUNS
        base = max(MIN_BAD_RATE, (total[1] + prior) / (total[0] + PRIOR_RUNS))
        for rise in RISES:
            if base + rise >= 1:
                continue
            ratio = failure_ratio(runs, bad, base, base + rise)
            self.sums[rise] = max(0.0, self.sums.get(rise, 0.0) + ratio)

    @property
    def score(self) -> float:
        return max(self.sums.values(), default=0.0)


@attrs.define
class Rollout:
    """One order as this process follows it.

    Attributes:
        order: The order.
        seen_at: Monotonic time from which it runs, by the longest memory of all
            entries.
        bad: Why the version was judged bad, empty while it was not.
        own: What this process has counted.
        others: What other processes have counted, by name and incarnation.
    """

    order: Order
    seen_at: float
    bad: str = ""
    own: Counts = attrs.field(factory=Counts)
    others: dict[tuple[str, str], Counts] = attrs.field(factory=dict)
    _evidence: dict[str, _Evidence] = attrs.field(factory=dict)

    def totals(self) -> Counts:
        """Returns the counts of all processes together."""
        total = Counts()
        for counts in (self.own, *self.others.values()):
            total.sent += counts.sent
            total.sent_new += counts.sent_new
            for route, cell in counts.runs.items():
                into = total.runs.setdefault(route, [0, 0, 0, 0])
                for place, number in enumerate(cell):
                    into[place] += number
            for route, (seconds, runs) in counts.times.items():
                timed = total.times.setdefault(route, [0.0, 0])
                timed[0] += seconds
                timed[1] += runs
        return total

    def ends_at(self) -> float:
        """Returns the monotonic time at which the order is to be done."""
        return self.seen_at + self.order.duration_s

    def switching(self, now: float) -> bool:
        """Returns whether all new requests go to the new version."""
        switch_s = min(SWITCH_S, MAX_SWITCH_SHARE * self.order.duration_s)
        return now >= self.ends_at() - STATE_MARGIN_S - switch_s and self.proven()

    def proven(self) -> bool:
        """Returns whether the version was judged long enough and found sound."""
        if self.bad:
            return False
        return sum(cell[2] for cell in self.totals().runs.values()) >= MIN_RUNS

    def record_time(self, route: str, seconds: float, *, new: bool) -> bool:
        """Takes a run's time; returns whether it was slow for its route."""
        total_s, samples = self.totals().times.get(route, (0.0, 0))
        if not new:
            self.own.time(route, seconds)
        return samples >= MIN_USUAL_RUNS and seconds > SLOW_FACTOR * total_s / samples

    def assess(self) -> bool:
        """Weighs the evidence; returns whether the version has just been found bad."""
        if self.bad:
            return False
        runs = self.totals().runs
        groups = {"": _sum_of(runs.values()), **runs}
        threshold = math.log(len(groups) / ALPHA)
        for name, cell in groups.items():
            evidence = self._evidence.setdefault(name, _Evidence())
            evidence.take(cell)
            if evidence.score >= threshold:
                where = f" on route {name}" if name else ""
                self.bad = (
                    f"{cell[3]} of {cell[2]} runs failed or were slow{where}, "
                    f"with the old version {cell[1]} of {cell[0]}"
                )
                return True
        return False


class Rollouts:
    """All orders that this process knows.

    Args:
        share: The platform's bound on a bad version's part of the requests.
        extra: Requests that it may get beyond that part.
    """

    def __init__(self, *, share: float, extra: float) -> None:
        self._share = SHARE_USED * share
        self._extra = SHARE_USED * extra
        self._running: dict[str, Rollout] = {}

    def set_order(self, order: Order, now: float) -> bool:
        """Takes an order as the store has it; returns whether it is a new one."""
        known = self._running.get(order.service)
        if known is not None and known.order.version == order.version:
            known.order = order
            return False
        self._running[order.service] = Rollout(order, now)
        return True

    def drop_order(self, service: str) -> None:
        """Forgets an order that was taken out of the store."""
        self._running.pop(service, None)

    def usable(
        self, service: str, servers: Iterable[BackendServer], now: float
    ) -> list[BackendServer]:
        """Returns the servers that may get a request of a service now."""
        rollout = self._running.get(service)
        if rollout is None:
            return list(servers)
        old = [s for s in servers if s.version != rollout.order.version]
        new = [s for s in servers if s.version == rollout.order.version]
        if rollout.order.outcome is Outcome.DONE:
            return new or old
        if rollout.order.outcome is Outcome.TAKEN_BACK or rollout.bad:
            return old
        if rollout.switching(now):
            return new or old
        return old + new if self._allowed(rollout) else old

    def _allowed(self, rollout: Rollout) -> bool:
        """Returns whether the new version may get one more request."""
        total = rollout.totals()
        # The extra grows in with the traffic, so that a bad start costs little.
        extra = min(self._extra, 1 + self._share * total.sent)
        return total.sent_new + 1 <= self._share * total.sent + extra

    def needs_traffic(self, server: BackendServer) -> bool:
        """Returns whether a server's version has had less than its part to judge."""
        rollout = self._running.get(server.service)
        if rollout is None or rollout.order.outcome is not Outcome.RUNNING:
            return False
        if rollout.bad or server.version != rollout.order.version:
            return False
        total = rollout.totals()
        return total.sent_new + 1 <= self._share * total.sent

    def record_send(self, server: BackendServer) -> None:
        """Counts a request sent to a server."""
        rollout = self._running.get(server.service)
        if rollout is None or rollout.order.outcome is not Outcome.RUNNING:
            return
        rollout.own.sent += 1
        rollout.own.sent_new += server.version == rollout.order.version

    def record_end(
        self, server: BackendServer, route: str, *, failed: bool, took_s: float | None
    ) -> bool:
        """Takes a run's end; returns whether a version has just been found bad.

        Args:
            server: Where it ran.
            route: Name of its route.
            failed: Whether the server failed it.
            took_s: Its time, comparable among the runs of a route; None if not
                measured.
        """
        rollout = self._running.get(server.service)
        if rollout is None or rollout.order.outcome is not Outcome.RUNNING:
            return False
        new = server.version == rollout.order.version
        slow = took_s is not None and rollout.record_time(route, took_s, new=new)
        rollout.own.add(route, new=new, bad=failed or slow)
        return rollout.assess()

    def pending_writes(self, now: float) -> list[tuple[Order, Outcome, str]]:
        """Returns what is to be written to the store, with the reasons."""
        writes = []
        for rollout in self._running.values():
            if rollout.order.outcome is not Outcome.RUNNING:
                continue
            late = now >= rollout.ends_at() - STATE_MARGIN_S
            if rollout.bad:
                writes.append((rollout.order, Outcome.TAKEN_BACK, rollout.bad))
            elif late and rollout.proven():
                writes.append((rollout.order, Outcome.DONE, "no fault has shown"))
            elif now >= rollout.ends_at():
                reason = f"fewer than {MIN_RUNS} runs to judge it by"
                writes.append((rollout.order, Outcome.TAKEN_BACK, reason))
            elif not rollout.order.has_status:
                writes.append((rollout.order, Outcome.RUNNING, "ordered"))
        return writes

    def export(self, now: float) -> dict[str, list[Any]]:
        """Returns what the other entries are told, by service."""
        return {
            service: [
                rollout.order.version,
                round(now - rollout.seen_at, 2),
                rollout.bad,
                *rollout.own.export(),
            ]
            for service, rollout in self._running.items()
            if rollout.order.outcome is Outcome.RUNNING
        }

    def merge_from(
        self,
        entry: tuple[str, str],
        told: Mapping[str, Sequence[Any]],
        now: float,
    ) -> bool:
        """Takes what another entry has counted; returns whether a version is now bad.

        Args:
            entry: Name and incarnation of the entry.
            told: Its word by service.
            now: Monotonic time in seconds.
        """
        found = False
        for service, word in told.items():
            version, age_s, bad, sent, sent_new, runs, times = word
            rollout = self._running.get(service)
            if rollout is None or rollout.order.version != version:
                continue
            if now - age_s < rollout.seen_at - AGE_SLACK_S:
                rollout.seen_at = now - age_s
            rollout.others[entry] = Counts(sent, sent_new, runs, times)
            if bad and not rollout.bad:
                rollout.bad, found = str(bad), True
            found = rollout.assess() or found
        return found


def _sum_of(cells: Iterable[Sequence[int]]) -> list[int]:
    return [sum(column) for column in zip(*cells, strict=True)] or [0, 0, 0, 0]
