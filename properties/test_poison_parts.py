"""Parts of prompts that crash servers, in a model of entries and servers.

Few requests with such a part reach servers once five have crashed, and sound requests
that share the other parts are not rejected.
"""

from __future__ import annotations

from hypothesis import given, strategies as st

from properties.poison_model import PoisonModel, Scene
from properties.profiles import run_settings

scenes = st.builds(
    Scene,
    seed=st.integers(min_value=0, max_value=2**32),
    entries=st.sampled_from([1, 3, 6, 24]),
    servers=st.sampled_from([3, 5, 9, 40]),
    poison_per_s=st.sampled_from([0.7, 2.0, 6.0]),
    sound_per_s=st.sampled_from([5.0, 20.0, 40.0]),
    first_parts=st.sampled_from([1, 8, 40]),
    loss=st.sampled_from([0.0, 0.03, 0.2]),
    other_crashes_per_s=st.sampled_from([0.0, 0.3]),
    warm=st.booleans(),
)


@run_settings(60)
@given(scenes)
def test_few_requests_with_a_part_that_crashes_servers_reach_them(scene: Scene) -> None:
    model = PoisonModel(scene)
    model.run(25.0)
    assert model.late_poison <= 3, f"{model.late_poison} reached servers"
    assert model.sound_rejected <= 0.1 * model.sound_sent
