"""Testbed that runs the naive baseline instead of cornelpin's entries and sides."""

from __future__ import annotations

from attrs import define

from benchmarks.records import Kind
from benchmarks.testbed import Testbed


@define
class NaiveTestbed(Testbed):
    """A testbed whose entries are processes of the naive baseline."""

    def start_system(self) -> None:
        """Starts one process of the baseline for each entry."""
        for name in self.deployment.entries:
            arguments = [
                "--models",
                ",".join(map(self._url, self.deployment.servers_of(Kind.MODEL))),
                "--services",
                ",".join(map(self._url, self.deployment.servers_of(Kind.SERVICE))),
            ]
            self._add_standin(name, "benchmarks.naive", arguments)
        self.wait_ready()
