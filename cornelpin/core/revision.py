"""Revisions of an object store that may be restored from an older copy.

A restored store gives revisions out again, so that a revision alone no longer tells
which of two states is newer. The store's era, which rises with each restore, does.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

ERA_SUFFIX = ".era"
"""Suffix of the name under which messages carry the era of a revision. The revision
itself stays a plain number, as entries of earlier builds expect it."""


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

    def export(self, name: str) -> dict[str, int]:
        """Returns the fields of a message that carry it under a name."""
        fields = {name: self.number}
        return fields | {name + ERA_SUFFIX: self.era} if self.era else fields

    @classmethod
    def decode(cls, fields: Mapping[str, Any], name: str) -> Revision:
        """Returns the revision that ``export`` put in a message.

        It is the lowest one if the message has none or it is malformed.
        """
        era, number = fields.get(name + ERA_SUFFIX, 0), fields.get(name)
        if isinstance(era, int) and isinstance(number, int):
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
