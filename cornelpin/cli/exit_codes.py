"""Exit codes of the command line."""

from __future__ import annotations

OK = 0
FAILED = 1
INVALID = 2
STALE = 3
UNREACHABLE = 4
OUTCOME_UNKNOWN = 5

MEANINGS = {
    OK: "done",
    FAILED: "refused or failed",
    INVALID: "bad usage or invalid input",
    STALE: "the patch was made against a stale configuration number",
    UNREACHABLE: "the entry can't be reached, nothing was done",
    OUTCOME_UNKNOWN: "outcome unknown: the patch or request may have taken effect",
}
