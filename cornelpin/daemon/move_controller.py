"""The controller of all moves: one entry, chosen by a lease.

Each step reads what is stored, derives the next state from it and writes that
conditionally before it is spread, so that a successor can continue anywhere and a
paused predecessor changes nothing. Without the store nothing goes forward.
"""

from __future__ import annotations

import secrets
import threading
import time
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from cornelpin.core.configstore import Accepted
from cornelpin.core.lease import Lease
from cornelpin.core.move_plan import (
    MoveInputs,
    next_record,
    next_share,
    ready_to_switch,
    servers_wanted,
)
from cornelpin.core.move_state import MoveBook, MoveRecord, MoveState
from cornelpin.core.move_store import LEASE_KEY, MoveStore
from cornelpin.daemon.move_loader import VersionLoader

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.core.config import Config, Move
    from cornelpin.core.configstore import Submission
    from cornelpin.daemon.links import Link
    from cornelpin.daemon.move_analyses import MoveAnalyses
    from cornelpin.daemon.move_view import MoveView
    from cornelpin.daemon.process import Process
    from cornelpin.stores.objects import ObjectStore

STEP_S = 0.25
AUTHOR = "controller"
ATTEMPT_BYTES = 6
UNLOAD_AFTER_S = 5.0


@attrs.frozen
class _Stage:
    """A record's position, and since when this controller has seen it."""

    attempt: str
    state: MoveState
    stage: int
    since: float


