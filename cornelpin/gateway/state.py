"""What one entry believes and shares between its requests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cornelpin.gateway import logs
from cornelpin.gateway.pool import ConnectionPool
from cornelpin.scheduling.budget import BudgetBounds, RetryBudget
from cornelpin.scheduling.client_retries import ClientRetries
from cornelpin.scheduling.poison_requests import PoisonDetector
from cornelpin.scheduling.quota import Quotas, Share
from cornelpin.scheduling.rollouts import Rollouts
from cornelpin.scheduling.servers import ServerList

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.gateway.metrics import Metrics
    from cornelpin.platform import HostSettings
    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.routing import RoutingConfig, Workspace
    from cornelpin.scheduling.servers import BackendServer


class GatewayState:
    """Configuration, servers, limits and figures of this process.

    Args:
        settings: What the platform told this process.
        share: Returns the part of the fleet that is heard.
        changed: Called when something changed that the other entries want to know.
        urgent: Called when they have to know at once.
    """

    def __init__(
        self,
        settings: HostSettings,
        *,
        share: Callable[[], Share],
        on_change: Callable[[], None],
        flush: Callable[[], None],
    ) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.config: RoutingConfig | None = None
        self.servers = ServerList(bounds.drain_s)
        self.pool = ConnectionPool()
        self.quotas = Quotas(time.monotonic())
        self.client_retries = ClientRetries()
        self.rollouts = Rollouts(
            share=bounds.new_version_share, extra=bounds.new_version_extra
        )
        self.poison_detector = PoisonDetector()
        self.metrics: Metrics | None = None
        self.servers_listed = False
        self.servers_confirmed_at: Callable[[], float] = lambda: 0.0
        self.draining = False
        self.refusing = False
        self.share = share
        self._on_change = on_change
        self._flush = flush
        self._budgets: dict[str, RetryBudget] = {}
        self._budget_bounds = BudgetBounds(
            bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer may send clients here."""
        return self.config is not None and self.servers_listed and not self.draining

    def apply_config(self, config: RoutingConfig, source: str) -> None:
        """Puts a configuration in force unless a newer one is."""
        if self.config is not None and config.version <= self.config.version:
            return
        before = self.config.version if self.config is not None else None
        self.config = config
        logs.event(
            "config.in_force", version=config.version, before=before, source=source
        )
        self._on_change()

    def entries(self) -> int:
        """Returns how many entries share the fleet's budgets."""
        return self.share().heard

    def servers_age_ms(self) -> int:
        """Returns how long ago the store last told of the servers."""
        return round(1e3 * (time.monotonic() - self.servers_confirmed_at()))

    def budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._budget_bounds)
        return budget

    def take_quota(self, workspace: Workspace, amount: float) -> float | None:
        """Takes an amount of a workspace's rate, or returns how long to wait."""
        wait_s = self.quotas.admit(workspace, amount, time.monotonic(), self.share())
        if wait_s is None:
            self._on_change()
        return wait_s

    def drop_replaced(self, server: BackendServer) -> None:
        """Drops a server whose address another one has."""
        self.servers.mark_replaced(server)
        logs.event("server.replaced", server=server.id, address=server.address)

    def record_refusal(self, job: Job) -> None:
        """Remembers a refused request in case it comes again."""
        self.client_retries.record_refusal(job.fingerprint, job.first_attempt_at)
        self._on_change()

    def record_broken_run(self, job: Job, server: BackendServer) -> None:
        """Remembers a content whose server broke off."""
        run_id = f"{job.request_id}@{server.id}"
        self.poison_detector.record_failure(job.fingerprint, run_id, time.monotonic())
        self._flush()

    def count_send(self, server: BackendServer, outcome: str) -> None:
        """Counts a send by what came of it."""
        if self.metrics is not None:
            self.metrics.sends.labels(server.id, outcome).inc()

    def count_first_bytes(self, server: BackendServer, took_s: float) -> None:
        """Counts the time to the first bytes of an answer."""
        if self.metrics is not None:
            self.metrics.first_bytes.labels(server.id).observe(took_s)

    def count_request(
        self, job: Job | None, outcome: str, status: int, reason: str, took_s: float
    ) -> None:
        """Counts a request that has ended."""
        if self.metrics is None:
            return
        kind = job.route.repeat.value if job is not None else "none"
        priority = job.rank[1] if job is not None else -1
        self.metrics.requests.labels(kind, priority, outcome, status).inc()
        self.metrics.latency.labels(kind, outcome).observe(took_s)
        if outcome == "refused":
            self.metrics.rejections.labels(status, reason[:60]).inc()
