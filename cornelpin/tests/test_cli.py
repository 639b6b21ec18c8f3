"""Output, error messages and exit codes of the command line against a fake entry."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from cornelpin.cli.main import cli
from cornelpin.tests.http_server import serve

CONFIG = {"number": 4, "document": {"hosts": {"h1": {"address": "10.0.0.1"}}}}
HISTORY = [
    {"number": 1, "author": "anna", "at": 1.0, "patch": {"a": {"b": 1}}},
    {"number": 2, "author": "bice", "at": 2.0, "patch": {"a": {"b": None, "c": 2}}},
]
EVENT = {"at": 1.5, "process": "e1", "kind": "grant", "request": "<r>", "detail": "x"}
STATUS = {"processes": [{"name": "e1", "number": 4}], "routes": [], "tiers": []}
COMPLETION = {"choices": [{"text": "cooling"}]}
ANSWERS = {
    "/admin/v1/config": CONFIG,
    "/admin/v1/config/status": {"number": 4, "processes": STATUS["processes"]},
    "/admin/v1/config/history": HISTORY,
    "/admin/v1/status": STATUS,
    "/admin/v1/moves": [{"name": "m", "state": "done"}],
    "/admin/v1/timeline": [EVENT],
    "/admin/v1/config/patches": {"number": 5},
    "/v1/completions": COMPLETION,
}


def run(arguments: list[str], **overrides: object) -> object:
    def respond(method: str, path: str, headers: dict, body: bytes) -> object:
        if headers["Authorization"] != "Bearer t":
            return (401, {}, b"{}")
        if method == "POST" and "post" in overrides:
            return overrides["post"]
        return (200, {}, json.dumps(ANSWERS[path.partition("?")[0]]).encode())

    with serve(respond) as url:
        env = {"CORNELPIN_ENTRY": url, "CORNELPIN_TOKEN": "t"}
        return CliRunner().invoke(cli, arguments, env=env)


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["config", "show"], '"hosts"'),
        (["config", "show", "--output", "json"], '"number": 4'),
        (["--output", "json", "config", "status"], '"processes"'),
        (["config", "history"], "1970-01-01T00:00:01.000Z"),
        (["config", "diff", "1", "2"], '"c": 2'),
        (["status"], "e1"),
        (["moves"], "done"),
        (["drain", "h1"], "number 5"),
        (["timeline"], "grant"),
        (["send", "--route", "r", "why"], "cooling"),
        (["completion", "bash"], "_CORNELPIN_COMPLETE"),
        (["--help"], "stale configuration number"),
    ],
)
def test_command_output(arguments: list[str], text: str) -> None:
    result = run(arguments)
    assert result.exit_code == 0, result.output
    assert text in result.output


def test_timeline_page_escapes_html(tmp_path: Path) -> None:
    file = tmp_path / "page.html"
    assert run(["timeline", "--output", "html", str(file)]).exit_code == 0
    assert "&lt;r&gt;" in file.read_text()


def problem(status: int, **members: object) -> tuple:
    return (status, {}, json.dumps(members).encode())


FAULT = {"path": "$.tiers.a", "value": 1, "valid": "an object"}


@pytest.mark.parametrize(
    ("answer", "code", "text"),
    [
        (problem(200, number=5), 0, "number 5"),
        (problem(403), 1, "check --token"),
        (problem(503, detail="outage"), 1, "outage"),
        (problem(422, faults=[FAULT]), 2, "$.tiers.a"),
        (problem(409, current=6, changed={"x": 1}), 3, "--base 6"),
        (problem(503, may_have_run=True), 5, "history --from 5"),
        (problem(502), 5, "outcome unknown"),
        (None, 5, "outcome unknown"),
    ],
)
def test_patch_outcome_sets_exit_code_and_advice(
    tmp_path: Path, answer: object, code: int, text: str
) -> None:
    file = tmp_path / "patch.json"
    file.write_text("{}")
    result = run(["config", "patch", "--base", "4", str(file)], post=answer)
    assert (result.exit_code, text in result.output) == (code, True)


@pytest.mark.parametrize(
    ("content", "code", "text"),
    [
        ("{}", 0, "valid configuration"),
        ("{tiers: 1}", 2, "$.tiers"),
        ('{role: "side"}', 2, "$.shared_key"),
        ("{", 2, "not JSON"),
    ],
)
def test_check_output_and_exit_code(
    tmp_path: Path, content: str, code: int, text: str
) -> None:
    file = tmp_path / "file.jsonc"
    file.write_text(content)
    result = CliRunner().invoke(cli, ["check", str(file)])
    assert (result.exit_code, text in result.output) == (code, True)


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["status"], 2),
        (["--entry", "ftp://h", "status"], 2),
        (["--entry", "http://127.0.0.1:1", "status"], 4),
    ],
)
def test_missing_invalid_or_unreachable_entry(arguments: list[str], code: int) -> None:
    assert CliRunner().invoke(cli, arguments).exit_code == code