class MoveController:
    """Drives the moves while this entry holds the lease.

    Args:
        process: The process.
        objects: The object store.
        view: State of the moves in this process.
        judges: Judgements of the running moves.
        links_of: Returns the links to given backend servers.
        submit: Submits a patch under a base number and an author.
    """

    def __init__(
        self,
        process: Process,
        objects: ObjectStore,
        view: MoveView,
        judges: MoveAnalyses,
        *,
        links_of: Callable[[tuple[str, ...]], list[Link]],
        submit: Callable[..., Submission],
    ) -> None:
        self._process = process
        self._view = view
        self._judges = judges
        self._links_of = links_of
        self._submit = submit
        holder = f"{process.settings.name}/{process.incarnation}"
        self._lease = Lease(objects, LEASE_KEY, holder)
        self._store = MoveStore(objects)
        self._stages: dict[str, _Stage] = {}
        self._lease_due = 0.0
        self.loader = VersionLoader()

    def run(self, stop: threading.Event) -> None:
        """Steps until stopped; then gives the lease up."""
        while not stop.wait(STEP_S):
            if self._process.leaving.is_set():
                self._lease.release()
            elif self._needed():
                self._step()
        self._lease.release()

    def _needed(self) -> bool:
        return bool(self._process.view.config.moves or self._view.book.records)

    def _step(self) -> None:
        held = self._keep_lease()
        if not held:
            self._store.forget()
            return
        if not self._store.known and not self._store.load(self._view.book):
            return
        self._view.publish(self._store.book)
        config = self._process.view.config
        records = {
            name: self._next(move, config) for name, move in config.moves.items()
        }
        self._write(records)
        if not self._store.known:
            return
        self._load_routes(config)
        for record in self._store.book.records.values():
            self._order(record, config)

    def _keep_lease(self) -> bool:
        now = time.monotonic()
        if now >= self._lease_due:
            fence = self._lease.fence
            self._lease.step()
            self._lease_due = now + self._lease.pause_s
            if self._lease.fence not in (0, fence):
                self._store.forget()
                self._stages.clear()
                logger.info("controller of the moves, fence {}", self._lease.fence)
                self._process.ring.record(
                    "controller.elected", detail=f"fence {self._lease.fence}"
                )
        return self._lease.held

    # Records

    def _next(self, move: Move, config: Config) -> MoveRecord:
        record = self._store.book.records.get(move.name)
        if record is None or not _same_move(record, move):
            return _new_record(move)
        self._note_stage(record)
        facts = self._facts(record, move, config)
        if record.state is MoveState.TAKEN_BACK and facts.switched:
            self._patch_route(record.route, move.from_version)
        if ready_to_switch(record, move, facts):
            if self._confirm():
                self._patch_route(record.route, move.to_version)
            return record
        changed = next_record(record, move, facts)
        if changed.state is MoveState.TAKEN_BACK and facts.switched:
            self._patch_route(record.route, move.from_version)
            return record
        return changed

    def _note_stage(self, record: MoveRecord) -> None:
        seen = self._stages.get(record.name)
        position = (record.attempt, record.state, record.stage)
        if seen is None or (seen.attempt, seen.state, seen.stage) != position:
            self._stages[record.name] = _Stage(*position, time.monotonic())

    def _age_s(self, record: MoveRecord) -> float:
        seen = self._stages.get(record.name)
        return time.monotonic() - seen.since if seen is not None else 0.0

    def _facts(self, record: MoveRecord, move: Move, config: Config) -> MoveInputs:
        links = self._usable(record.route, config)
        route = config.routes[record.route]
        return MoveInputs(
            brake=self._view.brake_reason(record.attempt),
            assessment=self._judges.assess(record.attempt),
            servers=len(links),
            loaded=sum(link.has_version(move.to_version) for link in links),
            stage_age_s=self._age_s(record),
            left_s=move.finish_by - time.time(),
            switched=route.version == move.to_version,
            load_failure=self.loader.failure(
                move.to_version, {link.name for link in links}
            ),
        )

    def _usable(self, route: str, config: Config) -> list[Link]:
        servers = config.routes[route].backend_servers
        return [link for link in self._links_of(servers) if link.usable]

    def _write(self, records: dict[str, MoveRecord]) -> None:
        """Stores changed records and spreads them once they are stored."""
        book = self._store.book
        if records == dict(book.records) and book.fence == self._lease.fence:
            return
        self._replace(records)

    def _confirm(self) -> bool:
        """Writes the state again, which fails if the one last read was stale."""
        return self._replace(self._store.book.records)

    def _replace(self, records: Mapping[str, MoveRecord]) -> bool:
        number = self._store.book.number + 1
        changed = MoveBook(number, self._lease.fence, records)
        if not self._lease.held or not self._store.known:
            return False
        if not self._store.replace(changed):
            return False
        self._view.publish(changed)
        return True

    def _patch_route(self, route: str, version: str) -> None:
        """Changes the version of a route; a stale base is tried again later."""
        if not self._lease.held:
            return
        number = self._process.view.number
        patch = {"routes": {route: {"version": version}}}
        outcome = self._submit(number, patch, author=AUTHOR)
        if not isinstance(outcome, Accepted):
            logger.info("route {} not patched to {}: {}", route, version, outcome)

    # Orders

    def _order(self, record: MoveRecord, config: Config) -> None:
        if record.route not in config.routes or not self._lease.held:
            return
        links = sorted(self._usable(record.route, config), key=lambda link: link.name)
        if record.state is MoveState.DONE:
            self._unload(links, record, record.from_version, config)
        elif record.state is MoveState.TAKEN_BACK:
            self._unload(links, record, record.to_version, config)
        elif self._may_load(record):
            self._load_for_stage(links, record, config.moves[record.name])

    def _load_routes(self, config: Config) -> None:
        """Loads the version of a route where a restarted server lacks it."""
        for name, route in config.routes.items():
            if route.version:
                self._load(self._usable(name, config), route.version)

    def _may_load(self, record: MoveRecord) -> bool:
        stopped = record.state is MoveState.PAUSED or self._view.brake_reason(
            record.attempt
        )
        return not stopped

    def _load_for_stage(
        self, links: list[Link], record: MoveRecord, move: Move
    ) -> None:
        wanted = servers_wanted(len(links), next_share(record, move))
        links.sort(key=lambda link: not link.has_version(record.to_version))
        self._load(links[:wanted], record.to_version)

    def _load(self, links: list[Link], version: str) -> None:
        for link in links:
            if link.lacks_version(version):
                self.loader.order(link, "load", version, self._lease.fence)

    def _unload(
        self, links: list[Link], record: MoveRecord, version: str, config: Config
    ) -> None:
        wanted = {route.version for route in config.routes.values()}
        for other in self._view.active_records():
            wanted |= {other.from_version, other.to_version}
        if version in wanted or self._age_s(record) < UNLOAD_AFTER_S:
            return
        for link in links:
            if link.has_version(version):
                self.loader.order(link, "unload", version, self._lease.fence)


def _same_move(record: MoveRecord, move: Move) -> bool:
    return (record.route, record.from_version, record.to_version) == (
        move.route,
        move.from_version,
        move.to_version,
    )


def _new_record(move: Move) -> MoveRecord:
    return MoveRecord(
        name=move.name,
        route=move.route,
        from_version=move.from_version,
        to_version=move.to_version,
        attempt=f"{move.name}-{secrets.token_hex(ATTEMPT_BYTES)}",
    )
