"""Components common to entries and sides: identity, clock, events, tasks, metrics."""

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
    """Components and state that the parts of one process share.

    Attributes:
        settings: Settings of the process.
        clock: Hybrid logical clock that orders events of all processes.
        ring: Ring buffer of the most recent timeline events of this process.
        supervisor: Runs the long-lived tasks.
        view: The configuration in force.
        config_current: Set while the configuration is recent enough to accept work.
        listed_draining: Whether the host list marks this host as draining.
        draining: Set while the process accepts no new requests.
        stopping: Set once the process shuts down.
        incarnation: Random id of this run of the process.
        control_cost: Bytes and CPU time spent on control traffic.
        meters: Metrics of the process.
        identity: Identity of the process in its sessions with peers.
    """

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
        """Whether the configuration or the host list marks this host as draining."""
        host = config.hosts.get(self.settings.host)
        return self.listed_draining or (host is not None and host.leaving)
