"""A patch applied to the changed sections must equal one applied to the whole.

Each case compares configuration, digests and faults of both ways.
"""

import copy

import pytest
from hypothesis import given, settings, strategies as st

from cornelpin.core._checking import Fault
from cornelpin.core.config import Config, parse_config
from cornelpin.core.partial_patch import (
    PatchedConfig,
    WholeDocumentNeeded,
    apply_partial_patch,
)
from cornelpin.core.patch import merge_patch
from cornelpin.core.sections import digests, split


def make_workspace(index, **changes):
    entry = {"token_sha256": [f"{index:064x}"], "routes": ["r"], "tiers": ["t"]}
    return {**entry, **changes}


def make_document(workspaces):
    return {
        "tiers": {"t": {}},
        "routes": {"r": {"tier": "t", "backend_servers": ["b"]}},
        "backend_servers": {"b": {"host": "h", "peer_port": 1}},
        "hosts": {"h": {"address": "10.0.0.1"}},
        "workspaces": {f"w{i}": make_workspace(i) for i in range(workspaces)},
    }


def apply_both(before, patch):
    """Returns the outcomes of patching the changed sections and the whole document."""
    names, sections = digests(split(before)), split(before)
    by_digest = {names[name]: value for name, value in sections.items()}
    config = parse_config(before, number=1)
    after = merge_patch(before, patch)
    return (
        apply_partial_patch(config, names, by_digest, patch),
        parse_config(after, number=2),
    )


PARTIAL_PATCHES = {
    "change": {"workspaces": {"w1": {"share": 2.0}}},
    "add": {"workspaces": {"new": make_workspace(999)}},
    "remove": {"workspaces": {"w1": None}},
    "remove unknown": {"workspaces": {"unknown": None}},
    "host and server": {
        "hosts": {"i": {"address": "10.0.0.2"}},
        "backend_servers": {"c": {"host": "i", "peer_port": 2}},
    },
    "drain": {"hosts": {"h": {"leaving": True}}},
    "swap tokens": {"workspaces": {"w1": make_workspace(2), "w2": make_workspace(1)}},
}
INVALID_PATCHES = {
    "unknown route": {"workspaces": {"w1": {"routes": ["x"]}}},
    "unknown key": {"workspaces": {"w1": {"x": 1}}},
    "no object": {"workspaces": {"w1": 3}},
    "taken token": {"workspaces": {"new": make_workspace(1)}},
    "taken token of a later one": {"workspaces": {"w0": make_workspace(3)}},
}
WHOLE_DOCUMENT_PATCHES = {
    "tier": {"tiers": {"t": {"urgency": 1}}},
    "server removed": {"backend_servers": {"b": None}},
    "section removed": {"workspaces": None},
    "new section": {"entries": {}},
}


@pytest.mark.parametrize("workspaces", [10, 200])
@pytest.mark.parametrize("name", PARTIAL_PATCHES)
def test_partial_patch_equals_patch_of_whole_document(name, workspaces):
    before = make_document(workspaces)
    patched, config = apply_both(before, PARTIAL_PATCHES[name])
    assert isinstance(patched, PatchedConfig)
    assert patched.config == config
    sections = split(merge_patch(before, PARTIAL_PATCHES[name]))
    assert patched.digest_by_name == digests(sections)
    assert set(patched.sections) == set(patched.digest_by_name.values())


@pytest.mark.parametrize("name", INVALID_PATCHES)
def test_partial_patch_reports_the_faults_of_the_whole_document(name):
    found, whole = apply_both(make_document(10), INVALID_PATCHES[name])
    assert found == whole.faults
    assert all(isinstance(fault, Fault) for fault in found)


@pytest.mark.parametrize("name", WHOLE_DOCUMENT_PATCHES)
def test_other_patches_need_the_whole_document(name):
    assert (
        apply_both(make_document(10), WHOLE_DOCUMENT_PATCHES[name])[0]
        == WholeDocumentNeeded()
    )


# A key with more than 64 items (SHARD_ABOVE_ITEMS) is split into several sections.
@pytest.mark.parametrize("before, added", [(60, 10), (70, -10)])
def test_patch_that_splits_or_joins_a_section_needs_the_whole_document(before, added):
    names = range(before, before + added) if added > 0 else range(-added)
    values = {f"w{i}": make_workspace(i) if added > 0 else None for i in names}
    assert (
        apply_both(make_document(before), {"workspaces": values})[0]
        == WholeDocumentNeeded()
    )


ENTRIES = st.sampled_from([f"w{i}" for i in range(100)])
VALUES = st.one_of(
    st.none(),
    st.builds(lambda i: make_workspace(i), st.integers(0, 120)),
    st.builds(lambda share: {"share": share}, st.sampled_from([1.0, 2.0, -1.0])),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.dictionaries(ENTRIES, VALUES, min_size=1, max_size=6))
def test_random_partial_patch_equals_patch_of_whole_document(values):
    before = make_document(90)
    untouched = copy.deepcopy(before)
    patched, whole = apply_both(before, {"workspaces": values})
    assert before == untouched
    if isinstance(whole, Config):
        assert patched.config == whole
        after = merge_patch(before, {"workspaces": values})
        assert patched.digest_by_name == digests(split(after))
    else:
        assert patched == whole.faults
