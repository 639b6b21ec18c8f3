"""Revisions of an object store that may be restored from an older copy.

A restored store gives revisions out again, so that a revision alone no longer tells
which of two states is newer. The store's era, which rises with each restore, does.
"""

from __future__ import annotations

from typing import Any

import attrs


class FormerEra(Exception):
    """A response is from an era of the store that has ended."""


@attrs.frozen(order=True)
class Revision:
    """A revision of the store in one of its eras; later ones are greater.

    Attributes:
        era: Number of the era; zero if the store names none.
        number: Revision as the store counts it; below zero before the first listing.
    """

    era: int = 0
    number: int = -1

    def export(self) -> list[int]:
        """Returns the form for messages."""
        return [self.era, self.number]

    @classmethod
    def decode(cls, received: Any) -> Revision:
        """Returns the revision of a message, the lowest one if it is malformed.

        A plain number, as earlier builds send it, is of era zero.
        """
        match received:
            case int():
                return cls(0, received)
            case [int() as era, int() as number]:
                return cls(era, number)
        return NO_REVISION


NO_REVISION = Revision()
"""Revision of a state that was never read from the store."""


class EraTracker:
    """Checks the era of each response of a store.

    Attributes:
        era: Latest era seen; zero before a response names one.
    """

    def __init__(self) -> None:
        self.era = 0

    def observe(self, era: int | None) -> bool:
        """Records the era of a response; returns whether it is a new one.

        Args:
            era: The era; None if the response names none.

        Raises:
            FormerEra: If the response is from a former era, or names no era although
                others have.
        """
        if era is None:
            if self.era:
                raise FormerEra(f"no era in a response, expected {self.era}")
            return False
        if era < self.era:
            raise FormerEra(f"response of era {era}, expected {self.era} or later")
        new = era > self.era
        self.era = era
        return new
