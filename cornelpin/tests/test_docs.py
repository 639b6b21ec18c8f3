from __future__ import annotations

import re
from pathlib import Path

import attrs
import pytest

from cornelpin.cli import exit_codes
from cornelpin.core import config
from cornelpin.core.verdict import HTTP_STATUS, Reason
from cornelpin.daemon import settings

ROOT = Path(__file__).parents[2]
INTERNAL = {Reason.STALE_NUMBER, Reason.INVALID_PATCH, Reason.CANCELLED}

# Page and the classes whose every field it must name.
REFERENCES = [
    (
        "docs/settings.md",
        [
            settings.Settings,
            settings.ObjectsSettings,
            settings.BackendSettings,
            settings.LogSettings,
            settings.TlsSettings,
            settings.LimitSettings,
        ],
    ),
    (
        "docs/configuration.md",
        [
            config.Tier,
            config.Workspace,
            config.Limits,
            config.Route,
            config.BackendServer,
            config.Entry,
            config.Host,
            config.Move,
            config.Operator,
            config.Retention,
        ],
    ),
]


def quoted(text: str) -> set[str]:
    return set(re.findall(r"[a-z0-9_]+", " ".join(re.findall(r"`([^`]+)`", text))))


@pytest.mark.parametrize(("page", "classes"), REFERENCES)
def test_a_reference_names_every_key(page: str, classes: list[type]) -> None:
    named = quoted((ROOT / page).read_text())
    fields = {
        field.name
        for cls in classes
        for field in attrs.fields(cls)
        if not (field.name == "name" and field.default == "")
    }
    assert fields - named == set()


def test_the_callers_page_names_every_reason_and_status() -> None:
    text = (ROOT / "docs/callers.md").read_text()
    shown = set(Reason) - INTERNAL
    assert {reason.value for reason in shown} - quoted(text) == set()
    assert all(str(HTTP_STATUS[reason]) in text for reason in shown)


def test_the_command_line_page_names_every_exit_code() -> None:
    text = (ROOT / "docs/operators/command-line.md").read_text()
    for code, meaning in exit_codes.MEANINGS.items():
        assert re.search(rf"\| {code} \| .*{re.escape(meaning[:20])}", text), code
