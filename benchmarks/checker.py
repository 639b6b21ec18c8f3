"""Checks the promises against run logs and the senders' records.

Uses nothing that cornelpin reports about itself, so that an error there cannot hide
a violation. Each check is a function in the registry ``CHECKS`` and yields one
``Violation`` for each broken promise.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import cached_property
from typing import TypeVar

from attrs import define, field, frozen

from benchmarks.records import Answer, Kind, RunEvent, SentRecord, starts

TOO_MANY_REQUESTS = 429

T = TypeVar("T")

# Responses that were delivered to the caller, right or wrong.
DELIVERED = frozenset({Answer.COMPLETE, Answer.WRONG, Answer.CUT})

# A refusal because a workspace is over its own limit is not shedding by tier.
LIMIT_REASONS = frozenset({"over_limit"})


@frozen
class Violation:
    """A promise that was broken according to the logs.

    Attributes:
        check: Name of the check.
        subject: Request id, call id, digest or idempotency key concerned.
        detail: What the logs show.
    """

    check: str
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.check}: {self.subject}: {self.detail}"


@define(slots=False)
class Evidence:
    """Input of the checks.

    Attributes:
        records: Requests as the senders observed them.
        events: Lines of every stand-in's run log.
        shed_orders: Shed order by tier; lower orders are shed first.
        pools: Names of the backend servers behind each route.
    """

    records: list[SentRecord]
    events: list[RunEvent]
    shed_orders: Mapping[str, int] = field(factory=dict)
    pools: Mapping[str, frozenset[str]] = field(factory=dict)

    @cached_property
    def runs(self) -> list[RunEvent]:
        """Start events by time."""
        return starts(self.events)

    @cached_property
    def records_by_digest(self) -> dict[str, list[SentRecord]]:
        """Records grouped by the digest of their prompt or body."""
        return _group(self.records, lambda record: record.digest)

    @cached_property
    def runs_by_digest(self) -> dict[str, list[RunEvent]]:
        """Runs grouped by the digest of their prompt or body."""
        return _group(self.runs, lambda run: run.digest)

    @cached_property
    def runs_by_request_id(self) -> dict[str, list[RunEvent]]:
        """Runs grouped by request id."""
        return _group(self.runs, lambda run: run.request_id)


Check = Callable[[Evidence], Iterator[Violation]]
CHECKS: dict[str, Check] = {}


def check(name: str) -> Callable[[Check], Check]:
    """Registers a check under a name."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def run_checks(evidence: Evidence) -> list[Violation]:
    """Runs every registered check and returns all violations."""
    return [
        violation for function in CHECKS.values() for violation in function(evidence)
    ]


def _group(items: Iterable[T], key: Callable[[T], str]) -> dict[str, list[T]]:
    """Groups items by a key; skips items whose key is empty."""
    groups: dict[str, list[T]] = defaultdict(list)
    for item in items:
        if name := key(item):
            groups[name].append(item)
    return dict(groups)


def _call_count(records: Iterable[SentRecord]) -> int:
    return len({record.call_id for record in records})


def _duplicate_runs(
    name: str, groups: Mapping[str, list[RunEvent]]
) -> Iterator[Violation]:
    for subject, runs in groups.items():
        if len(runs) > 1:
            servers = dict(Counter(run.server for run in runs))
            yield Violation(name, subject, f"{len(runs)} runs: {servers}")


@check("doubled_dispatch")
def doubled_dispatch(evidence: Evidence) -> Iterator[Violation]:
    """Finds model requests that were dispatched more than once."""
    name = "doubled_dispatch"
    model_runs = [run for run in evidence.runs if _is_model_run(evidence, run)]
    by_request_id = _group(model_runs, lambda run: run.request_id)
    yield from _duplicate_runs(name, by_request_id)
    for digest, runs in _group(model_runs, lambda run: run.digest).items():
        calls = _call_count(evidence.records_by_digest.get(digest, []))
        distinct_ids = len({run.request_id for run in runs})
        # Several runs with a single request id have been reported above.
        if distinct_ids > 1 and len(runs) > max(calls, 1):
            yield Violation(name, digest, f"{len(runs)} runs of {calls} calls")


def _is_model_run(evidence: Evidence, run: RunEvent) -> bool:
    # Runs without a record are told apart by the version: services have none.
    records = evidence.records_by_digest.get(run.digest)
    return bool(run.version) if not records else records[0].kind is Kind.MODEL


