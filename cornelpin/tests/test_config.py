"""Parsing and validation of configuration documents."""

from __future__ import annotations

import hashlib

import pytest

from cornelpin.core.config import Config, ConfigFaults, parse_config

DIGEST = hashlib.sha256(b"secret").hexdigest()


def valid_document() -> dict:
    return {
        "tiers": {"quench": {"shed_order": 2}, "tags": {}},
        "workspaces": {
            "shop": {"token_sha256": [DIGEST], "routes": ["furnace"], "tiers": ["tags"]}
        },
        "routes": {
            "furnace": {"tier": "quench", "backend_servers": ["f1"], "version": "1"}
        },
        "backend_servers": {"f1": {"host": "h1", "peer_port": 7000}},
        "hosts": {"h1": {"address": "10.0.0.1", "data_centre": "catania"}},
        "moves": {
            "m": {
                "route": "furnace",
                "from_version": "1",
                "to_version": "2",
                "finish_by": 2e9,
            }
        },
        "operators": {"anna": {"token_sha256": [DIGEST]}},
    }


def test_parsing_and_lookup_by_token() -> None:
    config = parse_config(valid_document(), number=7)
    assert isinstance(config, Config)
    assert (config.number, config.routes["furnace"].kind) == (7, "model")
    assert config.workspace_by_token("secret") is config.workspaces["shop"]
    assert config.operator_by_token("secret") is config.operators["anna"]
    assert config.workspace_by_token("other") is None
    assert parse_config({}) == Config()


@pytest.mark.parametrize(
    ("keys", "value", "path", "valid"),
    [
        (["tier"], {}, "$.tier", "nearest: tiers"),
        (["tiers", "tags", "urgency"], -1, "$.tiers.tags.urgency", "at least 0"),
        (["tiers", "tags", "urgency"], True, "$.tiers.tags.urgency", "integer"),
        (["tiers", "tags", "urgency"], 10**400, "$.tiers.tags.urgency", "integer"),
        (["tiers", "tags", "weight"], float("nan"), "$.tiers.tags.weight", "number"),
        (["tiers", "tags", "slot_share"], 1.5, "$.tiers.tags.slot_share", "at most 1"),
        (["tiers", "a b"], {}, '$.tiers["a b"]', "a name"),
        (["routes", "furnace", "tier"], "x", "$.routes.furnace.tier", "quench, tags"),
        (["routes", "r"], {}, "$.routes.r.tier", "required"),
        (["routes", "furnace", "kind"], "x", "$.routes.furnace.kind", "model, service"),
        (["backend_servers"], {}, "$.routes.furnace.backend_servers[0]", "defined"),
        (["workspaces", "shop", "tiers"], ["x"], "$.workspaces.shop.tiers[0]", "tags"),
        (["workspaces", "shop", "limits"], 3, "$.workspaces.shop.limits", "object"),
        (
            ["workspaces", "b"],
            {"token_sha256": [DIGEST]},
            "$.workspaces.b.token_sha256[0]",
            "shop does not use",
        ),
        (["hosts", "h1", "address"], "h", "$.hosts.h1.address", "an IP address"),
        (["moves", "m", "route"], "x", "$.moves.m.route", "furnace"),
        (["moves", "m", "to_version"], "1", "$.moves.m.to_version", "other than"),
        (["moves", "m", "from_version"], "0", "$.moves.m.from_version", "one end"),
        (["moves", "m", "stages"], [0.5, 0.2], "$.moves.m.stages", "rise"),
        (["moves", "n"], valid_document()["moves"]["m"], "$.moves.n.route", "it has m"),
        (["moves", "m", "state"], "stop", "$.moves.m.state", "run, pause, take_back"),
    ],
)
def test_invalid_value_is_reported_at_its_path(
    keys: list[str], value: object, path: str, valid: str
) -> None:
    doc = valid_document()
    target = doc
    for key in keys[:-1]:
        target = target[key]
    target[keys[-1]] = value
    result = parse_config(doc)
    assert isinstance(result, ConfigFaults)
    fault = next(fault for fault in result.faults if fault.path == path)
    assert valid in fault.valid


def test_all_faults_are_reported_together() -> None:
    doc = {
        "tiers": 1,
        "routes": {"r": {"tier": "x"}},
        "retention": {"answers_s": 0, "answer_s": 1},
    }
    result = parse_config(doc)
    assert isinstance(result, ConfigFaults)
    paths = [fault.path for fault in result.faults]
    expected = ["$.retention.answer_s", "$.retention.answers_s"]
    assert paths == [*expected, "$.routes.r.tier", "$.tiers"]
