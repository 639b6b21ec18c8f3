"""Guards against documentation that no longer matches the code.

A page drifts when a setting, reason, exit code or scenario is added or renamed, or
when a linked page moves.
"""

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
INTERNAL_REASONS = {Reason.STALE_NUMBER, Reason.INVALID_PATCH, Reason.CANCELLED}

# Each page and the classes whose fields it must name.
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


def words_in_code_spans(text: str) -> set[str]:
    return set(re.findall(r"[a-z0-9_]+", " ".join(re.findall(r"`([^`]+)`", text))))


@pytest.mark.parametrize(("page", "classes"), REFERENCES)
def test_reference_page_names_every_key(page: str, classes: list[type]) -> None:
    named_words = words_in_code_spans((ROOT / page).read_text())
    # A name that defaults to "" is the entry's key in the document, not a field of it.
    fields = {
        field.name
        for cls in classes
        for field in attrs.fields(cls)
        if not (field.name == "name" and field.default == "")
    }
    assert fields - named_words == set()


def test_callers_page_names_every_reason_and_status() -> None:
    text = (ROOT / "docs/callers.md").read_text()
    public_reasons = set(Reason) - INTERNAL_REASONS
    assert {reason.value for reason in public_reasons} - words_in_code_spans(
        text
    ) == set()
    assert all(str(HTTP_STATUS[reason]) in text for reason in public_reasons)


def test_command_line_page_names_every_exit_code() -> None:
    text = (ROOT / "docs/operators/command-line.md").read_text()
    for code, meaning in exit_codes.MEANINGS.items():
        assert re.search(rf"\| {code} \| .*{re.escape(meaning[:20])}", text), code


def test_promises_page_names_existing_scenarios_and_files() -> None:
    rows = TABLE_ROW.findall((ROOT / "docs/PROMISES.md").read_text())
    scenarios = {p.stem for p in (ROOT / "cornelpin/tests/scenarios").glob("*.jsonc")}
    files = {str(p.relative_to(ROOT)) for p in ROOT.rglob("*.py")}
    named_words = re.findall(r"`([a-z_/]+(?:\.py)?\*?)`", " ".join(rows))
    missing = [
        name
        for name in named_words
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
def test_relative_links_resolve(page: Path) -> None:
    targets = LINK.findall(page.read_text())
    missing = [t for t in targets if not (page.parent / t).exists()]
    assert missing == []
