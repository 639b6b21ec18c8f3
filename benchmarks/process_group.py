"""Base classes that own local processes and end them on exit."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path
from types import TracebackType
from typing import Self

from attrs import define, field

from benchmarks.cluster_settings import FIRST_VERSION, OPERATOR_TOKEN
from benchmarks.deployment import Deployment
from benchmarks.http_json import JsonClient
from benchmarks.processes import LOOPBACK, ManagedProcess, PortAllocator, stop_all


class TestbedError(Exception):
    """The testbed could not bring a deployment into the requested state."""

    __test__ = False


@define
class OwnedProcesses:
    """Owns processes that share a folder; used as a context manager.

    Attributes:
        folder: Folder for settings, run logs and output.
        processes: All processes by name, in order of their first start.
        ports: HTTP port by process name.
        allocator: Source of free ports.
    """

    folder: Path = field(
        factory=lambda: Path(tempfile.mkdtemp(prefix="cornelpin-")), kw_only=True
    )
    processes: dict[str, ManagedProcess] = field(factory=dict, kw_only=True)
    ports: dict[str, int] = field(factory=dict, kw_only=True)
    allocator: PortAllocator = field(factory=PortAllocator, kw_only=True)

    def __enter__(self) -> Self:
        """Starts all processes; closes the group if that fails."""
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ends every started process."""
        self.close()

    def start(self) -> None:
        """Starts all processes."""
        raise NotImplementedError

    def close(self) -> None:
        """Ends every started process."""
        stop_all(list(self.processes.values()))

    def remove_folder(self) -> None:
        """Removes settings, run logs and output."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_process(self, name: str, arguments: list[str]) -> None:
        """Starts a Python module, the first argument, as a process of the group."""
        process = ManagedProcess(name, arguments, self.folder)
        self.processes[name] = process
        process.start()


@define
class ProcessGroup(OwnedProcesses):
    """Owns the processes of one deployment.

    Attributes:
        deployment: The deployment to run.
        seed: Seed passed to the stand-ins.
        versions: Model versions that the engines have loaded at their start.
        addresses: Address by process name, for processes not on ``LOOPBACK``.
    """

    deployment: Deployment
    seed: int = 1
    versions: tuple[str, ...] = (FIRST_VERSION,)
    addresses: dict[str, str] = field(factory=dict)

    def wait_ready(self) -> None:
        """Waits until every started process has printed its first ready line."""
        for process in self.processes.values():
            process.wait_ready()

    def restart(self, name: str) -> None:
        """Starts an ended process again with the same settings."""
        process = self.processes[name]
        starts_before = process.ready_count()
        process.start()
        process.wait_ready(starts_before)

    def _check_running(self) -> None:
        """Raises TestbedError with its last errors if a process has ended."""
        for process in self.processes.values():
            if not process.running:
                raise TestbedError(f"{process.name} ended: {process.stderr_tail()}")

    def client(self, name: str, token: str = OPERATOR_TOKEN) -> JsonClient:
        """Returns a JSON client of a process."""
        return JsonClient(self.addresses.get(name, LOOPBACK), self.ports[name], token)
