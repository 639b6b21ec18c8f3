"""Rules that inject faults of the object store into a state machine."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from cornelpin.stores.memory_objects import MemoryObjectStore


class StoreFaults(RuleBasedStateMachine):
    """Base of state machines whose store has outages and loses writes or answers."""

    store: MemoryObjectStore

    @rule(outage=st.booleans())
    def set_outage(self, outage: bool) -> None:
        self.store.outage = outage

    @rule()
    def lose_answer(self) -> None:
        self.store.lose_answers = 1

    @rule()
    def lose_write(self) -> None:
        self.store.lose_writes = 1
