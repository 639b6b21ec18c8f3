"""Fixtures shared by the tests that run a whole deployment."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from benchmarks.deployments import DEPLOYMENTS
from benchmarks.testbed import Testbed


@pytest.fixture(scope="module")
def running(request: pytest.FixtureRequest) -> Iterator[Testbed]:
    """Starts a small deployment, seeded with the module's ``SEED``."""
    with Testbed(DEPLOYMENTS["small"](), seed=request.module.SEED) as testbed:
        yield testbed
    testbed.remove_folder()
