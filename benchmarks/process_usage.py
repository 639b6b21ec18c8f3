"""Reads the resource usage of processes from the kernel's counters."""

from __future__ import annotations

import os
import re
import subprocess
from collections.abc import Mapping
from pathlib import Path

from attrs import frozen

# IP and TCP headers of one segment with the timestamp option; no link-layer header.
SEGMENT_HEADER_BYTES = 52
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KIB = 1024
_PID = re.compile(r"pid=(\d+)")
_COUNTER = re.compile(r"\b(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


@frozen
class Usage:
    """Resource usage of one process.

    Attributes:
        cpu_s: Processor time in seconds, user and system.
        memory_mb: Resident memory in megabytes.
        sent_bytes: Bytes sent on its open TCP streams, headers included.
        received_bytes: Bytes received on its open TCP streams, headers included.
        streams: Number of open TCP streams.
        threads: Number of threads.
    """

    cpu_s: float
    memory_mb: float
    sent_bytes: int
    received_bytes: int
    streams: int
    threads: int


def usage_of(pids: Mapping[str, int]) -> dict[str, Usage]:
    """Returns the resource usage of processes by name."""
    traffic = _traffic()
    return {name: _usage(pid, traffic.get(pid, [])) for name, pid in pids.items()}


def usage_rates(before: Usage, after: Usage, seconds: float) -> Usage:
    """Returns the usage per second; memory, streams and threads are those of after."""
    return Usage(
        cpu_s=(after.cpu_s - before.cpu_s) / seconds,
        memory_mb=after.memory_mb,
        sent_bytes=round((after.sent_bytes - before.sent_bytes) / seconds),
        received_bytes=round((after.received_bytes - before.received_bytes) / seconds),
        streams=after.streams,
        threads=after.threads,
    )


def _usage(pid: int, streams: list[dict[str, int]]) -> Usage:
    status = Path(f"/proc/{pid}/status").read_text()
    header = SEGMENT_HEADER_BYTES
    sent = [s.get("bytes_sent", 0) + header * s.get("segs_out", 0) for s in streams]
    received = [
        s.get("bytes_received", 0) + header * s.get("segs_in", 0) for s in streams
    ]
    return Usage(
        cpu_s=_cpu_s(pid),
        memory_mb=_field(status, "VmRSS") * _KIB / 1e6,
        sent_bytes=sum(sent),
        received_bytes=sum(received),
        streams=len(streams),
        threads=_field(status, "Threads"),
    )


def _cpu_s(pid: int) -> float:
    stat = Path(f"/proc/{pid}/stat").read_text()
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS_PER_S


def _field(status: str, name: str) -> int:
    match = re.search(rf"^{name}:\s+(\d+)", status, re.MULTILINE)
    return int(match[1]) if match else 0


def _traffic() -> dict[int, list[dict[str, int]]]:
    """Returns the counters of open TCP streams by process id."""
    result = subprocess.run(
        ["ss", "-H", "-t", "-i", "-n", "-p", "-O", "state", "established"],
        capture_output=True,
        text=True,
        check=True,
    )
    streams_by_pid: dict[int, list[dict[str, int]]] = {}
    for line in result.stdout.splitlines():
        owner = _PID.search(line)
        if owner is not None:
            counters = {name: int(value) for name, value in _COUNTER.findall(line)}
            streams_by_pid.setdefault(int(owner[1]), []).append(counters)
    return streams_by_pid
