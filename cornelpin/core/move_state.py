"""State of the moves, as stored and distributed to all processes."""

from __future__ import annotations

import enum
import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import attrs


class MoveState(enum.Enum):
    """Phase of one move."""

    PLANNED = "planned"
    LOADING = "loading"
    RUNNING = "running"
    PAUSED = "paused"
    DONE = "done"
    TAKEN_BACK = "taken_back"
    LATE = "late"

    @property
    def final(self) -> bool:
        """Whether the move has ended.

        A late move has not: it keeps its share until an operator extends its deadline
        or ends it, or the new version proves bad.
        """
        return self in (MoveState.DONE, MoveState.TAKEN_BACK)


@attrs.frozen
class MoveRecord:
    """State of one attempt of a move.

    Attributes:
        name: Name of the move.
        route: Name of the route.
        from_version: Version before the move.
        to_version: Version after the move.
        attempt: Random id of this attempt. A new attempt begins when an operator adds
            the move or changes its route or versions; canary analysis and emergency
            stops apply to one attempt.
        state: State of the move.
        stage: Index of the current stage, -1 before the first.
        share: Share of the route's requests for the new version.
        reason: Why the move is in its state, for operators.
    """

    name: str
    route: str
    from_version: str
    to_version: str
    attempt: str
    state: MoveState = MoveState.PLANNED
    stage: int = -1
    share: float = 0.0
    reason: str = ""

    @property
    def splits(self) -> bool:
        """Whether the route's requests are split between the versions by share."""
        return self.share > 0 and not self.state.final


def _no_records() -> Mapping[str, MoveRecord]:
    return MappingProxyType({})


@attrs.frozen
class MoveBook:
    """The state of all moves, as stored and distributed, with a sequence number.

    Attributes:
        number: Sequence number, which increases with each write.
        fence: Fencing token of the controller that wrote it.
        records: Records by move name.
    """

    number: int = 0
    fence: int = 0
    records: Mapping[str, MoveRecord] = attrs.field(factory=_no_records)

    def encode(self) -> bytes:
        """Encodes the state for the store."""
        rows = [
            {**attrs.asdict(record), "state": record.state.value}
            for record in self.records.values()
        ]
        document = {"number": self.number, "fence": self.fence, "moves": rows}
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> MoveBook:
        """Decodes the state from the store.

        Raises:
            ValueError: If the value is malformed.
        """
        try:
            document = json.loads(value)
            records = [_record(row) for row in document["moves"]]
            return cls(
                int(document["number"]),
                int(document["fence"]),
                {record.name: record for record in records},
            )
        except (KeyError, TypeError) as exc:
            raise ValueError(f"malformed move state: {exc!r}") from exc


def _record(row: dict[str, Any]) -> MoveRecord:
    return MoveRecord(**{**row, "state": MoveState(row["state"])})
