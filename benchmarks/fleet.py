"""Runs many entries and sides with one stand-in of each external system.

A fleet serves to measure the cost of cornelpin's own processes, so all its sides
share one stand-in of a backend server.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from typing import Any

from attrs import define

from benchmarks.cluster_settings import (
    OPERATOR_TOKEN,
    SHARED_KEY,
    sha256_hex,
    workspace_token,
)
from benchmarks.http_json import JsonClient
from benchmarks.process_group import OwnedProcesses
from benchmarks.process_usage import Usage, usage_of
from benchmarks.processes import LOOPBACK
from benchmarks.waiting import wait_until

ROUTE = "furnace"
TIER = "question"
VERSION = "v1"
MODELS = 38
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
# Processes started before each pause of one second.
START_BATCH = 12
START_TIMEOUT_S = 120.0
POLL_S = 0.2
OK = 200
SLOTS = 64


@define
class Fleet(OwnedProcesses):
    """Owns the processes of a fleet; used as a context manager.

    Attributes:
        entries: Number of entries.
        sides: Number of sides.
        workspaces: Number of workspaces in the initial configuration.
        step_ms: Time of one decoding step of the model engine in milliseconds.
    """

    entries: int
    sides: int
    workspaces: int = 1
    step_ms: int = 1

    def close(self) -> None:
        """Ends every started process and removes the folder."""
        super().close()
        self.remove_folder()

    @property
    def entry_names(self) -> list[str]:
        """Names of the entries."""
        return [f"e{i}" for i in range(self.entries)]

    @property
    def side_names(self) -> list[str]:
        """Names of the sides."""
        return [f"side-f{i}" for i in range(self.sides)]

    # Starting

    def start(self) -> None:
        """Starts all processes and waits until all run the same configuration."""
        self._start_standin("objects", "standins.objects")
        engine = ["--name", "f", "--model", ROUTE, "--versions", VERSION]
        batch = ["--step-ms", str(self.step_ms), "--max-batch", str(SLOTS)]
        log = ["--run-log", str(self.folder / "runs.jsonl")]
        self._start_standin("engine", "standins.engine", [*engine, *batch, *log])
        for name in ("objects", "engine"):
            self.processes[name].wait_ready()
        for name in [*self.entry_names, *self.side_names]:
            self.ports[name] = self.allocator.allocate()
            self.ports[f"{name}-http"] = self.allocator.allocate()
        for position, name in enumerate([*self.entry_names, *self.side_names], 1):
            self._start_daemon(name)
            if position == 1:
                self._submit_initial_document()
            if position % START_BATCH == 0:
                time.sleep(1.0)
        wait_until(
            self.converged,
            START_TIMEOUT_S,
            "same configuration number in force everywhere",
        )

    def _start_standin(self, name: str, module: str, extra: list[str] = []) -> None:  # noqa: B006
        port = self.ports[name] = self.allocator.allocate()
        arguments = [module, "--address", LOOPBACK, "--port", str(port), *extra]
        self.start_process(name, arguments)

    def _start_daemon(self, name: str) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._settings(name)))
        self.start_process(name, ["cornelpin.daemon", "--settings", str(path)])

    def _settings(self, name: str) -> dict[str, Any]:
        settings = {
            "name": name,
            "host": f"host-{name}",
            "data_centre": self.data_centre(name),
            "address": LOOPBACK,
            "peer_port": self.ports[name],
            "http_port": self.ports[f"{name}-http"],
            "shared_key": SHARED_KEY,
            "objects": {"url": f"http://{LOOPBACK}:{self.ports['objects']}"},
            "seeds": [f"{LOOPBACK}:{self.ports['e0']}"],
        }
        if not name.startswith("side-"):
            digest = sha256_hex(OPERATOR_TOKEN)
            return {**settings, "role": "entry", "bootstrap_operator_sha256": digest}
        backend = {
            "name": name.removeprefix("side-"),
            "kind": "engine",
            "url": f"http://{LOOPBACK}:{self.ports['engine']}",
            "slots": SLOTS,
        }
        return {**settings, "role": "side", "backend": backend}

    def data_centre(self, name: str) -> str:
        """Returns the data centre of a process."""
        index = int("".join(c for c in name if c.isdigit()))
        return DATA_CENTRES[index % len(DATA_CENTRES)]

    def _submit_initial_document(self) -> None:
        client = self.client("e0")
        wait_until(
            lambda: _responds(client), START_TIMEOUT_S, "the first entry responds"
        )
        self.patch(self.document())

    def document(self) -> dict[str, Any]:
        """Returns the initial configuration document."""
        servers = [name.removeprefix("side-") for name in self.side_names]
        names = [*self.entry_names, *self.side_names]
        return {
            "tiers": {TIER: {"shed_order": 1}},
            "routes": {ROUTE: {"tier": TIER, "backend_servers": servers}},
            "workspaces": dict(workspaces(0, self.workspaces)),
            "backend_servers": {
                server: {
                    "host": f"host-side-{server}",
                    "peer_port": self.ports[f"side-{server}"],
                }
                for server in servers
            },
            "entries": {
                name: {
                    "host": f"host-{name}",
                    "peer_port": self.ports[name],
                    "http_port": self.ports[f"{name}-http"],
                }
                for name in self.entry_names
            },
            "hosts": {
                f"host-{name}": {
                    "address": LOOPBACK,
                    "data_centre": self.data_centre(name),
                }
                for name in names
            },
            "operators": {"bench": {"token_sha256": [sha256_hex(OPERATOR_TOKEN)]}},
        }

    # Operating

    def client(self, name: str, timeout_s: float = 30.0) -> JsonClient:
        """Returns a JSON client of an entry or a stand-in."""
        port = self.ports.get(f"{name}-http", self.ports.get(name, 0))
        return JsonClient(LOOPBACK, port, OPERATOR_TOKEN, timeout_s)

    def config_number(self, entry: str = "e0") -> int:
        """Returns the number of the configuration in force at an entry."""
        status = self.client(entry).call("GET", "/admin/v1/config/status").body
        return int(status["number"])

    def patch(self, patch: dict[str, Any], entry: str = "e0") -> int:
        """Submits a patch to an entry and returns the new configuration number."""
        body = {"base": self.config_number(entry), "patch": patch}
        reply = self.client(entry).call("POST", "/admin/v1/config/patches", body)
        if reply.status != OK:
            raise RuntimeError(f"patch: {reply.status} {reply.body}")
        return int(reply.body["number"])

    def converged(self) -> bool:
        """Returns whether every process runs the first entry's configuration number."""
        for process in self.processes.values():
            if not process.running:
                raise RuntimeError(f"{process.name} ended: {process.stderr_tail()}")
        try:
            number = self.config_number()
            reported = self._numbers()
        except (OSError, TypeError, KeyError):
            time.sleep(POLL_S)
            return False
        names = {*self.entry_names, *self.side_names}
        converged = all(reported.get(name) == number for name in names)
        if not converged:
            time.sleep(POLL_S)
        return converged

    def _numbers(self) -> dict[str, int]:
        """Returns the highest number that each process has reported to any entry."""
        reported: dict[str, int] = {}
        for entry in self.entry_names:
            status = self.client(entry).call("GET", "/admin/v1/config/status").body
            for row in status["processes"]:
                number = row["number"] or 0
                reported[row["name"]] = max(number, reported.get(row["name"], 0))
        return reported

    def events(self, kind: str) -> Iterator[dict[str, Any]]:
        """Yields the timeline events of one kind from all processes, each one once."""
        seen = set()
        for entry in self.entry_names:
            rows = self.client(entry).call("GET", "/admin/v1/timeline").body
            for row in rows if isinstance(rows, list) else ():
                key = (row["process"], row["at"], row["logical"])
                if row["kind"] == kind and key not in seen:
                    seen.add(key)
                    yield row

    def usage(self, names: list[str]) -> dict[str, Usage]:
        """Returns the resource usage of the named processes so far."""
        pids = {name: self.processes[name].child.pid for name in names}  # type: ignore[union-attr]
        return usage_of(pids)

    def store_counts(self) -> dict[str, int]:
        """Returns the number of calls that the object store has answered, by kind."""
        return dict(self.client("objects").call("GET", "/stats").body)


def workspaces(start: int, end: int) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yields names and configuration of the workspaces ``start`` to ``end - 1``."""
    for index in range(start, end):
        name = f"workspace-{index}"
        yield (
            name,
            {
                "token_sha256": [sha256_hex(workspace_token(name))],
                "routes": [ROUTE],
                "tiers": [TIER],
                "share": 1.0,
            },
        )


def _responds(client: JsonClient) -> bool:
    try:
        return client.call("GET", "/admin/v1/config/status").status == OK
    except OSError:
        return False
