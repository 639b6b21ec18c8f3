"""Races patches from several operators while the object store fails.

Run it with ``python -m benchmarks.patches``; it writes ``build/patches.json``. Each
patch adds one workspace of its own, so that a patch lost or reverted shows in the
final document. The exit code is 1 if one is, or if a number fell at an entry.
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
FAULT_S = 1.5
SETTLE_S = 12.0
CONFLICT = 409
RETRY_S = 0.05
FAULTS: tuple[dict[str, Any], ...] = (
    {"mode": "ok", "rate": 1.0, "delay_s": 0.0},
    {"mode": "lose_answers", "rate": 0.2, "delay_s": 0.0},
    {"mode": "stale_reads", "rate": 0.3, "delay_s": 0.0},
    {"mode": "slow", "rate": 0.5, "delay_s": 0.1},
    {"mode": "outage", "rate": 0.3, "delay_s": 0.0},
)


@define
class Outcome:
    """What became of the patches.

    Attributes:
        submitted: Patches sent, repeats after a conflict not counted.
        accepted: Patches said to be accepted.
        undecided: Patches of which the system said that it does not know.
        conflicts: Patches refused for a stale number; they were sent again.
        refused: Answers that said a patch was not stored; it was sent again.
        lost: Accepted patches that are not in force at the end.
        fell: Times that a number fell at an entry.
        number: Number in force at the end.
        seconds: Duration of the race.
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
        """Adds one to a counter."""
        with self.lock:
            setattr(self, name, getattr(self, name) + 1)


def race(fleet: Fleet, patches: int, seed: int) -> tuple[Outcome, set[str]]:
    """Submits all patches and returns the outcome and the accepted workspaces."""
    outcome, accepted = Outcome(), set()
    indices = iter(range(1, patches + 1))
    stop = threading.Event()
    started = time.monotonic()

    def operate(operator: int) -> None:
        rng = random.Random(f"{seed}-{operator}")
        while (index := _next(indices, outcome.lock)) is not None:
            outcome.count("submitted")
            name, entry = next(workspaces(index, index + 1))
            if _submit(fleet, {"workspaces": {name: entry}}, rng, outcome):
                outcome.count("accepted")
                accepted.add(name)

    disturber = threading.Thread(target=_disturb, args=(fleet, stop))
    watcher = threading.Thread(target=_watch_numbers, args=(fleet, stop, outcome))
    disturber.start()
    watcher.start()
    with ThreadPoolExecutor(OPERATORS) as pool:
        list(pool.map(operate, range(OPERATORS)))
    outcome.seconds = round(time.monotonic() - started, 1)
    stop.set()
    disturber.join()
    watcher.join()
    return outcome, accepted


def _next(indices: Any, lock: threading.Lock) -> int | None:
    with lock:
        return next(indices, None)


def _submit(
    fleet: Fleet, patch: dict[str, Any], rng: random.Random, outcome: Outcome
) -> bool:
    """Sends a patch until it is decided; tells whether it was accepted."""
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
        time.sleep(rng.uniform(0, RETRY_S))


def _disturb(fleet: Fleet, stop: threading.Event) -> None:
    for fault in itertools.cycle(FAULTS):
        fleet.client("objects").call("POST", "/faults", fault)
        if stop.wait(FAULT_S):
            break
    fleet.client("objects").call("POST", "/faults", FAULTS[0])


def _watch_numbers(fleet: Fleet, stop: threading.Event, outcome: Outcome) -> None:
    highest = dict.fromkeys(fleet.entry_names, 0)
    while not stop.wait(RETRY_S):
        for name in fleet.entry_names:
            number = fleet.client(name).call("GET", "/admin/v1/config").body["number"]
            if number < highest[name]:
                outcome.count("fell")
            highest[name] = number


def main() -> int:
    """Races the patches, checks the result and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--patches", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    chosen = parser.parse_args()
    with Fleet(ENTRIES, SIDES) as fleet:
        outcome, accepted = race(fleet, chosen.patches, chosen.seed)
        time.sleep(SETTLE_S)
        agreed = fleet.converged()
        for name in fleet.entry_names:
            body = fleet.client(name).call("GET", "/admin/v1/config").body
            outcome.number = max(outcome.number, body["number"])
            outcome.lost += len(accepted - body["document"]["workspaces"].keys())
    figures = asdict(outcome, filter=lambda attribute, _: attribute.name != "lock")
    figures |= {"seed": chosen.seed, "agreed": agreed}
    BUILD_FOLDER.mkdir(exist_ok=True)
    (BUILD_FOLDER / "patches.json").write_text(json.dumps(figures, indent=1))
    print(json.dumps(figures))
    return 1 if outcome.lost or outcome.fell or not agreed else 0


if __name__ == "__main__":
    sys.exit(main())
