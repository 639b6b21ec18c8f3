"""Entries with links of their own to the store, and how long changes take to them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any

import attrs

from benchmarks.fault_soak.proxy import Proxy
from cornelpin.tests.gateway_harness import Harness, config, route, until

if TYPE_CHECKING:
    from cornelpin.gateway.app import Entry

POLL_S = 0.005


@attrs.define
class Bed:
    """Entries beside a store, each with a proxy between them.

    Attributes:
        harness: Store, servers and entries.
        links: Proxy of each entry.
        version: Last version stored.
        times_s: Seconds from each change until an entry had it, for all entries.
    """

    harness: Harness
    links: list[Proxy]
    version: int = 1
    times_s: list[float] = attrs.field(factory=list)

    @property
    def entries(self) -> list[Entry]:
        """The entries."""
        return self.harness.entries

    @property
    def lead(self) -> int:
        """Number of the entry that reached the store last for the configuration."""
        caches = [entry._view._caches["config"] for entry in self.entries]
        return max(range(len(caches)), key=lambda n: caches[n].contacted_at)

    async def change(
        self, count: int = 1, *, among: list[int] | None = None, routes: int = 0
    ) -> None:
        """Stores versions 10 ms apart and records when each entry has them.

        Args:
            count: Number of versions.
            among: Numbers of the entries that must get it; None for all.
            routes: Number of routes that the versions add.
        """
        entries = [self.entries[n] for n in among] if among else self.entries
        now = asyncio.get_running_loop().time
        measured = []
        added = [route(f"/added-{n:016x}/", "safe") for n in range(routes)]
        for _ in range(count):
            self.version += 1
            spec = config(self.version, routes=[*config()["routes"], *added])
            self.harness.store.put("config", "main", spec)
            measured += [
                asyncio.create_task(self._measure(entry, self.version, now()))
                for entry in entries
            ]
            await asyncio.sleep(0.01)
        self.times_s += await asyncio.gather(*measured)

    async def _measure(self, entry: Entry, version: int, began: float) -> float:
        async with asyncio.timeout(10.0):
            while entry.state.config is None or entry.state.config.version < version:
                await asyncio.sleep(POLL_S)
        return asyncio.get_running_loop().time() - began

    def silence(self, *numbers: int) -> None:
        """Silences the open connections of entries to the store; new ones work."""
        for number in numbers:
            self.links[number].silence()

    def refuse(self, *numbers: int, refuse: bool = True) -> None:
        """Makes the store reset connections of entries, or ends that."""
        for number in numbers:
            self.links[number].fault.refuse_connections = refuse
            if refuse:
                self.links[number].reset()


@contextlib.asynccontextmanager
async def run_bed(entries: int, **fields: Any) -> AsyncIterator[Bed]:
    """Runs entries that know each other and have the first configuration."""
    harness = Harness()
    await harness.store.server.start("127.0.0.1")
    harness.store.put("config", "main", config())
    await harness.add_server()
    bed = Bed(harness, [])
    try:
        for _ in range(entries):
            link = Proxy(harness.store.server.address)
            await link.start()
            bed.links.append(link)
            address = f"{link.address[0]}:{link.address[1]}"
            await harness.add_entry(provider={"address": address}, **fields)
        await until(lambda: all(e.peers.count == entries for e in harness.entries))
        yield bed
    finally:
        await harness.close()
        for link in bed.links:
            await link.stop()
