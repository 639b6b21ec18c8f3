"""Submitting patches and telling their outcomes."""

from __future__ import annotations

import json
from typing import Any

from cornelpin.cli import exit_codes
from cornelpin.cli._context import failure, make_client
from cornelpin.cli.check import invalid
from cornelpin.cli.client import Outcome, OutcomeUnknown, Refusal, Success
from cornelpin.cli.errors import CommandError
from cornelpin.core.config import Fault

PATCHES_PATH = "/admin/v1/config/patches"
STALE_STATUS = 409
INVALID_STATUS = 422


def submit(base: int, patch: Any) -> Outcome:
    """Submits a patch against a number."""
    return make_client().post(PATCHES_PATH, {"base": base, "patch": patch})


def is_stale(outcome: Outcome) -> bool:
    """Whether a patch was refused since its base is not the current number."""
    return isinstance(outcome, Refusal) and outcome.status == STALE_STATUS


def accepted_number(outcome: Outcome, *, base: int) -> int:
    """Returns the number of an accepted patch or raises the error that fits."""
    if isinstance(outcome, Success):
        return int(outcome.value["number"])
    if isinstance(outcome, Refusal) and outcome.status == INVALID_STATUS:
        raise invalid(outcome.reason, _faults(outcome))
    if isinstance(outcome, Refusal) and is_stale(outcome):
        raise _stale(outcome, base)
    if isinstance(outcome, OutcomeUnknown) or (
        isinstance(outcome, Refusal) and outcome.may_have_run
    ):
        raise CommandError(
            f"undecided, the patch may be accepted: {outcome.reason}",
            exit_code=exit_codes.UNDECIDED,
            advice=f"see by 'cornelpin config history --from {base + 1}' whether it "
            f"is; if it is not and the number is still {base}, submit it again",
        )
    raise failure(outcome)


def _stale(refusal: Refusal, base: int) -> CommandError:
    current = refusal.problem.get("current")
    changed = json.dumps(refusal.problem.get("changed"), indent=2, sort_keys=True)
    return CommandError(
        f"number {base} is stale, the current one is {current}; changed since:\n"
        f"{changed}",
        exit_code=exit_codes.STALE,
        advice=f"review the changes and submit again with --base {current}",
    )


def _faults(refusal: Refusal) -> tuple[Fault, ...]:
    return tuple(
        Fault(str(fault.get("path")), fault.get("value"), str(fault.get("valid")))
        for fault in refusal.problem.get("faults", ())
    )
