"""Contenders for one lease under pauses, outages and lost replies.

A paused holder must not act beside its successor: at most one contender holds the
lease, each fencing token has one owner, and a stale holder's writes fail.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from cornelpin.core.lease import HOLD_SHARE, LEASE_DURATION_S, Lease
from cornelpin.stores.memory_objects import MemoryObjectStore
from cornelpin.stores.objects import Found, Written
from properties.profiles import run_settings
from properties.store_faults import StoreFaults

CONTENDERS = 3
LEASE_KEY = "lease"
STATE_KEY = "state"
contenders = st.integers(min_value=0, max_value=CONTENDERS - 1)


class FakeSide:
    """Accepts orders by fencing token, as a side process does."""

    def __init__(self) -> None:
        self.highest = 0
        self.accepted: list[tuple[int, int]] = []

    def order(self, contender: int, fence: int) -> None:
        if fence >= self.highest:
            self.highest = fence
            self.accepted.append((fence, contender))


class LeaseMachine(StoreFaults):
    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.store = MemoryObjectStore()
        self.side = FakeSide()
        # Hosts do not share a clock: each contender has its own offset.
        self.leases = [
            Lease(
                self.store,
                LEASE_KEY,
                f"c{i}",
                clock=lambda offset=1000.0 * i: self.now + offset,
            )
            for i in range(CONTENDERS)
        ]
        self.known: dict[int, int] = {}
        self.fences: dict[int, int] = {}
        self.writers: dict[int, int] = {}

    @rule(contender=contenders)
    def step(self, contender: int) -> None:
        self.leases[contender].step()

    @rule(
        seconds=st.sampled_from(
            [0.1, 1.0, LEASE_DURATION_S * HOLD_SHARE, LEASE_DURATION_S, 60.0]
        )
    )
    def pass_time(self, seconds: float) -> None:
        """Advances time; a contender that takes no step meanwhile counts as paused."""
        self.now += seconds

    @rule(contender=contenders)
    def release(self, contender: int) -> None:
        self.leases[contender].release()

    @rule(contender=contenders)
    def read_state(self, contender: int) -> None:
        found = self.store.get(STATE_KEY)
        self.known[contender] = found.version if isinstance(found, Found) else 0

    @rule(contender=contenders, paused_s=st.sampled_from([0.0, 60.0]))
    def write_state(self, contender: int, paused_s: float) -> None:
        """Replaces the state last read, possibly after a pause past the lease."""
        lease = self.leases[contender]
        if not lease.held or contender not in self.known:
            return
        self.now += paused_s
        version = self.known.pop(contender)
        outcome = self.store.put(STATE_KEY, b"", if_version=version)
        if isinstance(outcome, Written):
            assert version not in self.writers, "two writers replaced one state"
            self.writers[version] = contender

    @rule(contender=contenders)
    def order(self, contender: int) -> None:
        self.side.order(contender, self.leases[contender].fence)

    @invariant()
    def at_most_one_holder(self) -> None:
        held = [i for i, lease in enumerate(self.leases) if lease.held]
        assert len(held) <= 1

    @invariant()
    def each_fence_has_one_owner(self) -> None:
        for contender, lease in enumerate(self.leases):
            if lease.fence:
                owner = self.fences.setdefault(lease.fence, contender)
                assert owner == contender

    @invariant()
    def fences_accepted_by_the_side_never_decrease(self) -> None:
        fences = [fence for fence, _ in self.side.accepted]
        assert fences == sorted(fences)


LeaseMachine.TestCase.settings = run_settings(150, stateful_step_count=60)
TestLeases = LeaseMachine.TestCase
