"""The controller of all moves, which runs in the one entry that holds a lease.

Each step derives the next state from the stored one and stores it by a conditional
write before it is published. So a successor can continue at any point, and a paused
predecessor changes nothing. While the store is unavailable, no move advances.
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

STEP_INTERVAL_S = 0.25
AUTHOR = "controller"
ATTEMPT_ID_BYTES = 6
# Time after the end of a move before the version it left is unloaded, for requests
# that are still assigned to that version.
UNLOAD_DELAY_S = 5.0


@attrs.frozen
class _ObservedStage:
    """Attempt, state and stage of a record, and when this controller first saw them.

    Attributes:
        attempt: Id of the attempt of the move.
        state: State of the move.
        stage: Index of its stage.
        since: Monotonic time in seconds of the first observation.
    """

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
        analyses: Canary analyses of the active moves.
        links_of: Returns the links to the given backend servers.
        submit: Submits a patch to the configuration, with its base number and author.
    """

    def __init__(
        self,
        process: Process,
        objects: ObjectStore,
        view: MoveView,
        analyses: MoveAnalyses,
        *,
        links_of: Callable[[tuple[str, ...]], list[Link]],
        submit: Callable[..., Submission],
    ) -> None:
        self._process = process
        self._view = view
        self._analyses = analyses
        self._links_of = links_of
        self._submit = submit
        holder = f"{process.settings.name}/{process.incarnation}"
        self._lease = Lease(objects, LEASE_KEY, holder)
        self._store = MoveStore(objects)
        self._stages: dict[str, _ObservedStage] = {}
        self._lease_due_at = 0.0
        self.loader = VersionLoader()

    def run(self, stop: threading.Event) -> None:
        """Steps until stopped, then releases the lease."""
        while not stop.wait(STEP_INTERVAL_S):
            if self._process.draining.is_set():
                self._lease.release()
            elif self._has_moves():
                self._step()
        self._lease.release()

    def _has_moves(self) -> bool:
        return bool(self._process.view.config.moves or self._view.book.records)

    def _step(self) -> None:
        held = self._maintain_lease()
        if not held:
            self._store.forget()
            return
        if not self._store.known and not self._store.load(self._view.book):
            return
        self._view.publish(self._store.book)
        config = self._process.view.config
        records = {
            name: self._next_record(move, config) for name, move in config.moves.items()
        }
        self._store_records(records)
        if not self._store.known:
            return
        self._load_routes(config)
        for record in self._store.book.records.values():
            self._send_orders(record, config)

    def _maintain_lease(self) -> bool:
        now = time.monotonic()
        if now >= self._lease_due_at:
            fence = self._lease.fence
            self._lease.step()
            # ``pause_s`` is the time until the next renewal.
            self._lease_due_at = now + self._lease.pause_s
            # A new fencing token, other than 0 (none): the lease was newly acquired.
            if self._lease.fence not in (0, fence):
                self._store.forget()
                self._stages.clear()
                logger.info(
                    "elected as controller of moves with fencing token {}",
                    self._lease.fence,
                )
                self._process.ring.record(
                    "controller.elected", detail=f"fence {self._lease.fence}"
                )
        return self._lease.held

    # Records

    def _next_record(self, move: Move, config: Config) -> MoveRecord:
        record = self._store.book.records.get(move.name)
        if record is None or not _same_move(record, move):
            return _new_record(move)
        self._observe_stage(record)
        inputs = self._inputs(record, move, config)
        if record.state is MoveState.TAKEN_BACK and inputs.switched:
            # The route was switched after the roll-back, such as by a controller that
            # was paused in between and has lost the lease.
            self._submit_version(record.route, move.from_version)
        if ready_to_switch(record, move, inputs):
            if self._confirm_state():
                self._submit_version(record.route, move.to_version)
            return record
        changed = next_record(record, move, inputs)
        if changed.state is MoveState.TAKEN_BACK and inputs.switched:
            # The route returns to the old version first; a later step, which sees that
            # it has, stores the roll-back.
            self._submit_version(record.route, move.from_version)
            return record
        return changed

    def _observe_stage(self, record: MoveRecord) -> None:
        observed = self._stages.get(record.name)
        position = (record.attempt, record.state, record.stage)
        if (
            observed is None
            or (observed.attempt, observed.state, observed.stage) != position
        ):
            self._stages[record.name] = _ObservedStage(*position, time.monotonic())

    def _stage_age_s(self, record: MoveRecord) -> float:
        observed = self._stages.get(record.name)
        return time.monotonic() - observed.since if observed is not None else 0.0

    def _inputs(self, record: MoveRecord, move: Move, config: Config) -> MoveInputs:
        links = self._usable_links(record.route, config)
        route = config.routes[record.route]
        return MoveInputs(
            brake=self._view.brake_reason(record.attempt),
            assessment=self._analyses.assess(record.attempt),
            servers=len(links),
            loaded=sum(link.has_version(move.to_version) for link in links),
            stage_age_s=self._stage_age_s(record),
            left_s=move.finish_by - time.time(),
            switched=route.version == move.to_version,
            load_failure=self.loader.failure(
                move.to_version, {link.name for link in links}
            ),
        )

    def _usable_links(self, route: str, config: Config) -> list[Link]:
        servers = config.routes[route].backend_servers
        return [link for link in self._links_of(servers) if link.usable]

    def _store_records(self, records: dict[str, MoveRecord]) -> None:
        """Stores the records if they have changed, and publishes them after that."""
        book = self._store.book
        if records == dict(book.records) and book.fence == self._lease.fence:
            return
        self._replace(records)

    def _confirm_state(self) -> bool:
        """Rewrites the state; the write fails if the last read was stale."""
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

    def _submit_version(self, route: str, version: str) -> None:
        """Submits a patch of a route's version; later steps retry on a stale base."""
        if not self._lease.held:
            return
        number = self._process.view.number
        patch = {"routes": {route: {"version": version}}}
        outcome = self._submit(number, patch, author=AUTHOR)
        if not isinstance(outcome, Accepted):
            logger.info(
                "patch of route {} to version {} not accepted: {}",
                route,
                version,
                outcome,
            )

    # Orders

    def _send_orders(self, record: MoveRecord, config: Config) -> None:
        if record.route not in config.routes or not self._lease.held:
            return
        links = sorted(
            self._usable_links(record.route, config), key=lambda link: link.name
        )
        if record.state is MoveState.DONE:
            self._unload(links, record, record.from_version, config)
        elif record.state is MoveState.TAKEN_BACK:
            self._unload(links, record, record.to_version, config)
        elif self._loads_allowed(record):
            self._load_for_stage(links, record, config.moves[record.name])

    def _load_routes(self, config: Config) -> None:
        """Loads each route's version on servers that lack it, e.g. after a restart."""
        for name, route in config.routes.items():
            if route.version:
                self._load(self._usable_links(name, config), route.version)

    def _loads_allowed(self, record: MoveRecord) -> bool:
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
        if version in wanted or self._stage_age_s(record) < UNLOAD_DELAY_S:
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
        attempt=f"{move.name}-{secrets.token_hex(ATTEMPT_ID_BYTES)}",
    )
