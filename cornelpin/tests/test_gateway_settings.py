"""Relative values of responses from environment variables."""

from __future__ import annotations

import pytest

from cornelpin.gateway.settings import load_valuation
from cornelpin.platform import BadValue
from cornelpin.scheduling.valuation import Valuation


@pytest.mark.parametrize(
    ("environ", "expected"),
    [
        ({"PATH": "/bin"}, Valuation()),
        ({"CORNELPIN_VALUE_LATE": "0.5"}, Valuation(late=0.5)),
        (
            {"CORNELPIN_VALUE_LATE_RETRY": "1", "CORNELPIN_VALUE_PRIORITY_STEP": "2.5"},
            Valuation(late_retry=1.0, priority_step=2.5),
        ),
        ({"CORNELPIN_VALUE_WORKSPACE_STEP": "8"}, Valuation(workspace_step=8.0)),
    ],
)
def test_values_are_read(environ: dict[str, str], expected: Valuation) -> None:
    assert load_valuation(environ) == expected


@pytest.mark.parametrize(
    ("variable", "text", "message"),
    [
        ("CORNELPIN_VALUE_LATER", "0.5", "CORNELPIN_VALUE_LATE_RETRY"),
        ("CORNELPIN_VALUE_LATE", "much", "could not convert"),
        ("CORNELPIN_VALUE_LATE", "1.5", "<= 1"),
        ("CORNELPIN_VALUE_LATE", "nan", ">= 0"),
        ("CORNELPIN_VALUE_PRIORITY_STEP", "0.5", ">= 1"),
        ("CORNELPIN_VALUE_PRIORITY_STEP", "inf", "finite"),
    ],
)
def test_bad_value_is_named(variable: str, text: str, message: str) -> None:
    with pytest.raises(BadValue, match=variable) as raised:
        load_valuation({variable: text})
    assert message in str(raised.value)


@pytest.mark.parametrize(
    ("rank", "weight"), [((0, 0), 1.0), ((0, 2), 1 / 16), ((1, 1), 1 / 256)]
)
def test_rank_weight_falls_by_steps(rank: tuple[int, int], weight: float) -> None:
    assert Valuation().rank_weight(rank) == pytest.approx(weight)
