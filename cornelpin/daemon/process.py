"""What every cornelpin process has: identity, clock, events, tasks, metrics."""

from __future__ import annotations

import os
import threading
from typing import TYPE_CHECKING

from cornelpin.core.clock import HybridClock
from cornelpin.core.events import EventRing
from cornelpin.daemon.config_view import ConfigView
from cornelpin.daemon.control_cost import ControlCost
from cornelpin.daemon.metrics import Meters
from cornelpin.daemon.peer import Identity
from cornelpin.daemon.supervisor import Supervisor
from cornelpin.daemon.tls import client_context, server_context

if TYPE_CHECKING:
    from cornelpin.core.config import Config
    from cornelpin.daemon.settings import Settings

INCARNATION_BYTES = 8


class Process:
    """Shared parts of a process, passed to the roles built on top."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = HybridClock()
        self.ring = EventRing(self.clock, process=settings.name, host=settings.host)
        self.supervisor = Supervisor(settings.name)
        self.view = ConfigView()
        self.config_current = threading.Event()
        self.listed_draining = False
        self.draining = threading.Event()
        self.stopping = threading.Event()
        self.incarnation = os.urandom(INCARNATION_BYTES).hex()
        self.control_cost = ControlCost()
        self.meters = Meters(settings)
        self.meters.add_control_counters(self.control_cost)
        tls = settings.tls
        self.identity = Identity(
            name=settings.name,
            role=settings.role,
            incarnation=self.incarnation,
            key=(settings.shared_key or "").encode(),
            address=settings.address,
            tls_client=client_context(tls) if tls is not None else None,
            tls_server=server_context(tls) if tls is not None else None,
        )

    def is_host_draining(self, config: Config) -> bool:
        """Whether the configuration or the host list has this host as leaving."""
        host = config.hosts.get(self.settings.host)
        return self.listed_draining or (host is not None and host.leaving)
