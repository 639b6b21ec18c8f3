"""Retired links: closed only once idle, and restored if they are wanted again."""

from __future__ import annotations

import threading
from types import SimpleNamespace

import pytest

from cornelpin.daemon import links
from cornelpin.daemon.endpoints import Endpoint
from cornelpin.daemon.links import LinkTable

WANTED = {"f1": Endpoint("127.0.0.1:1", "dc-1")}


@pytest.fixture
def retired() -> list[str]:
    return []


@pytest.fixture
def table(monkeypatch: pytest.MonkeyPatch, retired: list[str]) -> LinkTable:
    monkeypatch.setattr(links, "MIN_RETIRED_S", -1.0)
    supervisor = SimpleNamespace(
        start=lambda name, child, interrupt: threading.Event(),
    )
    return LinkTable(
        SimpleNamespace(supervisor=supervisor),
        wanted=lambda config: {},
        on_open=lambda link, peer: None,
        on_message=lambda link, peer, msg: None,
        on_lost=lambda link: None,
        on_retired=lambda link: retired.append(link.name),
    )


def test_retired_link_is_closed_only_when_idle(
    table: LinkTable, retired: list[str]
) -> None:
    table.reconcile(WANTED)
    (link,) = table.all()
    table.reconcile({})
    assert (table.all(), table.all_with_retired(), retired) == ([], [link], ["f1"])
    table.close_retired({link})
    assert table.all_with_retired() == [link]
    table.close_retired(set())
    assert table.all_with_retired() == []


def test_retired_link_is_restored_when_wanted_again(table: LinkTable) -> None:
    table.reconcile(WANTED)
    (link,) = table.all()
    table.reconcile({})
    assert link.retired
    table.reconcile(WANTED)
    assert table.all() == table.all_with_retired() == [link]
    assert not link.retired


def test_changed_endpoint_gets_a_new_link(table: LinkTable) -> None:
    table.reconcile(WANTED)
    (link,) = table.all()
    table.reconcile({"f1": Endpoint("127.0.0.1:2", "dc-1")})
    (moved,) = table.all()
    assert moved is not link
    assert set(table.all_with_retired()) == {link, moved}
