"""Merge patches, and documents split into sections that fit the object store."""

from __future__ import annotations

import pytest

from cornelpin.core.config import Config, parse_config
from cornelpin.core.patch import diff, merge_patch
from cornelpin.core.sections import Head, digests, join, split
from cornelpin.stores.objects import MAX_VALUE_BYTES


@pytest.mark.parametrize(
    ("document", "patch", "result"),
    [
        ({"a": "b"}, {"a": "c"}, {"a": "c"}),
        ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
        ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
        ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
        ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
        ({"a": "foo"}, "bar", "bar"),
        ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ],
)
def test_merge_patch_follows_rfc_7396(
    document: object, patch: object, result: object
) -> None:
    assert merge_patch(document, patch) == result


@pytest.mark.parametrize(
    ("old", "new", "patch"),
    [
        ({}, {}, {}),
        ({"a": 1, "b": 2}, {"a": 1, "c": 3}, {"b": None, "c": 3}),
        ({"a": {"b": 1, "c": 1}}, {"a": {"b": 1}}, {"a": {"c": None}}),
        ({"a": {"b": 1}}, {"a": {}}, {"a": {"b": None}}),
        ({"a": 1}, {"a": True}, {"a": True}),
        ({"a": [1]}, {"a": [1, 2]}, {"a": [1, 2]}),
    ],
)
def test_diff_is_the_merge_patch_between_two_documents(
    old: dict, new: dict, patch: dict
) -> None:
    assert diff(old, new) == patch
    assert merge_patch(old, patch) == new


@pytest.mark.parametrize("count", [0, 1, 64, 65, 13_000])
def test_sections_and_head_fit_the_object_store(count: int) -> None:
    workspace = {"token_sha256": ["0" * 64], "share": 2, "limits": {"concurrent": 4}}
    document = {
        "retention": {"answers_s": 5},
        "workspaces": {
            f"w{i}": workspace | {"token_sha256": [f"{i:064x}"]} for i in range(count)
        },
    }
    sections = split(document)
    head = Head(
        number=1,
        sections=digests(sections),
        patch=digests(sections),
        patch_id="p",
        author="anna",
        at=1.0,
    )
    assert join(sections) == document
    assert max(map(len, sections.values())) < MAX_VALUE_BYTES
    assert Head.decode(head.encode()) == head
    assert len(head.encode()) < MAX_VALUE_BYTES
    assert isinstance(parse_config(document), Config)
