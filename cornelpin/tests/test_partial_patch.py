import copy

import pytest
from hypothesis import given, settings, strategies as st

from cornelpin.core._checking import Fault
from cornelpin.core.config import Config, parse_config
from cornelpin.core.partial_patch import (
    Change,
    WholeDocumentNeeded,
    apply_partial_patch,
)
from cornelpin.core.patch import merge_patch
from cornelpin.core.sections import digests, split


def workspace(index, **changes):
    entry = {"token_sha256": [f"{index:064x}"], "routes": ["r"], "tiers": ["t"]}
    return {**entry, **changes}


def document(workspaces):
    return {
        "tiers": {"t": {}},
        "routes": {"r": {"tier": "t", "backend_servers": ["b"]}},
        "backend_servers": {"b": {"host": "h", "peer_port": 1}},
        "hosts": {"h": {"address": "10.0.0.1"}},
        "workspaces": {f"w{i}": workspace(i) for i in range(workspaces)},
    }


def apply_both(before, patch):
    """Returns the outcome of the changed sections alone and of the whole document."""
    names, sections = digests(split(before)), split(before)
    held = {names[name]: value for name, value in sections.items()}
    config = parse_config(before, number=1)
    after = merge_patch(before, patch)
    return apply_partial_patch(config, names, held, patch), parse_config(
        after, number=2
    )


CASES = {
    "change": {"workspaces": {"w1": {"share": 2.0}}},
    "add": {"workspaces": {"new": workspace(999)}},
    "remove": {"workspaces": {"w1": None}},
    "remove unknown": {"workspaces": {"unknown": None}},
    "host and server": {
        "hosts": {"i": {"address": "10.0.0.2"}},
        "backend_servers": {"c": {"host": "i", "peer_port": 2}},
    },
    "drain": {"hosts": {"h": {"leaving": True}}},
    "swap tokens": {"workspaces": {"w1": workspace(2), "w2": workspace(1)}},
}
FAULTS = {
    "unknown route": {"workspaces": {"w1": {"routes": ["x"]}}},
    "unknown key": {"workspaces": {"w1": {"x": 1}}},
    "no object": {"workspaces": {"w1": 3}},
    "taken token": {"workspaces": {"new": workspace(1)}},
    "taken token of a later one": {"workspaces": {"w0": workspace(3)}},
}
WHOLE = {
    "tier": {"tiers": {"t": {"urgency": 1}}},
    "server removed": {"backend_servers": {"b": None}},
    "section removed": {"workspaces": None},
    "new section": {"entries": {}},
}


@pytest.mark.parametrize("workspaces", [10, 200])
@pytest.mark.parametrize("name", CASES)
def test_a_change_gives_what_the_whole_document_gives(name, workspaces):
    before = document(workspaces)
    change, config = apply_both(before, CASES[name])
    assert isinstance(change, Change)
    assert change.config == config
    sections = split(merge_patch(before, CASES[name]))
    assert change.names == digests(sections)
    assert set(change.sections) == set(change.names.values())


@pytest.mark.parametrize("name", FAULTS)
def test_faults_are_those_of_the_whole_document(name):
    found, whole = apply_both(document(10), FAULTS[name])
    assert found == whole.faults
    assert all(isinstance(fault, Fault) for fault in found)


@pytest.mark.parametrize("name", WHOLE)
def test_other_patches_need_the_whole_document(name):
    assert apply_both(document(10), WHOLE[name])[0] == WholeDocumentNeeded()


@pytest.mark.parametrize("before, added", [(60, 10), (70, -10)])
def test_a_section_that_gets_or_loses_shards_needs_the_whole_document(before, added):
    names = range(before, before + added) if added > 0 else range(-added)
    values = {f"w{i}": workspace(i) if added > 0 else None for i in names}
    assert (
        apply_both(document(before), {"workspaces": values})[0] == WholeDocumentNeeded()
    )


ENTRIES = st.sampled_from([f"w{i}" for i in range(100)])
VALUES = st.one_of(
    st.none(),
    st.builds(lambda i: workspace(i), st.integers(0, 120)),
    st.builds(lambda share: {"share": share}, st.sampled_from([1.0, 2.0, -1.0])),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.dictionaries(ENTRIES, VALUES, min_size=1, max_size=6))
def test_any_patch_of_workspaces_agrees_with_the_whole_document(values):
    before = document(90)
    untouched = copy.deepcopy(before)
    change, whole = apply_both(before, {"workspaces": values})
    assert before == untouched
    if isinstance(whole, Config):
        assert change.config == whole
        after = merge_patch(before, {"workspaces": values})
        assert change.names == digests(split(after))
    else:
        assert change == whole.faults
