"""The next step of a move, from its stored record and what is known now."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cornelpin.core.move_state import MoveRecord, MoveState

if TYPE_CHECKING:
    from cornelpin.core.canary_analysis import Assessment
    from cornelpin.core.config import Move

MIN_SERVERS = 2
SERVERS_PER_SHARE = 2.0
# Part of the time left that a stage may wait for evidence, less the shortest
# duration of the later ones.
SCHEDULE_SHARE = 0.8


@attrs.frozen
class MoveInputs:
    """What the controller knows about one move.

    Attributes:
        brake: Reason of a brake on this attempt, or an empty string.
        opinion: The judgement so far.
        servers: Reachable servers of the route.
        loaded: Those among them that hold the new version.
        stage_age_s: Time since this controller saw the current stage begin.
        left_s: Time left until the move has to be finished.
        switched: Whether the route's version is the new one.
        load_failure: Why a server does not load the new version, or an empty string.
    """

    brake: str
    assessment: Assessment
    servers: int
    loaded: int
    stage_age_s: float
    left_s: float
    switched: bool = False
    load_failure: str = ""


def servers_wanted(servers: int, share: float) -> int:
    """Returns how many servers should hold the new version for a share."""
    grown = math.ceil(servers * min(1.0, share * SERVERS_PER_SHARE))
    return min(servers, max(MIN_SERVERS, grown))


def next_share(record: MoveRecord, move: Move) -> float:
    """Returns the share of the stage after the current one."""
    stage = min(record.stage + 1, len(move.stages) - 1)
    return move.stages[stage]


def next_record(record: MoveRecord, move: Move, facts: MoveInputs) -> MoveRecord:
    """Returns the record after one step; equal to the old one if nothing changes."""
    if record.state.final:
        return record
    record = _anchored(record, move)
    reason = _reason_to_take_back(move, facts)
    if reason:
        return attrs.evolve(
            record, state=MoveState.TAKEN_BACK, share=0.0, reason=reason
        )
    if facts.switched:
        return attrs.evolve(record, state=MoveState.DONE, share=1.0, reason=_done(move))
    if move.state == "pause":
        return attrs.evolve(
            record, state=MoveState.PAUSED, reason="paused by an operator"
        )
    return _advance(record, move, facts)


def ready_to_switch(record: MoveRecord, move: Move, facts: MoveInputs) -> bool:
    """Whether the last stage has passed, so that the route may be patched."""
    if record.state.final or facts.switched or move.state != "run":
        return False
    last = record.stage == len(move.stages) - 1
    stopped = facts.brake or facts.left_s <= 0
    return last and not stopped and _passed(record, move, facts)


def _anchored(record: MoveRecord, move: Move) -> MoveRecord:
    """Finds the stage anew by its share after an operator has changed the stages."""
    stages = move.stages
    if record.stage < 0 and record.share == 0:
        return record
    if 0 <= record.stage < len(stages) and stages[record.stage] == record.share:
        return record
    passed = [i for i, share in enumerate(stages) if share <= record.share]
    return attrs.evolve(record, stage=max(passed, default=-1))


def _done(move: Move) -> str:
    return f"all stages passed; the route serves {move.to_version}"


def _reason_to_take_back(move: Move, facts: MoveInputs) -> str:
    if facts.brake:
        return facts.brake
    if move.state == "take_back":
        return "taken back by an operator"
    return facts.assessment.reason if facts.assessment.bad else ""


def _advance(record: MoveRecord, move: Move, facts: MoveInputs) -> MoveRecord:
    begun = record.share > 0
    going = MoveState.RUNNING if begun else MoveState.LOADING
    if facts.left_s <= 0:
        return attrs.evolve(record, state=MoveState.LATE, reason=_late(record, facts))
    record = attrs.evolve(record, state=going, reason="")
    last = record.stage == len(move.stages) - 1
    if last:
        return record
    if not _loaded(record, move, facts):
        return attrs.evolve(record, reason=facts.load_failure)
    if begun and not _passed(record, move, facts):
        return record
    return attrs.evolve(
        record,
        state=MoveState.RUNNING,
        stage=record.stage + 1,
        share=next_share(record, move),
    )


def _late(record: MoveRecord, facts: MoveInputs) -> str:
    if record.share == 0:
        loaded = f"the version is loaded on {facts.loaded} of {facts.servers} servers"
        return f"{loaded}; {facts.load_failure}" if facts.load_failure else loaded
    if facts.assessment.suspicious:
        return f"held at {record.share:.0%}: {facts.assessment.reason}"
    return f"reached {record.share:.0%} with {facts.assessment.runs} runs judged"


def _loaded(record: MoveRecord, move: Move, facts: MoveInputs) -> bool:
    wanted = servers_wanted(facts.servers, next_share(record, move))
    return facts.servers > 0 and facts.loaded >= wanted


def _passed(record: MoveRecord, move: Move, facts: MoveInputs) -> bool:
    if facts.stage_age_s < move.stage_s or facts.assessment.suspicious:
        return False
    if facts.assessment.accepted:
        return True
    later_s = move.stage_s * (len(move.stages) - 1 - record.stage)
    return facts.stage_age_s >= SCHEDULE_SHARE * facts.left_s - later_s
