"""Decides the next step of a move from its stored record and current inputs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cornelpin.core.move_state import MoveRecord, MoveState

if TYPE_CHECKING:
    from cornelpin.core.canary_analysis import Assessment
    from cornelpin.core.config import Move

# Fewest servers that load the new version, if the route has so many.
MIN_SERVERS = 2
# Fraction of the servers that load the new version, as a multiple of its traffic share.
LOADED_TO_TRAFFIC_RATIO = 2.0
# A stage without enough evidence passes once it has lasted for
# SCHEDULE_SHARE * (time left until the deadline) - (minimum duration of later stages).
# It waits for evidence while time allows; as the time left shrinks meanwhile, it passes
# while the later stages still fit before the deadline.
SCHEDULE_SHARE = 0.8


@attrs.frozen
class MoveInputs:
    """Current inputs to the decision on one move.

    Attributes:
        brake: Reason for a brake (emergency stop) of this attempt, which rolls the
            move back at once, or an empty string.
        assessment: Result of the canary analysis so far.
        servers: Number of reachable servers of the route.
        loaded: Number of those servers that have loaded the new version.
        stage_age_s: Seconds since this controller saw the current stage begin.
        left_s: Seconds until the move's deadline.
        switched: Whether the new version is the route's version.
        load_failure: Why a server fails to load the new version, or an empty string.
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
    """Returns how many servers should load the new version for a traffic share."""
    proportional = math.ceil(servers * min(1.0, share * LOADED_TO_TRAFFIC_RATIO))
    return min(servers, max(MIN_SERVERS, proportional))


def next_share(record: MoveRecord, move: Move) -> float:
    """Returns the share of the stage after the current one."""
    stage = min(record.stage + 1, len(move.stages) - 1)
    return move.stages[stage]


def next_record(record: MoveRecord, move: Move, inputs: MoveInputs) -> MoveRecord:
    """Returns the record after one step; equal to ``record`` if nothing changes."""
    if record.state.final:
        return record
    record = _with_matching_stage(record, move)
    reason = _rollback_reason(move, inputs)
    if reason:
        return attrs.evolve(
            record, state=MoveState.TAKEN_BACK, share=0.0, reason=reason
        )
    if inputs.switched:
        return attrs.evolve(
            record, state=MoveState.DONE, share=1.0, reason=_done_reason(move)
        )
    if move.state == "pause":
        return attrs.evolve(
            record, state=MoveState.PAUSED, reason="paused by an operator"
        )
    return _advance(record, move, inputs)


def ready_to_switch(record: MoveRecord, move: Move, inputs: MoveInputs) -> bool:
    """Whether the last stage has passed and the route may switch its version."""
    if record.state.final or inputs.switched or move.state != "run":
        return False
    last = record.stage == len(move.stages) - 1
    stopped = inputs.brake or inputs.left_s <= 0
    return last and not stopped and _passed(record, move, inputs)


def _with_matching_stage(record: MoveRecord, move: Move) -> MoveRecord:
    """Sets the stage that matches the share after an operator changed the stages."""
    stages = move.stages
    if record.stage < 0 and record.share == 0:
        return record
    if 0 <= record.stage < len(stages) and stages[record.stage] == record.share:
        return record
    passed = [i for i, share in enumerate(stages) if share <= record.share]
    return attrs.evolve(record, stage=max(passed, default=-1))


def _done_reason(move: Move) -> str:
    return f"all stages passed; the route serves {move.to_version}"


def _rollback_reason(move: Move, inputs: MoveInputs) -> str:
    if inputs.brake:
        return inputs.brake
    if move.state == "take_back":
        return "taken back by an operator"
    return inputs.assessment.reason if inputs.assessment.bad else ""


def _advance(record: MoveRecord, move: Move, inputs: MoveInputs) -> MoveRecord:
    started = record.share > 0
    state = MoveState.RUNNING if started else MoveState.LOADING
    if inputs.left_s <= 0:
        return attrs.evolve(
            record, state=MoveState.LATE, reason=_late_reason(record, inputs)
        )
    record = attrs.evolve(record, state=state, reason="")
    last = record.stage == len(move.stages) - 1
    if last:
        return record
    if not _enough_loaded(record, move, inputs):
        return attrs.evolve(record, reason=inputs.load_failure)
    if started and not _passed(record, move, inputs):
        return record
    return attrs.evolve(
        record,
        state=MoveState.RUNNING,
        stage=record.stage + 1,
        share=next_share(record, move),
    )


def _late_reason(record: MoveRecord, inputs: MoveInputs) -> str:
    if record.share == 0:
        loaded = f"the version is loaded on {inputs.loaded} of {inputs.servers} servers"
        return f"{loaded}; {inputs.load_failure}" if inputs.load_failure else loaded
    if inputs.assessment.suspicious:
        return f"held at {record.share:.0%}: {inputs.assessment.reason}"
    return f"reached {record.share:.0%} with {inputs.assessment.runs} runs judged"


def _enough_loaded(record: MoveRecord, move: Move, inputs: MoveInputs) -> bool:
    wanted = servers_wanted(inputs.servers, next_share(record, move))
    return inputs.servers > 0 and inputs.loaded >= wanted


def _passed(record: MoveRecord, move: Move, inputs: MoveInputs) -> bool:
    if inputs.stage_age_s < move.stage_s or inputs.assessment.suspicious:
        return False
    if inputs.assessment.accepted:
        return True
    later_s = move.stage_s * (len(move.stages) - 1 - record.stage)
    return inputs.stage_age_s >= SCHEDULE_SHARE * inputs.left_s - later_s
