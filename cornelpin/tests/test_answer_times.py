"""Guards against answer estimates that refuse requests too early or too late."""

from __future__ import annotations

import pytest

from cornelpin.core.answer_times import MIN_ANSWERS, AnswerTimes
from cornelpin.core.reservations import longest_wait_s


@pytest.mark.parametrize(
    ("answers", "most_parts", "expected_s"),
    [
        (MIN_ANSWERS - 1, 100, 0.0),
        (MIN_ANSWERS, 100, 0.5),
        (MIN_ANSWERS, 4, 0.2),
    ],
)
def test_estimate_uses_the_averages_of_past_answers(answers, most_parts, expected_s):
    times = AnswerTimes()
    for _ in range(answers):
        times.observe("r", "question", parts=10, seconds=0.5)
    assert times.estimate_s("r", "question", most_parts) == pytest.approx(expected_s)
    assert times.estimate_s("r", "tag", most_parts) == 0.0


@pytest.mark.parametrize(
    ("max_wait_s", "left_s", "estimate_s", "expected_s"),
    [
        (10.0, 5.0, 0.0, 5.0),
        (10.0, 5.0, 0.5, 4.5),
        (2.0, 5.0, 0.5, 2.0),
        (10.0, 4.0, 100.0, 3.0),
    ],
)
def test_wait_reserves_time_for_the_answer_up_to_a_quarter_of_the_time_left(
    max_wait_s, left_s, estimate_s, expected_s
):
    assert longest_wait_s(max_wait_s, left_s, estimate_s) == expected_s
