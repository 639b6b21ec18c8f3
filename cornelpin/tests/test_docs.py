from __future__ import annotations

import re
from pathlib import Path

import attrs
import pytest

from cornelpin.cli import exit_codes
from cornelpin.core import config
from cornelpin.core.execution import HTTP_STATUS, Reason
from cornelpin.daemon import settings

ROOT = Path(__file__).parents[2]
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
TABLE_ROW = re.compile(r"^\|.*\|$", re.M)
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


def test_the_page_of_promises_names_scenarios_and_files_that_exist() -> None:
    rows = TABLE_ROW.findall((ROOT / "docs/PROMISES.md").read_text())
    scenarios = {p.stem for p in (ROOT / "cornelpin/tests/scenarios").glob("*.jsonc")}
    files = {str(p.relative_to(ROOT)) for p in ROOT.rglob("*.py")}
    named = re.findall(r"`([a-z_/]+(?:\.py)?\*?)`", " ".join(rows))
    missing = [
        name
        for name in named
        if name not in scenarios
        and not any(file.endswith(f"/{name}") or file == name for file in files)
        and not name.endswith("*")
    ]
    assert missing == []


@pytest.mark.parametrize(
    "page",
    [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))],
    ids=lambda page: str(page.relative_to(ROOT)),
)
def test_links_between_pages_lead_somewhere(page: Path) -> None:
    targets = LINK.findall(page.read_text())
    missing = [t for t in targets if not (page.parent / t).exists()]
    assert missing == []
