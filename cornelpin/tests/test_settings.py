"""Settings files: valid ones are read, and each fault is reported with its path."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from cornelpin.daemon.settings import Settings, SettingsFaults, load_settings

ENTRY = {
    "role": "entry",
    "name": "e1",
    "host": "h1",
    "data_centre": "catania",
    "address": "10.0.0.1",
    "peer_port": 7000,
    "http_port": 8000,
    "shared_key": "0123456789abcdef",
    "objects": {"kind": "http", "url": "http://10.0.0.9:9000"},
}
BACKEND = {"name": "f1", "url": "http://127.0.0.1:9"}
SIDE = ENTRY | {"role": "side", "http_port": None, "backend": BACKEND}


def load(tmp_path: Path, document: dict) -> Settings | SettingsFaults:
    path = tmp_path / "settings.jsonc"
    path.write_text("// comment\n" + json.dumps(document))
    return load_settings(path)


@pytest.mark.parametrize("document", [ENTRY, SIDE, ENTRY | {"seeds": ["[::1]:70"]}])
def test_valid_settings_are_loaded(tmp_path: Path, document: dict) -> None:
    settings = load(tmp_path, document)
    assert isinstance(settings, Settings)
    assert settings.role == document["role"]
    assert settings.limits.held_requests == 400
    assert "0123456789abcdef" not in repr(settings)


@pytest.mark.parametrize(
    ("document", "path", "valid"),
    [
        (ENTRY | {"role": "edge"}, "$.role", "entry, side"),
        (ENTRY | {"adress": "10.0.0.1"}, "$.adress", "nearest: address"),
        (ENTRY | {"address": "h1"}, "$.address", "IP address"),
        (ENTRY | {"peer_port": 70000}, "$.peer_port", "at most 65535"),
        (ENTRY | {"http_port": None}, "$.http_port", "an entry needs one"),
        (ENTRY | {"shared_key": None}, "$.shared_key", "either"),
        (ENTRY | {"shared_key_file": "k"}, "$.shared_key", "either"),
        (ENTRY | {"shared_key": "short"}, "$.shared_key", "16"),
        (ENTRY | {"objects": {"kind": "ftp", "url": "x"}}, "$.objects.kind", "http"),
        (ENTRY | {"objects": {"kind": "ftp", "url": "x"}}, "$.objects.url", "URL"),
        (ENTRY | {"backend": BACKEND}, "$.backend", "null for an entry"),
        (ENTRY | {"seeds": ["10.0.0.1"]}, "$.seeds[0]", "10.0.0.1:7"),
        (ENTRY | {"seeds": ["::1:70"]}, "$.seeds[0]", "10.0.0.1:7"),
        (ENTRY | {"otlp_url": "http://h:99999"}, "$.otlp_url", "URL"),
        (SIDE | {"backend": None}, "$.backend", "a side needs"),
        (SIDE | {"backend": BACKEND | {"slots": 0}}, "$.backend.slots", "1024"),
        (
            SIDE | {"bootstrap_operator_sha256": "0" * 64},
            "$.bootstrap_operator_sha256",
            "null for a side",
        ),
    ],
)
def test_fault_is_reported_with_path_and_valid_values(
    tmp_path: Path, document: dict, path: str, valid: str
) -> None:
    result = load(tmp_path, document)
    assert isinstance(result, SettingsFaults)
    fault = next(fault for fault in result.faults if fault.path == path)
    assert valid in fault.valid
    assert "short" not in str(result)


@pytest.mark.parametrize("text", ["", "{", "{} {}", '{"a": }', "{a: 1, a: 2}"])
def test_malformed_file_is_reported(tmp_path: Path, text: str) -> None:
    path = tmp_path / "settings.jsonc"
    path.write_text(text)
    assert isinstance(load_settings(path), SettingsFaults)


@pytest.mark.parametrize(
    ("content", "key"), [("0123456789abcdef\n", "0123456789abcdef"), ("x", None)]
)
def test_shared_key_is_read_from_file(
    tmp_path: Path, content: str, key: str | None
) -> None:
    path = tmp_path / "key"
    path.write_text(content)
    document = {k: v for k, v in ENTRY.items() if k != "shared_key"}
    settings = load(tmp_path, document | {"shared_key_file": str(path)})
    assert getattr(settings, "shared_key", None) == key
