"""Guards against names in ``__all__`` that do not exist."""

from __future__ import annotations

import cornelpin


def test_public_names_exist() -> None:
    for name in cornelpin.__all__:
        assert hasattr(cornelpin, name)
