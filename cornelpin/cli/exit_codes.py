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
    INVALID: "invalid usage or input",
    STALE: "the patch is based on a stale configuration number",
    UNREACHABLE: "the entry cannot be reached; nothing was done",
    OUTCOME_UNKNOWN: "outcome unknown: the change or request may have taken effect",
}
