"""Submits configuration patches and interprets the outcomes."""

from __future__ import annotations

import json
from typing import Any

from cornelpin.cli import exit_codes
from cornelpin.cli._context import command_error, make_client
from cornelpin.cli.check import invalid_document
from cornelpin.cli.client import Outcome, OutcomeUnknown, Refusal, Success
from cornelpin.cli.errors import CommandError
from cornelpin.core.config import Fault

PATCHES_PATH = "/admin/v1/config/patches"
STALE_STATUS = 409
INVALID_STATUS = 422


def submit(base: int, patch: Any) -> Outcome:
    """Submits a patch based on a configuration number."""
    return make_client().post(PATCHES_PATH, {"base": base, "patch": patch})


def is_stale(outcome: Outcome) -> bool:
    """Whether a patch was refused because its base is not the current number."""
    return isinstance(outcome, Refusal) and outcome.status == STALE_STATUS


def accepted_number(outcome: Outcome, *, base: int) -> int:
    """Returns the number of an accepted patch.

    Raises:
        CommandError: If the patch was not accepted, or its outcome is unknown.
    """
    if isinstance(outcome, Success):
        return int(outcome.value["number"])
    if isinstance(outcome, Refusal) and outcome.status == INVALID_STATUS:
        raise invalid_document(outcome.reason, _faults(outcome))
    if isinstance(outcome, Refusal) and is_stale(outcome):
        raise _stale(outcome, base)
    if isinstance(outcome, OutcomeUnknown) or (
        isinstance(outcome, Refusal) and outcome.may_have_run
    ):
        raise CommandError(
            f"outcome unknown, the patch may have been accepted: {outcome.reason}",
            exit_code=exit_codes.OUTCOME_UNKNOWN,
            advice=f"check 'cornelpin config history --from {base + 1}'; if the patch "
            f"is not there and the number is still {base}, submit it again",
        )
    raise command_error(outcome)


def _stale(refusal: Refusal, base: int) -> CommandError:
    current = refusal.problem.get("current")
    changed = json.dumps(refusal.problem.get("changed"), indent=2, sort_keys=True)
    return CommandError(
        f"configuration number {base} is stale, the current one is {current}; "
        f"changes since:\n"
        f"{changed}",
        exit_code=exit_codes.STALE,
        advice=f"review the changes and submit again with --base {current}",
    )


def _faults(refusal: Refusal) -> tuple[Fault, ...]:
    return tuple(
        Fault(str(fault.get("path")), fault.get("value"), str(fault.get("valid")))
        for fault in refusal.problem.get("faults", ())
    )
