"""The measures that the steps ``expect`` and ``wait_for`` compare with bounds."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from benchmarks.checker import is_shed
from benchmarks.records import Answer, SentRecord, starts
from benchmarks.scenario_run import Run, measure


def _select_records(run: Run, arguments: Mapping[str, Any]) -> list[SentRecord]:
    records = run.testbed.records
    if "load" in arguments:
        records = run.records[arguments["load"]]
    for name in ("tier", "workspace", "entry"):
        if name in arguments:
            records = [r for r in records if getattr(r, name) == arguments[name]]
    return records


@measure("sent")
def _sent(run: Run, arguments: Mapping[str, Any]) -> float:
    return len(_select_records(run, arguments))


@measure("complete")
def _complete(run: Run, arguments: Mapping[str, Any]) -> float:
    records = _select_records(run, arguments)
    return sum(record.answer is Answer.COMPLETE for record in records)


@measure("complete_share")
def _complete_share(run: Run, arguments: Mapping[str, Any]) -> float:
    return _complete(run, arguments) / max(1, len(_select_records(run, arguments)))


@measure("shed")
def _shed(run: Run, arguments: Mapping[str, Any]) -> float:
    return sum(is_shed(record) for record in _select_records(run, arguments))


@measure("may_have_run")
def _may_have_run(run: Run, arguments: Mapping[str, Any]) -> float:
    return sum(
        record.may_have_run is True for record in _select_records(run, arguments)
    )


@measure("refused_as")
def _refused_as(run: Run, arguments: Mapping[str, Any]) -> float:
    """Counts the requests that were refused with the given reason."""
    records = _select_records(run, arguments)
    return sum(record.reason == arguments["reason"] for record in records)


@measure("errors")
def _errors(run: Run, arguments: Mapping[str, Any]) -> float:
    return sum(bool(record.error) for record in _select_records(run, arguments))


@measure("runs")
def _runs(run: Run, arguments: Mapping[str, Any]) -> float:
    """Counts runs, optionally of one server or version.

    With ``after``, counts those later than ``delay_s`` after that mark.
    """
    runs = starts(run.testbed.run_events())
    if "after" in arguments:
        after = run.marks[arguments["after"]] + arguments.get("delay_s", 0.0)
        runs = [r for r in runs if r.at > after]
    for name in ("server", "version"):
        if name in arguments:
            runs = [r for r in runs if getattr(r, name) == arguments[name]]
    return len(runs)


@measure("lagging_processes")
def _lagging_processes(run: Run, arguments: Mapping[str, Any]) -> float:
    status = run.testbed.call_any_entry("GET", "/admin/v1/config/status").body
    number = status["number"]
    # The number of an unreachable process is None.
    return sum(
        process["number"] is None or process["number"] < number
        for process in status["processes"]
    )


@measure("ready_entries")
def _ready_entries(run: Run, arguments: Mapping[str, Any]) -> float:
    return run.testbed.ready_entry_count()


@measure("calls_answered_share")
def _calls_answered_share(run: Run, arguments: Mapping[str, Any]) -> float:
    """Returns the share of calls with a complete response to at least one attempt."""
    records = _select_records(run, arguments)
    calls = {record.call_id for record in records}
    answered = {r.call_id for r in records if r.answer is Answer.COMPLETE}
    return len(answered) / max(1, len(calls))


def _move_row(run: Run, arguments: Mapping[str, Any]) -> Mapping[str, Any]:
    rows = run.testbed.call_any_entry("GET", "/admin/v1/moves").body
    return next((row for row in rows if row["name"] == arguments["move"]), {})


@measure("move_share")
def _move_share(run: Run, arguments: Mapping[str, Any]) -> float:
    return _move_row(run, arguments).get("share", 0.0)


@measure("move_is")
def _move_is(run: Run, arguments: Mapping[str, Any]) -> float:
    """Returns 1 if a move is in the given state, else 0."""
    return float(_move_row(run, arguments).get("state") == arguments["state"])


@measure("move_views")
def _move_views(run: Run, arguments: Mapping[str, Any]) -> float:
    """Counts the different reports on a move by the running entries, 1 if all agree."""
    states = set()
    for entry in run.testbed.entries:
        if run.testbed.processes[entry.name].running:
            rows = run.testbed.client(entry.name).call("GET", "/admin/v1/moves").body
            row = next(row for row in rows if row["name"] == arguments["move"])
            states.add((row["state"], row["share"], row["reason"]))
    return len(states)


@measure("move_reason_has")
def _move_reason_has(run: Run, arguments: Mapping[str, Any]) -> float:
    """Returns 1 if the reason of a move contains a text, else 0."""
    return float(arguments["text"] in _move_row(run, arguments).get("reason", ""))


@measure("config_number")
def _config_number(run: Run, arguments: Mapping[str, Any]) -> float:
    return run.testbed.config_number()


@measure("events")
def _events(run: Run, arguments: Mapping[str, Any]) -> float:
    """Counts the events of a kind on the timeline."""
    events = run.testbed.timeline()
    return sum(event["kind"] == arguments["kind"] for event in events)


@measure("ended_processes")
def _ended_processes(run: Run, arguments: Mapping[str, Any]) -> float:
    """Counts the processes that are not running."""
    return sum(not process.running for process in run.testbed.processes.values())
