"""Runs a deployment as local processes on loopback addresses."""

from __future__ import annotations

import itertools
import json
from collections.abc import Callable
from typing import Any

from attrs import define, field

from benchmarks.checker import Evidence, Violation, run_checks
from benchmarks.cluster_settings import (
    OPERATOR_TOKEN,
    PlatformUrls,
    ProcessAddress,
    configuration,
    process_settings,
    sha256_hex,
    workspace_token,
)
from benchmarks.deployment import Engine, Service
from benchmarks.http_json import JsonReply
from benchmarks.load import Sender, Target
from benchmarks.process_group import TestbedError
from benchmarks.processes import LOOPBACK
from benchmarks.records import SentRecord
from benchmarks.standin_harness import HOST_LIST, OBJECTS, OK, StandinHarness
from benchmarks.waiting import wait_until

CONFIG_TIMEOUT_S = 20.0
# Any address of this block is a loopback address.
NETWORK = "127.0.1"
NETWORK_STANDIN = "network"


@define
class Testbed(StandinHarness):
    """Owns all processes of one deployment; use it as a context manager.

    Names: ``objects``, each entry and each backend server by its own name, and
    the side of backend server ``f1`` as ``side-f1``.

    Attributes:
        entries: Addresses and ports of the entries.
        sides: Addresses and ports of the sides by the name of their backend server.
        records: Records of the requests that its senders sent.
        networked: Whether a stand-in for the network connects the hosts, each of which
            then has its own loopback address.
    """

    entries: list[ProcessAddress] = field(factory=list)
    sides: dict[str, ProcessAddress] = field(factory=dict)
    records: list[SentRecord] = field(factory=list)
    networked: bool = False

    __test__ = False

    def start(self) -> None:
        """Starts all processes and submits the first configuration."""
        self.start_standins()
        self.start_system()

    # Processes of cornelpin

    def start_system(self) -> None:
        """Starts entries and sides and waits until the configuration is in force."""
        self._assign_addresses()
        if self.networked:
            self._add_network()
        for entry in self.entries:
            self._add_daemon(entry, "entry", {})
        for name, side in self.sides.items():
            self._add_daemon(side, "side", {"backend": self._backend(name)})
        wait_until(
            self._all_report_status, CONFIG_TIMEOUT_S, "all entries report their status"
        )
        document = configuration(self.deployment, self.entries, self.sides)
        self.patch(document)
        wait_until(self._all_ready, CONFIG_TIMEOUT_S, "all entries are ready")

    def _assign_addresses(self) -> None:
        for name in self.deployment.entries:
            self.entries.append(self._assign_address(name, f"host-{name}"))
        servers: list[Engine | Service] = [
            *self.deployment.engines,
            *self.deployment.services,
        ]
        for server in servers:
            side = self._assign_address(f"side-{server.name}", server.host)
            self.sides[server.name] = side

    def _assign_address(self, name: str, host: str) -> ProcessAddress:
        allocate = self.allocator.allocate
        peer_port = allocate()
        process = ProcessAddress(
            name=name,
            host=host,
            peer_port=peer_port,
            http_port=allocate(),
            address=self._address_of(host),
            advertised_port=allocate() if self.networked else peer_port,
        )
        self.ports[name] = process.http_port
        self.addresses[name] = process.address
        return process

    def _address_of(self, host: str) -> str:
        if not self.networked:
            return LOOPBACK
        return f"{NETWORK}.{1 + list(self.deployment.hosts).index(host)}"

    def _add_network(self) -> None:
        relays = [
            {
                "address": p.address,
                "port": p.advertised_port,
                "target_port": p.peer_port,
            }
            for p in self._process_addresses()
        ]
        arguments = ["--relays", json.dumps(relays)]
        self._add_standin(NETWORK_STANDIN, "standins.network", arguments)
        self.processes[NETWORK_STANDIN].wait_ready()

    def cut(
        self, sources: list[str], destinations: list[str], *, one_way: bool
    ) -> None:
        """Cuts the network between two sets of hosts.

        Args:
            sources: Names of hosts or data centres.
            destinations: Names of hosts or data centres.
            one_way: Whether only the direction from sources to destinations is cut.
        """
        pairs = itertools.product(
            self._addresses_of(sources), self._addresses_of(destinations)
        )
        cuts = [
            {"source": source, "destination": destination}
            for pair in pairs
            for source, destination in ([pair] if one_way else [pair, pair[::-1]])
        ]
        self._put_cuts(cuts)

    def heal(self) -> None:
        """Ends all cuts."""
        self._put_cuts([])

    def _put_cuts(self, cuts: list[dict[str, str]]) -> None:
        reply = self.client(NETWORK_STANDIN).call("PUT", "/cuts", {"cuts": cuts})
        if reply.status != OK:
            raise TestbedError(f"setting cuts failed: {reply.status} {reply.body}")

    def _addresses_of(self, names: list[str]) -> list[str]:
        """Returns the addresses of the hosts named or in a named data centre."""
        host_centre_pairs = self.deployment.hosts.items()
        # The unpacked pairs (host, data centre) together hold all known names.
        unknown = set(names).difference(*host_centre_pairs)
        if unknown:
            raise TestbedError(f"unknown hosts or data centres: {sorted(unknown)}")
        found = [
            host for host, centre in host_centre_pairs if {host, centre} & set(names)
        ]
        return [self._address_of(host) for host in found]

    def _add_daemon(
        self, process: ProcessAddress, role: str, extra: dict[str, Any]
    ) -> None:
        seeds = [f"{entry.address}:{entry.advertised_port}" for entry in self.entries]
        platform = PlatformUrls(self._url(OBJECTS), self._url(HOST_LIST))
        settings = process_settings(process, role, self.deployment, platform, seeds)
        if role == "entry":
            settings["bootstrap_operator_sha256"] = sha256_hex(OPERATOR_TOKEN)
        path = self.folder / f"{process.name}.json"
        path.write_text(json.dumps({**settings, **extra}, indent=1))
        self.start_process(process.name, ["cornelpin.daemon", "--settings", str(path)])

    def _backend(self, name: str) -> dict[str, Any]:
        url = self._url(name)
        for engine in self.deployment.engines:
            if engine.name == name:
                return {
                    "name": name,
                    "kind": "engine",
                    "url": url,
                    "checks_fence": engine.checks_fence,
                    "slots": engine.max_batch,
                }
        service = next(s for s in self.deployment.services if s.name == name)
        return {
            "name": name,
            "kind": "service",
            "url": url,
            "checks_fence": False,
            "slots": service.slots,
        }

    def restart_daemon(self, name: str) -> None:
        """Restarts an entry or side that has exited, with the same settings."""
        self.processes[name].start()

    def daemon_names(self) -> set[str]:
        """Returns the names of all entries and sides."""
        return {process.name for process in self._process_addresses()}

    # Operation

    def call_any_entry(self, method: str, path: str, body: Any = None) -> JsonReply:
        """Calls the entries in turn; returns the first response below status 500."""
        failures = []
        for entry in self.entries:
            try:
                reply = self.client(entry.name).call(method, path, body)
            except OSError as exc:
                failures.append(f"{entry.name}: {exc}")
                continue
            if reply.status < 500:
                return reply
            failures.append(f"{entry.name}: {reply.status} {reply.body}")
        raise TestbedError(f"{method} {path} failed at all entries: {failures}")

    def config_number(self) -> int:
        """Returns the number of the configuration in force."""
        reply = self.call_any_entry("GET", "/admin/v1/config/status")
        if reply.status != OK:
            raise TestbedError(f"config status failed: {reply.status} {reply.body}")
        return int(reply.body["number"])

    def patch(self, patch: dict[str, Any]) -> int:
        """Submits a patch of the configuration in force and returns its number."""
        body = {"base": self.config_number(), "patch": patch}
        reply = self.call_any_entry("POST", "/admin/v1/config/patches", body)
        if reply.status != OK:
            raise TestbedError(f"patch failed: {reply.status} {reply.body}")
        return int(reply.body["number"])

    def ready(self) -> bool:
        """Returns whether running entries are ready and all daemons use one config."""
        running = [e for e in self.entries if self.processes[e.name].running]
        if not all(self._entry_ready(entry.name) for entry in running):
            return False
        status = self.call_any_entry("GET", "/admin/v1/config/status").body
        in_force = {p["name"]: p["number"] for p in status["processes"]}
        names = {n for n in self.daemon_names() if self.processes[n].running}
        return all(in_force.get(n) == status["number"] for n in names)

    def ready_entry_count(self) -> int:
        """Counts the entries that report ready."""
        return sum(self._entry_ready(entry.name) for entry in self.entries)

    def _process_addresses(self) -> list[ProcessAddress]:
        return [*self.entries, *self.sides.values()]

    def _entry_ready(self, name: str) -> bool:
        return _false_on_error(
            lambda: self.client(name).call("GET", "/readyz").status == OK
        )

    def _all_ready(self) -> bool:
        self._check_running()
        return _false_on_error(self.ready)

    def _all_report_status(self) -> bool:
        self._check_running()

        def all_respond() -> bool:
            path = "/admin/v1/config/status"
            return all(
                self.client(entry.name).call("GET", path).status == OK
                for entry in self.entries
            )

        return _false_on_error(all_respond)

    # Load and evidence

    def targets(self, names: tuple[str, ...] = ()) -> list[Target]:
        """Returns the named entries, by default all, as targets of a sender."""
        chosen = names or self.deployment.entries
        addresses = self.addresses
        return [
            Target(name, addresses.get(name, LOOPBACK), self.ports[name])
            for name in chosen
        ]

    def sender(self, names: tuple[str, ...] = ()) -> Sender:
        """Returns a sender whose records become part of the evidence."""
        tokens = {name: workspace_token(name) for name in self.deployment.workspaces}
        return Sender(self.targets(names), tokens, records=self.records)

    def evidence(self) -> Evidence:
        """Returns the records and run logs for the checker."""
        tiers = self.deployment.tiers
        return Evidence(
            records=list(self.records),
            events=self.run_events(),
            shed_orders={tier.name: tier.shed_order for tier in tiers},
            pools={
                t.route: frozenset(self.deployment.servers_of(t.kind)) for t in tiers
            },
        )

    def violations(self) -> list[Violation]:
        """Returns the violations that the checks find in the evidence."""
        return run_checks(self.evidence())

    def timeline(self) -> list[dict[str, Any]]:
        """Returns the merged timeline, empty if no entry responds."""
        try:
            body = self.call_any_entry("GET", "/admin/v1/timeline").body
        except TestbedError:
            return []
        events = body.get("events", []) if isinstance(body, dict) else body
        return list(events or [])


def _false_on_error(condition: Callable[[], bool]) -> bool:
    """Treats a connection failure or an error of the testbed as "not yet"."""
    try:
        return condition()
    except (OSError, TestbedError):
        return False
