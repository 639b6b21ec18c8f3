"""Sends one workload from several processes, as one sender could not keep up."""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor

from attrs import frozen

from benchmarks.load import Sender, Target
from benchmarks.records import SentRecord
from benchmarks.workload import PlannedRequest

SENDER_PROCESSES = 3
START_DELAY_S = 1.5


@frozen
class WorkloadPart:
    """The part of a workload that one process sends."""

    targets: tuple[Target, ...]
    tokens: Mapping[str, str]
    planned: tuple[PlannedRequest, ...]
    start_at: float
    collect_timeout_s: float


def send_part(part: WorkloadPart) -> list[SentRecord]:
    """Sends one part and returns its records."""
    sender = Sender(
        list(part.targets), part.tokens, collect_timeout_s=part.collect_timeout_s
    )
    return sender.run(part.planned, part.start_at)


def send_parallel(
    targets: Sequence[Target],
    tokens: Mapping[str, str],
    planned: Sequence[PlannedRequest],
    collect_timeout_s: float,
) -> list[SentRecord]:
    """Sends a workload from several processes and returns all records."""
    context = multiprocessing.get_context("spawn")
    start_at = time.time() + START_DELAY_S
    parts = [
        WorkloadPart(
            tuple(targets),
            dict(tokens),
            tuple(planned[i::SENDER_PROCESSES]),
            start_at,
            collect_timeout_s,
        )
        for i in range(SENDER_PROCESSES)
    ]
    with ProcessPoolExecutor(SENDER_PROCESSES, mp_context=context) as pool:
        return [record for records in pool.map(send_part, parts) for record in records]
