"""State of one entry that its requests share."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from typing import TYPE_CHECKING, Any

from cornelpin.gateway import logs
from cornelpin.gateway.crash_detector import CrashDetector
from cornelpin.gateway.pool import ConnectionPool
from cornelpin.gateway.response_memory import MEMORY_SHARE, ResponseMemory
from cornelpin.http1.shares import MB
from cornelpin.scheduling.budget import BudgetBounds, RetryBudget
from cornelpin.scheduling.client_retries import ClientRetries
from cornelpin.scheduling.crash_evidence import BrokenRun
from cornelpin.scheduling.durations import RouteDurations
from cornelpin.scheduling.hedging import RETRY_BUDGET_PART
from cornelpin.scheduling.poison_parts import PoisonParts
from cornelpin.scheduling.poison_requests import PoisonDetector, select_trier
from cornelpin.scheduling.quota import FleetView, Quotas, QuotaTolerance
from cornelpin.scheduling.refuted_crashes import RefutedCrashes
from cornelpin.scheduling.restrictions import Evacuations
from cornelpin.scheduling.rollouts import Rollouts
from cornelpin.scheduling.servers import ServerList

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping

    from cornelpin.gateway.limit_coordinator import LimitCoordinator
    from cornelpin.gateway.metrics import Metrics
    from cornelpin.http1.memory import MemoryBudget
    from cornelpin.platform import CallReport, HostSettings
    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.routing import RoutingConfig, Workspace
    from cornelpin.scheduling.servers import BackendServer


async def _current() -> bool:
    return True


def _age_ms(confirmed_at: float) -> int | None:
    if math.isinf(confirmed_at):
        return None
    return round(1e3 * (time.monotonic() - confirmed_at))


def _as_text(incarnation: tuple[str, int]) -> str:
    """Returns the form of an incarnation in messages between entries."""
    server_id, started_ms = incarnation
    return f"{server_id}@{started_ms}"


class GatewayState:
    """Configuration, servers, quotas, retry budgets and metrics of this process.

    Args:
        settings: Settings of this host.
        memory: Memory for requests and responses.
        server_connections: Number of connections to servers from which idle ones are
            closed for new ones.
        limits: Keeps the entries within the limits that servers name.
        fleet_view: Returns the numbers of live and of known entries.
        live_hosts: Returns the hosts of live entries, the own one included.
        on_change: Called after a change that the next update to the other entries
            carries.
        flush: Called to send an update to the other entries at once.

    Attributes:
        metrics: The metrics; None until they are created during the start.
        evacuations: Data centres whose servers get no requests.
        servers_listed: Whether the store's list of servers was received.
        on_config: Called after a configuration has come into force.
        confirm_config: Returns whether the configuration in force is known to be
            current; asks the store before it says that it is not. Set by StoreView.
        get_config_confirmed_at: Returns the monotonic time at which it was last known
            to be. Set by StoreView.
        get_servers_confirmed_at: Returns the monotonic time at which that list was last
            known to be current. Set by StoreView, which is created later.
        draining: Whether the entry is shutting down and fails its readiness probe.
        refusing: Whether it also refuses new requests.
        stop_at: Monotonic time by which all requests must have ended, since the process
            is about to stop; None while it is not.
        durations: Durations of the requests of each route.
    """

    def __init__(
        self,
        settings: HostSettings,
        *,
        memory: MemoryBudget,
        server_connections: int,
        limits: LimitCoordinator,
        fleet_view: Callable[[], FleetView],
        live_hosts: Callable[[], Iterable[str]],
        on_change: Callable[[], None],
        flush: Callable[[], None],
    ) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.config: RoutingConfig | None = None
        self._configured = asyncio.Event()
        self.servers = ServerList(bounds.drain_s)
        self.pool = ConnectionPool(server_connections)
        self.response_memory = ResponseMemory(
            int(MEMORY_SHARE * settings.memory_mb * MB), memory
        )
        self.quotas = Quotas(
            time.monotonic(),
            QuotaTolerance(
                bounds.quota_overage, bounds.quota_slack, bounds.quota_window_s
            ),
        )
        self.client_retries = ClientRetries()
        self.rollouts = Rollouts(
            share=bounds.new_version_share, extra=bounds.new_version_extra
        )
        refuted = RefutedCrashes()
        self.poison_detector = PoisonDetector(refuted)
        self.poison_parts = PoisonParts(refuted)
        self.crashes = CrashDetector(
            self.servers,
            on_crash=self._on_crash,
            on_refuted=self._on_refuted,
        )
        self.limits = limits
        self.evacuations = Evacuations()
        self.metrics: Metrics | None = None
        self.servers_listed = False
        self.on_config: Callable[[], None] = lambda: None
        self.confirm_config: Callable[[], Awaitable[bool]] = _current
        self.get_config_confirmed_at: Callable[[], float] = lambda: 0.0
        self.get_servers_confirmed_at: Callable[[], float] = lambda: 0.0
        self.draining = False
        self.refusing = False
        self.stop_at: float | None = None
        self.durations = RouteDurations()
        self.fleet_view = fleet_view
        self._live_hosts = live_hosts
        self._unsent_leaving: list[tuple[str, int]] = []
        self._unsent_refuted: list[str] = []
        self._on_change = on_change
        self._flush = flush
        self._budgets: dict[str, RetryBudget] = {}
        self._budget_bounds = BudgetBounds(
            bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
        )

    @property
    def ready(self) -> bool:
        """Whether the readiness probe succeeds."""
        return self.config is not None and self.servers_listed and not self.draining

    def apply_config(self, config: RoutingConfig, source: str) -> None:
        """Applies a configuration unless the current one is as new or newer."""
        if self.config is not None and config.version <= self.config.version:
            return
        before = self.config.version if self.config is not None else None
        self.config = config
        self.limits.cold.configure(
            {s.name: s.cold_rate_per_s for s in config.services.values()}
        )
        self._configured.set()
        logs.event(
            "config.in_force",
            version=config.version,
            before=before,
            routes=len(config.routes),
            source=source,
        )
        self._on_change()
        self.on_config()

    def event_tokens(self, service: str) -> int:
        """Returns the tokens in one event of a service's streams; 1 if unknown."""
        return self.config.event_tokens(service) if self.config is not None else 1

    def config_age_ms(self) -> int | None:
        """Returns the milliseconds since the configuration was known to be current.

        None if it is a copy from another entry that has not been confirmed yet.
        """
        return _age_ms(self.get_config_confirmed_at())

    def evacuate(self, data_centre: str, source: str) -> None:
        """Sends the servers of a data centre nothing more, by order of an operator."""
        if self.evacuations.begin(data_centre):
            self._log_evacuation(data_centre, source)

    def end_evacuation(self, data_centre: str, source: str) -> None:
        """Uses the servers of a data centre again; they may have turned cold."""
        if self.evacuations.end(data_centre):
            self._on_evacuation_end(data_centre, source)

    def replace_evacuations(
        self, data_centres: Iterable[str], source: str, *, restored: bool
    ) -> None:
        """Replaces the orders to evacuate data centres by those of a list.

        Args:
            data_centres: The data centres for which the store lists an order.
            source: Where the list is from, for the log.
            restored: Whether the store was restored from a copy since the last list.
        """
        began, ended = self.evacuations.replace(
            data_centres, time.monotonic(), restored=restored
        )
        for data_centre in began:
            self._log_evacuation(data_centre, source)
        for data_centre in ended:
            self._on_evacuation_end(data_centre, source)

    def expire_evacuations(self) -> None:
        """Ends the orders that nobody wrote again after a restore of the store."""
        for data_centre in self.evacuations.expire(time.monotonic()):
            self._on_evacuation_end(data_centre, "not written again")

    def _log_evacuation(self, data_centre: str, source: str) -> None:
        logs.event(
            "data_centre.evacuated",
            data_centre=data_centre,
            known=data_centre in self.settings.regions,
            servers=len(self._servers_in(data_centre)),
            source=source,
        )

    def _on_evacuation_end(self, data_centre: str, source: str) -> None:
        servers = self._servers_in(data_centre)
        logs.event(
            "data_centre.in_use",
            data_centre=data_centre,
            servers=len(servers),
            source=source,
        )
        self.limits.suspect(servers, "its data centre was evacuated")

    def _servers_in(self, data_centre: str) -> list[BackendServer]:
        servers = self.servers.all(time.monotonic()).values()
        return [server for server in servers if server.data_centre == data_centre]

    async def wait_for_config(self, timeout_s: float) -> None:
        """Waits until there is a configuration, or the time has passed."""
        if self.config is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._configured.wait()

    def live_entry_count(self) -> int:
        """Returns the number of live entries, this one included."""
        return self.fleet_view().heard

    def servers_age_ms(self) -> int | None:
        """Returns the milliseconds since the server list was known to be current.

        None if it is a copy from another entry that has not been confirmed yet.
        """
        return _age_ms(self.get_servers_confirmed_at())

    def budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._budget_bounds)
        return budget

    def take_retry(self, service: str, now: float) -> bool:
        """Takes a retry from this entry's part of a service's budget, if any is left.

        Entries that are not heard may be running and use theirs.
        """
        return self.budget(service).take(now, self.fleet_view().all_entries)

    def has_retry(self, service: str, now: float) -> bool:
        """Returns whether ``take_retry`` would take a retry."""
        return self.budget(service).has_room(now, self.fleet_view().all_entries)

    def take_hedge(self, service: str, now: float) -> bool:
        """Takes a second send from a service's retry budget, after all retries."""
        return self.budget(service).take(
            now, self.fleet_view().all_entries, part=RETRY_BUDGET_PART
        )

    def take_quota(self, workspace: Workspace, amount: float) -> float | None:
        """Takes an amount from a workspace's quota, or returns the wait in seconds."""
        wait_s = self.quotas.admit(
            workspace, amount, time.monotonic(), self.fleet_view()
        )
        if wait_s is None:
            self._on_change()
        return wait_s

    def mark_leaving(self, server: BackendServer) -> None:
        """Sends a server nothing more after it said that it leaves; tells the peers."""
        if self._mark_leaving(server.incarnation, "its response"):
            self._unsent_leaving.append(server.incarnation)
            self._flush()

    def merge_leaving(self, received: Iterable[tuple[str, int]]) -> None:
        """Merges the incarnations of servers that leave, as other entries report."""
        for server_id, started_ms in received:
            self._mark_leaving((server_id, started_ms), "a peer")

    def _mark_leaving(self, incarnation: tuple[str, int], source: str) -> bool:
        new = self.servers.mark_leaving(incarnation)
        if new:
            logs.event("server.leaving", server=incarnation[0], source=source)
        return new

    def take_unsent_leaving(self) -> list[tuple[str, int]]:
        """Returns and clears the leaving servers not yet sent to peers."""
        unsent, self._unsent_leaving = self._unsent_leaving, []
        return unsent

    def drop_replaced(self, server: BackendServer) -> None:
        """Drops a server after another one responded at its address."""
        self.servers.mark_replaced(server)
        self.crashes.on_replaced(server)
        logs.event("server.replaced", server=server.id, address=server.address)

    def record_refusal(self, job: Job) -> None:
        """Records a refused request, to recognise a client retry of it."""
        self.client_retries.record_refusal(job.fingerprint, job.first_attempt_at)
        self._on_change()

    def quarantine_reason(self, job: Job, now: float) -> str:
        """Returns why a request is rejected as poison; empty if it is not."""
        quarantined = self.poison_detector.is_quarantined(job.fingerprint)
        if quarantined and not self._is_on_trial(job, now):
            return "its content has broken several servers"
        if self.poison_parts.find(job.shared_parts) is not None:
            return "a part of its prompt has broken several servers"
        return ""

    def _is_on_trial(self, job: Job, now: float) -> bool:
        """Returns whether a request is the one that tries its quarantined content."""
        content = job.fingerprint
        if self.poison_detector.is_on_trial(content, job.request_id, now):
            return True
        if select_trier(content, self._live_hosts()) != self.settings.host:
            return False
        if not self.poison_detector.begin_trial(content, job.request_id, now):
            return False
        logs.event("request.trial", id=job.request_id)
        self._flush()
        return True

    def suspect_crash(self, job: Job, server: BackendServer, *, begun: bool) -> None:
        """Records a run whose connection ended before its response did.

        Only if the server proves to have crashed, the request's content, or a part of
        its prompt if no answer had ``begun``, may be the cause.
        """
        run = BrokenRun(
            f"{job.request_id} {_as_text(server.incarnation)}",
            job.fingerprint,
            () if begun else job.shared_parts,
        )
        self.crashes.suspect(server, run)

    def _on_crash(self, incarnation: tuple[str, int], runs: list[BrokenRun]) -> None:
        now = time.monotonic()
        with self._logged_quarantine():
            for run in runs:
                self.poison_detector.record_failure(run.fingerprint, run.run_id, now)
                self.poison_parts.record_crash(_as_text(incarnation), run.parts, now)
        self._flush()

    def _on_refuted(self, incarnation: tuple[str, int]) -> None:
        self.retract_crash(_as_text(incarnation))
        self._unsent_refuted.append(_as_text(incarnation))
        self._flush()

    def take_unsent_refuted(self) -> list[str]:
        """Returns and clears the refuted crashes not yet sent to peers."""
        unsent, self._unsent_refuted = self._unsent_refuted, []
        return unsent

    def retract_crash(self, incarnation: str) -> None:
        """Takes back the crash of an incarnation that has responded since."""
        with self._logged_quarantine():
            self.poison_parts.retract_crash(incarnation)
            self.poison_detector.retract_crash(incarnation, time.monotonic())

    def record_sound_content(self, job: Job) -> None:
        """Records a whole answer to a request."""
        with self._logged_quarantine():
            self.poison_detector.record_sound(job.fingerprint, time.monotonic())

    def record_sound_parts(self, job: Job) -> None:
        """Records that an answer to a request has begun."""
        with self._logged_quarantine():
            self.poison_parts.record_sound(job.shared_parts, time.monotonic())

    def merge_poison(self, message: Mapping[str, Any]) -> None:
        """Merges what another entry's message says about crashes and their causes."""
        now = time.monotonic()
        with self._logged_quarantine():
            self.poison_detector.merge_from(message.get("contents", ()), now)
            self.poison_parts.merge_crashes(message.get("crashed", ()), now)
            self.poison_parts.merge_sound(message.get("sound", ()), now)
            self.poison_parts.merge_from(message.get("poison", {}), now)
        for incarnation in message.get("refuted", ()):
            self.retract_crash(incarnation)

    @contextlib.contextmanager
    def _logged_quarantine(self) -> Iterator[None]:
        """Logs the contents and parts that are quarantined or released meanwhile."""
        contents_before = self.poison_detector.quarantined
        before = self.poison_parts.quarantined
        yield
        contents = self.poison_detector.quarantined
        for content in contents - contents_before:
            logs.warning(
                "content.quarantined",
                content=content.hex(),
                runs=self.poison_detector.runs(content),
            )
        for content in contents_before - contents:
            logs.event("content.released", content=content.hex())
        after = self.poison_parts.quarantined
        for part in after.keys() - before.keys():
            logs.warning(
                "part.quarantined",
                part=part,
                together_with=sorted(after[part]),
                crashes=self.poison_parts.crashes(part),
            )
        for part in before.keys() - after.keys():
            logs.event("part.released", part=part)

    def expire_poison_parts(self) -> None:
        """Ends the suspicion and the quarantine of parts whose crashes are long ago."""
        with self._logged_quarantine():
            self.poison_parts.expire(time.monotonic())

    def count_store_call(self, report: CallReport) -> None:
        """Counts a call of the store by its kind, operation and outcome."""
        if self.metrics is not None:
            outcome = "failed" if report.reason else "answered"
            self.metrics.store_calls.labels(
                report.kind, report.operation, outcome
            ).inc()

    def count_send(self, server: BackendServer, outcome: str) -> None:
        """Counts a send by its outcome."""
        if self.metrics is not None:
            self.metrics.sends.labels(server.id, outcome).inc()

    def observe_response_time(self, server: BackendServer, took_s: float) -> None:
        """Observes the response time of a send in seconds."""
        if self.metrics is not None:
            self.metrics.response_time.labels(server.id).observe(took_s)

    def count_held_back(self, outcome: str) -> None:
        """Counts a request that limits kept from servers with free slots."""
        if self.metrics is not None:
            self.metrics.held_back.labels(outcome).inc()

    def count_hedge(self, outcome: str, wasted_s: float = 0.0) -> None:
        """Counts what came of a slow request that may be hedged, and work in vain."""
        if self.metrics is not None:
            self.metrics.hedges.labels(outcome).inc()
            self.metrics.hedge_wasted.inc(wasted_s)

    def record_queue_wait(self, forecast_s: float, measured_s: float) -> None:
        """Records how long a request waited for its slot, and the forecast of it."""
        if self.metrics is None:
            return
        self.metrics.queue_wait.labels("forecast").observe(forecast_s)
        self.metrics.queue_wait.labels("measured").observe(measured_s)
        self.metrics.forecast_error.observe(measured_s - forecast_s)

    def count_request(
        self, job: Job | None, outcome: str, status: int, reason: str, took_s: float
    ) -> None:
        """Counts a request that has ended and observes its duration.

        Its kind is that of its route, "none" without a route.
        """
        if self.metrics is None:
            return
        kind = job.route.kind.value if job is not None else "none"
        priority = job.rank[1] if job is not None else -1
        self.metrics.requests.labels(kind, priority, outcome, status).inc()
        self.metrics.latency.labels(kind, outcome).observe(took_s)
        if outcome == "refused":
            self.metrics.rejections.labels(status, reason[:60]).inc()
