"""Starts, pauses and ends child processes, and allocates their ports."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from attrs import define, field

from benchmarks.waiting import wait_until

REPOSITORY = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
KILL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.02
LOOPBACK = "127.0.0.1"
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000
PORTS_PER_BLOCK = 100


class ProcessError(Exception):
    """A process could not be started or did not exit within the time limit."""


@define
class ManagedProcess:
    """One Python process, which can be started several times.

    Attributes:
        name: Name within the testbed.
        arguments: Name of the Python module and its arguments.
        folder: Folder of the output files.
        child: The process started last, None before the first start.
        exit_codes: Exit codes of the runs before the last start.
    """

    name: str
    arguments: list[str]
    folder: Path
    child: subprocess.Popen[bytes] | None = None
    exit_codes: list[int] = field(factory=list)

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.child is not None and self.child.poll() is None

    @property
    def stdout_path(self) -> Path:
        """File with the standard output of all runs."""
        return self.folder / f"{self.name}.stdout"

    @property
    def stderr_path(self) -> Path:
        """File with the standard error of all runs."""
        return self.folder / f"{self.name}.stderr"

    def start(self) -> None:
        """Starts the process; its output is appended to the files."""
        if self.running:
            raise ProcessError(f"{self.name} is already running")
        self._reap()
        with self.stdout_path.open("ab") as out, self.stderr_path.open("ab") as err:
            self.child = subprocess.Popen(
                [sys.executable, "-u", "-m", *self.arguments],
                cwd=REPOSITORY,
                env={**os.environ, "PYTHONPATH": _python_path()},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
            )

    def wait_ready(self, starts_before: int = 0) -> None:
        """Waits until more ``ready`` lines are printed than before the start."""

        def ready() -> bool:
            if not self.running:
                raise ProcessError(f"{self.name} exited: {self.stderr_tail()}")
            return self.ready_count() > starts_before

        wait_until(ready, READY_TIMEOUT_S, f"{self.name} is ready")

    def ready_count(self) -> int:
        """Counts the ``ready`` lines printed so far."""
        if not self.stdout_path.exists():
            return 0
        lines = self.stdout_path.read_text(errors="replace").splitlines()
        return sum(line.startswith("ready ") for line in lines)

    def stderr_tail(self, characters: int = 2000) -> str:
        """Returns the last characters of the standard error."""
        if not self.stderr_path.exists():
            return ""
        return self.stderr_path.read_text(errors="replace")[-characters:]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.running and self.child is not None:
            self.child.send_signal(number)

    def pause(self) -> None:
        """Suspends the process."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a paused process."""
        self.signal(signal.SIGCONT)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Requests a graceful shutdown and returns the exit code."""
        self.signal(signal.SIGTERM)
        return self._wait(timeout_s)

    def kill(self) -> None:
        """Kills the process."""
        self.signal(signal.SIGKILL)
        self._wait(KILL_TIMEOUT_S)

    def _wait(self, timeout_s: float) -> int:
        if self.child is None:
            raise ProcessError(f"{self.name} was never started")
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            raise ProcessError(
                f"{self.name} did not exit within {timeout_s} s"
            ) from exc

    def _reap(self) -> None:
        if self.child is not None:
            self.exit_codes.append(self.child.wait(KILL_TIMEOUT_S))


def _python_path() -> str:
    """Returns the Python path with this repository prepended."""
    rest = os.environ.get("PYTHONPATH")
    return os.pathsep.join([str(REPOSITORY), *([rest] if rest else [])])


@define
class PortAllocator:
    """Allocates loopback ports from blocks that no other allocator uses.

    The blocks lie below the ephemeral port range, so that no outgoing connection takes
    a port between its allocation and its use. The first port of a block stays bound as
    a lock for the lifetime of the allocator.
    """

    address: str = LOOPBACK
    _locks: list[socket.socket] = field(factory=list)
    _free: Iterator[int] = field(factory=lambda: iter(()))

    def allocate(self) -> int:
        """Returns a free port that was not returned before."""
        while True:
            for port in self._free:
                if self._is_free(port):
                    return port
            self._lock_block()

    def _lock_block(self) -> None:
        firsts = range(LOWEST_PORT, HIGHEST_PORT, PORTS_PER_BLOCK)
        for first in random.sample(firsts, len(firsts)):
            sock = socket.socket()
            try:
                sock.bind((self.address, first))
            except OSError:
                sock.close()
                continue
            self._locks.append(sock)
            self._free = iter(range(first + 1, first + PORTS_PER_BLOCK))
            return
        raise ProcessError(
            f"no free block of ports between {LOWEST_PORT} and {HIGHEST_PORT}"
        )

    def _is_free(self, port: int) -> bool:
        with socket.socket() as sock:
            # As servers set it, too, so that a connection in TIME_WAIT does not count.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((self.address, port))
            except OSError:
                return False
        return True


def stop_all(processes: list[ManagedProcess]) -> None:
    """Stops all processes in reverse order of their start; kills those that hang."""
    for process in reversed(processes):
        process.resume()
        process.signal(signal.SIGTERM)
    deadline = time.monotonic() + STOP_TIMEOUT_S
    for process in reversed(processes):
        while process.running and time.monotonic() < deadline:
            time.sleep(POLL_INTERVAL_S)
        if process.running:
            process.kill()
