"""Any faults among the entries leave a server's limit kept."""

from __future__ import annotations

from hypothesis import given, strategies as st

from benchmarks.limits.network import Faults
from benchmarks.limits.replay import WINDOW_S, Load, replay
from properties.profiles import run_settings

DURATION_S = 12.0

faults = st.builds(
    Faults,
    delay_s=st.tuples(st.just(0.001), st.floats(0.002, 0.6)),
    loss=st.floats(0.0, 0.5),
    cut=st.none() | st.tuples(st.floats(1.0, 6.0), st.floats(6.0, 12.0)),
    cut_share=st.floats(0.0, 1.0),
)
loads = st.builds(
    Load,
    entries=st.integers(1, 7),
    limit_per_s=st.sampled_from([0.1, 0.5, 1.8, 7.0, 30.0]),
    demand=st.floats(0.2, 20.0),
    busy=st.integers(1, 7),
    restart_every_s=st.sampled_from([0.0, 0.7, 3.0]),
    faults=faults,
    duration_s=st.just(DURATION_S),
)


@given(loads, st.integers(0, 2**16))
@run_settings(25)
def test_server_gets_no_more_than_the_rule_allows(load: Load, seed: int) -> None:
    result = replay(load, "one issuer", seed)
    assert result.most_requests <= 1.5 * load.limit_per_s * WINDOW_S + 5
