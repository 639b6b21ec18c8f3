"""When the entries of a soak had each configuration in force, from their logs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from benchmarks.fault_soak.fleet import Change, EntryProcess, Fleet

CONFIG_S = 2.0
"""Time within which a configuration must be in force, as on the platform."""
LOG_S = 0.1
"""Time until a line is written, and between the clocks of line and stand-in."""


def times_in_force(fleet: Fleet) -> list[float]:
    """Returns the seconds from each change until each entry had it in force.

    Left out are entries that were not running well, and changes that the store may not
    have told them.
    """
    return [took_s for _, _, took_s in _times(fleet)]


def check_config(fleet: Fleet) -> list[str]:
    """Returns the changes that were not in force in time."""
    return [
        f"CONFIG: version {change.version} at {entry.log.name} after {took_s:.2f} s"
        for entry, change, took_s in _times(fleet)
        if took_s > CONFIG_S + LOG_S
    ]


def _times(fleet: Fleet) -> Iterator[tuple[EntryProcess, Change, float]]:
    for entry in fleet.entries:
        in_force = _versions(entry)
        for change in fleet.configured:
            end = change.loop_at + CONFIG_S
            excused = any(b < end and change.loop_at < e for b, e in entry.faults)
            if excused or fleet.store_faulty(change.loop_at, end):
                continue
            later = [at for at, version in in_force if version >= change.version]
            took_s = min(later, default=float("inf")) - change.at
            # The first ones were written before the entries started.
            if took_s > 0 and entry.started_at < change.loop_at:
                yield entry, change, took_s


def _versions(entry: EntryProcess) -> list[tuple[float, int]]:
    """Returns Unix time and version of each configuration that came into force."""
    found = []
    for text in entry.log.read_text(errors="replace").splitlines():
        if '"config.in_force"' in text:
            line = json.loads(text)
            found.append((line["at"], line["version"]))
    return found
