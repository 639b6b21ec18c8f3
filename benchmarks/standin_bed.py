"""Runs the stand-ins of the platform and of the backend servers."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from attrs import define

from benchmarks.deployment import Engine, Service
from benchmarks.process_group import ProcessGroup, TestbedError
from benchmarks.processes import LOOPBACK
from benchmarks.records import RunEvent, read_run_log

OBJECTS = "objects"
HOST_LIST = "hosts"
WEIGHTS = "weights"
HOST_OPTIONS = {"lag-s": 2.0}
# A second model route, which a scenario may add over the same engines.
OTHER_ROUTE = "other"
WEIGHT_OPTIONS = {"loads-per-s": 2.0}
OK = 200


@define
class StandinBed(ProcessGroup):
    """The stand-ins of one deployment."""

    def start_standins(self) -> None:
        """Starts the platform's services, the engines and the plain services."""
        self._add_standin(OBJECTS, "standins.objects", [])
        self._add_standin(HOST_LIST, "standins.hosts", self._host_list())
        self._add_standin(WEIGHTS, "standins.weights", _as_arguments(WEIGHT_OPTIONS))
        for engine in self.deployment.engines:
            self._add_standin(engine.name, "standins.engine", self._engine(engine))
        for service in self.deployment.services:
            self._add_standin(service.name, "standins.service", self._service(service))
        self.wait_ready()

    def _host_list(self) -> list[str]:
        # Hosts added later would be seen only after the lag of the list.
        hosts = [{"host": h, **self._listed(h, "live")} for h in self.deployment.hosts]
        return _as_arguments({**HOST_OPTIONS, "hosts": json.dumps(hosts)})

    def _listed(self, host: str, state: str) -> dict[str, str]:
        centre = self.deployment.hosts[host]
        return {"address": LOOPBACK, "data_centre": centre, "state": state}

    def set_host_state(self, host: str, state: str) -> None:
        """Makes the host list say that a host is ``live`` or ``leaving``."""
        listed = self._listed(host, state)
        reply = self.client(HOST_LIST).call("PUT", f"/hosts/{host}", listed)
        if reply.status != OK:
            raise TestbedError(f"host {host}: {reply.status} {reply.body}")

    def _url(self, name: str) -> str:
        return f"http://{LOOPBACK}:{self.ports[name]}"

    def _add_standin(self, name: str, module: str, arguments: list[str]) -> None:
        port = self.ports[name] = self.allocator.allocate()
        common = ["--address", LOOPBACK, "--port", str(port)]
        self.start_process(name, [module, *common, *arguments])

    def _engine(self, engine: Engine) -> list[str]:
        options = {
            "name": engine.name,
            "model": self.deployment.model_route,
            "other-models": OTHER_ROUTE,
            "versions": ",".join(self.versions),
            "step-ms": engine.step_ms,
            "max-batch": engine.max_batch,
            "prefill-tokens-per-s": engine.prefill_tokens_per_s,
            "cache-tokens": engine.cache_tokens,
            "run-log": self.run_log(engine.name),
            "checks-fence": int(engine.checks_fence),
            "weights-url": self._url(WEIGHTS),
            "seed": self.seed,
        }
        return _as_arguments(options)

    def _service(self, service: Service) -> list[str]:
        options = {
            "name": service.name,
            "latency-ms": service.latency_ms,
            "run-log": self.run_log(service.name),
        }
        return _as_arguments(options)

    def run_log(self, server: str) -> Path:
        """Returns the path of a stand-in's run log."""
        return self.folder / f"{server}.runs.jsonl"

    def run_events(self) -> list[RunEvent]:
        """Reads the run logs of all backend servers."""
        return [
            event
            for server in self.deployment.servers
            for event in read_run_log(server, self.run_log(server))
        ]


def _as_arguments(options: dict[str, Any]) -> list[str]:
    return [part for key, value in options.items() for part in (f"--{key}", str(value))]