@check("doubled_call")
def doubled_call(evidence: Evidence) -> Iterator[Violation]:
    """Finds non-idempotent service calls that ran more than once."""
    name = "doubled_call"
    single_run_records = [
        record for record in evidence.records if _must_run_once(record)
    ]
    for digest, records in _group(
        single_run_records, lambda record: record.digest
    ).items():
        runs = evidence.runs_by_digest.get(digest, [])
        calls = _call_count(records)
        if len(runs) > calls:
            yield Violation(name, digest, f"{len(runs)} runs of {calls} calls")
    keys = {record.key for record in single_run_records if record.key}
    keyed = [run for run in evidence.runs if run.key in keys]
    yield from _duplicate_runs(name, _group(keyed, lambda run: run.key))


def _must_run_once(record: SentRecord) -> bool:
    return record.kind is Kind.SERVICE and not record.idempotent


@check("false_not_run")
def false_not_run(evidence: Evidence) -> Iterator[Violation]:
    """Finds refusals that state "not run" for requests that did run."""
    ids = Counter(record.request_id for record in evidence.records)
    for record in evidence.records:
        if record.may_have_run is not False:
            continue
        runs = _runs_of(evidence, record, shared_id=ids[record.request_id] > 1)
        if runs:
            detail = f"refused {record.reason!r} but ran at {runs[0].server}"
            yield Violation("false_not_run", _subject(record), detail)


def _runs_of(
    evidence: Evidence, record: SentRecord, *, shared_id: bool
) -> list[RunEvent]:
    """Returns the runs that contradict a refusal with "not run".

    A retry of the same call may run after the refusal, so a run that started after it
    counts only if no other record can have caused it.
    """
    by_id = evidence.runs_by_request_id.get(record.request_id, [])
    by_digest = evidence.runs_by_digest.get(record.digest, [])
    # All attempts of this call, and other calls with the same body.
    same_body = evidence.records_by_digest.get(record.digest, [])
    if len(same_body) == 1:
        return by_id or by_digest
    if not shared_id and by_id:
        return by_id
    # Calls that share a body can be distinguished only by request id.
    if _call_count(same_body) > 1:
        return [run for run in by_id if run.at <= record.finished_at]
    return [run for run in by_digest if run.at <= record.finished_at]


def _subject(record: SentRecord) -> str:
    return record.request_id or record.call_id


@check("wrong_answer")
def wrong_answer(evidence: Evidence) -> Iterator[Violation]:
    """Finds responses of another request, or truncated without an error."""
    for record in evidence.records:
        if record.answer in (Answer.WRONG, Answer.CUT):
            yield Violation("wrong_answer", _subject(record), record.answer.value)


@check("lost_durable")
def lost_durable(evidence: Evidence) -> Iterator[Violation]:
    """Finds durable requests that were accepted but reached no outcome.

    A refusal with "may have run" is an outcome, since a second dispatch is forbidden.
    A refusal with "not run" after acceptance is a loss.
    """
    for record in evidence.records:
        if not (record.durable and record.accepted):
            continue
        has_outcome = record.answer in DELIVERED or record.may_have_run
        if not has_outcome:
            detail = f"accepted, then status {record.status} {record.reason}".strip()
            yield Violation("lost_durable", _subject(record), detail)


@check("shed_inversion")
def shed_inversion(evidence: Evidence) -> Iterator[Violation]:
    """Finds requests shed although ones of a lower shed order were started.

    That is, a server of the route started one in the same second of time.
    """
    lowest_orders = _lowest_served(evidence)
    for record in evidence.records:
        if not is_shed(record):
            continue
        second = int(record.finished_at)
        shed_order = evidence.shed_orders[record.tier]
        for server in sorted(evidence.pools.get(record.route, frozenset())):
            served = lowest_orders.get((server, second))
            if served is not None and served < shed_order:
                detail = (
                    f"{record.tier} shed while {server} started shed order {served}"
                )
                yield Violation("shed_inversion", _subject(record), detail)
                break


def is_shed(record: SentRecord) -> bool:
    """Returns whether the request was refused for lack of capacity."""
    return record.status == TOO_MANY_REQUESTS and record.reason not in LIMIT_REASONS


def _lowest_served(evidence: Evidence) -> dict[tuple[str, int], int]:
    """Returns the lowest shed order of the runs started, by server and second."""
    lowest: dict[tuple[str, int], int] = {}
    for run in evidence.runs:
        records = evidence.records_by_digest.get(run.digest)
        if not records:
            continue
        key = (run.server, int(run.at))
        shed_order = evidence.shed_orders[records[0].tier]
        lowest[key] = min(shed_order, lowest.get(key, shed_order))
    return lowest
