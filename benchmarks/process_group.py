"""Plain processes by name, and those of one deployment."""

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
    """The testbed could not bring a deployment into the asked state."""

    __test__ = False


@define
class OwnedProcesses:
    """Owns processes that share a folder; use it as a context manager.

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
        """Starts everything."""
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
        """Ends every process that was started."""
        self.close()

    def start(self) -> None:
        """Starts all processes."""
        raise NotImplementedError

    def close(self) -> None:
        """Ends every process that was started."""
        stop_all(list(self.processes.values()))

    def remove_folder(self) -> None:
        """Removes settings, run logs and output, once nobody needs them."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_process(self, name: str, arguments: list[str]) -> None:
        """Starts a Python module as a process of this group."""
        process = ManagedProcess(name, arguments, self.folder)
        self.processes[name] = process
        process.start()


@define
class ProcessGroup(OwnedProcesses):
    """Owns the processes of one deployment.

    Attributes:
        deployment: The deployment to run.
        seed: Seed passed to the stand-ins.
        versions: Versions that the engines hold at their start.
        addresses: Address by process name, of those not at ``LOOPBACK``.
    """

    deployment: Deployment
    seed: int = 1
    versions: tuple[str, ...] = (FIRST_VERSION,)
    addresses: dict[str, str] = field(factory=dict)

    def wait_ready(self) -> None:
        """Waits for the first ready line of every process started so far."""
        for process in self.processes.values():
            process.wait_ready()

    def restart(self, name: str) -> None:
        """Starts an ended process again with the same settings."""
        process = self.processes[name]
        before = process.ready_count()
        process.start()
        process.wait_ready(before)

    def _check_running(self) -> None:
        """Fails at once, with its last output, when a process ended at its start."""
        for process in self.processes.values():
            if not process.running:
                raise TestbedError(f"{process.name} ended: {process.stderr_tail()}")

    def client(self, name: str, token: str = OPERATOR_TOKEN) -> JsonClient:
        """Returns a JSON client of a process."""
        return JsonClient(self.addresses.get(name, LOOPBACK), self.ports[name], token)
