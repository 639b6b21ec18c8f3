"""Settings of the property tests: fixed seeds in CI, longer runs on demand.

``CORNELPIN_FUZZ=N`` runs N times as many examples with fresh seeds; a failure
prints the example, which then becomes a test of its own.
"""

from __future__ import annotations

import os
from typing import Any

from hypothesis import settings

FUZZ_VARIABLE = "CORNELPIN_FUZZ"


def run_settings(max_examples: int, **options: Any) -> settings:
    """Returns the settings of one property test.

    Args:
        max_examples: Examples in a run of CI.
        **options: Further settings of hypothesis.
    """
    factor = int(os.environ.get(FUZZ_VARIABLE, "0"))
    return settings(
        max_examples=max_examples * max(1, factor),
        derandomize=factor == 0,
        deadline=None,
        **options,
    )
