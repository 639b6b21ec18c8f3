"""Submits concurrent patches from several operators during object store faults.

Run it with ``python -m benchmarks.patches``; it writes ``build/patches.json``. Each
patch adds its own workspace, so that a lost or reverted patch shows in the final
document. The exit code is 1 if a patch was lost, if the configuration number of an
entry decreased, or if the processes did not converge to one number.
"""

from __future__ import annotations

import argparse
import itertools
import json
import random
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from attrs import asdict, define, field

from benchmarks.fleet import OK, Fleet, workspaces

BUILD_FOLDER = Path(__file__).resolve().parent.parent / "build"
ENTRIES = 4
SIDES = 4
OPERATORS = 8
FAULT_DURATION_S = 1.5
SETTLE_S = 12.0
CONFLICT = 409
RETRY_INTERVAL_S = 0.05
FAULTS: tuple[dict[str, Any], ...] = (
    {"mode": "ok", "rate": 1.0, "delay_s": 0.0},
    {"mode": "lose_answers", "rate": 0.2, "delay_s": 0.0},
    {"mode": "stale_reads", "rate": 0.3, "delay_s": 0.0},
    {"mode": "slow", "rate": 0.5, "delay_s": 0.1},
    {"mode": "outage", "rate": 0.3, "delay_s": 0.0},
)


@define
class Outcome:
    """Counts of the patches by outcome.

    Attributes:
        submitted: Distinct patches sent; retries are not counted.
        accepted: Patches that an entry accepted.
        undecided: Patches with an unknown outcome: an entry said so, or the
            request failed without a usable response.
        conflicts: Rejections because of a stale base number; each was retried.
        refused: Other responses that a patch was not stored; each was retried.
        lost: Accepted patches missing from the final configuration, summed over the
            entries.
        fell: Decreases of the configuration number at an entry.
        number: Highest configuration number in force at the end.
        seconds: Time to submit all patches, in seconds.
    """

    submitted: int = 0
    accepted: int = 0
    undecided: int = 0
    conflicts: int = 0
    refused: int = 0
    lost: int = 0
    fell: int = 0
    number: int = 0
    seconds: float = 0.0
    lock: threading.Lock = field(factory=threading.Lock, eq=False, repr=False)

    def count(self, name: str) -> None:
        """Increments a counter."""
        with self.lock:
            setattr(self, name, getattr(self, name) + 1)


def submit_all(fleet: Fleet, patches: int, seed: int) -> tuple[Outcome, set[str]]:
    """Submits all patches from concurrent operators.

    Returns:
        The outcome and the names of the workspaces in accepted patches.
    """
    outcome, accepted = Outcome(), set()
    indices = iter(range(1, patches + 1))
    stop = threading.Event()
    started = time.monotonic()

    def operate(operator: int) -> None:
        rng = random.Random(f"{seed}-{operator}")
        while (index := _next(indices, outcome.lock)) is not None:
            outcome.count("submitted")
            name, workspace = next(workspaces(index, index + 1))
            if _submit(fleet, {"workspaces": {name: workspace}}, rng, outcome):
                outcome.count("accepted")
                accepted.add(name)

    fault_injector = threading.Thread(target=_inject_faults, args=(fleet, stop))
    watcher = threading.Thread(target=_watch_numbers, args=(fleet, stop, outcome))
    fault_injector.start()
    watcher.start()
    with ThreadPoolExecutor(OPERATORS) as pool:
        list(pool.map(operate, range(OPERATORS)))
    outcome.seconds = round(time.monotonic() - started, 1)
    stop.set()
    fault_injector.join()
    watcher.join()
    return outcome, accepted


def _next(indices: Any, lock: threading.Lock) -> int | None:
    with lock:
        return next(indices, None)


def _submit(
    fleet: Fleet, patch: dict[str, Any], rng: random.Random, outcome: Outcome
) -> bool:
    """Sends a patch until its outcome is final; returns whether it was accepted."""
    while True:
        entry = fleet.client(rng.choice(fleet.entry_names))
        try:
            number = entry.call("GET", "/admin/v1/config").body["number"]
            body = {"base": number, "patch": patch}
            reply = entry.call("POST", "/admin/v1/config/patches", body)
        except (OSError, TypeError):
            outcome.count("undecided")
            return False
        if reply.status == OK:
            return True
        if reply.status == CONFLICT:
            outcome.count("conflicts")
        elif reply.body.get("undecided"):
            outcome.count("undecided")
            return False
        else:
            outcome.count("refused")
        time.sleep(rng.uniform(0, RETRY_INTERVAL_S))


def _inject_faults(fleet: Fleet, stop: threading.Event) -> None:
    for fault in itertools.cycle(FAULTS):
        fleet.client("objects").call("POST", "/faults", fault)
        if stop.wait(FAULT_DURATION_S):
            break
    fleet.client("objects").call("POST", "/faults", FAULTS[0])


def _watch_numbers(fleet: Fleet, stop: threading.Event, outcome: Outcome) -> None:
    highest = dict.fromkeys(fleet.entry_names, 0)
    while not stop.wait(RETRY_INTERVAL_S):
        for name in fleet.entry_names:
            number = fleet.client(name).call("GET", "/admin/v1/config").body["number"]
            if number < highest[name]:
                outcome.count("fell")
            highest[name] = number


def main() -> int:
    """Submits the patches, checks the result and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--patches", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    with Fleet(ENTRIES, SIDES) as fleet:
        outcome, accepted = submit_all(fleet, arguments.patches, arguments.seed)
        time.sleep(SETTLE_S)
        agreed = fleet.converged()
        for name in fleet.entry_names:
            body = fleet.client(name).call("GET", "/admin/v1/config").body
            outcome.number = max(outcome.number, body["number"])
            outcome.lost += len(accepted - body["document"]["workspaces"].keys())
    results = asdict(outcome, filter=lambda attribute, _: attribute.name != "lock")
    results |= {"seed": arguments.seed, "agreed": agreed}
    BUILD_FOLDER.mkdir(exist_ok=True)
    (BUILD_FOLDER / "patches.json").write_text(json.dumps(results, indent=1))
    print(json.dumps(results))
    return 1 if outcome.lost or outcome.fell or not agreed else 0


if __name__ == "__main__":
    sys.exit(main())
