"""Links that are no longer wanted."""

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


def test_an_unwanted_link_is_kept_while_it_carries_something(
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


def test_a_link_wanted_again_is_the_same_one(table: LinkTable) -> None:
    table.reconcile(WANTED)
    (link,) = table.all()
    table.reconcile({})
    assert link.retired
    table.reconcile(WANTED)
    assert table.all() == table.all_with_retired() == [link]
    assert not link.retired


def test_a_server_that_moved_gets_a_link_of_its_own(table: LinkTable) -> None:
    table.reconcile(WANTED)
    (link,) = table.all()
    table.reconcile({"f1": Endpoint("127.0.0.1:2", "dc-1")})
    (moved,) = table.all()
    assert moved is not link
    assert set(table.all_with_retired()) == {link, moved}
