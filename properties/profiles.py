"""Hypothesis settings of the property tests: fixed seeds in CI, longer runs on demand.

``CORNELPIN_FUZZ=N`` runs N times as many examples with random seeds. A failure prints
the example, which is then added as a separate test.
"""

from __future__ import annotations

import os
from typing import Any

from hypothesis import settings

FUZZ_VARIABLE = "CORNELPIN_FUZZ"


def run_settings(max_examples: int, **options: Any) -> settings:
    """Returns the settings of one property test.

    Args:
        max_examples: Number of examples in a CI run.
        **options: Further Hypothesis settings.
    """
    factor = int(os.environ.get(FUZZ_VARIABLE, "0"))
    return settings(
        max_examples=max_examples * max(1, factor),
        derandomize=factor == 0,
        deadline=None,
        **options,
    )
