"""State received from one other entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.core.revision import Revision

if TYPE_CHECKING:
    from collections.abc import Mapping


@attrs.frozen
class StoreReport:
    """What an entry tells the others of its copies of the store's objects.

    Both parts are of the same moment: a copy that is up to a revision shows that it was
    current at the store's last response only together with that revision.

    Attributes:
        ages: Seconds since the store's last response, by kind. Kinds for which the last
            call failed are left out.
        revisions: Revision of the last change, by kind (``Revision.export``).
    """

    ages: dict[str, float]
    revisions: dict[str, int]


@attrs.define
class Peer:
    """Another entry, with the state last received from it.

    Attributes:
        ip: IP address of its host.
        data_centre: Data centre of its host.
        incarnation: Random id of its process.
        link_mbps: Bandwidth of its host's link, Mbit/s.
        heard_since: Monotonic time of its first message.
        sequence: Sequence number of its last message.
        received_at: Monotonic time of its last message.
        in_flight: Its requests in flight and their prompt tokens not yet processed, by
            server id.
        queue_scores: Scores of its queued requests by service, ascending; the highest
            is served first (``RequestQueue.score``).
        revisions: Revisions of the store's objects that it has in force, by kind, as
            received (``Revision.export``).
        store_seen_at: Monotonic time of the store's last response to it, by kind;
            without the kinds for which its last call failed.
        used: Quota amounts used since its start, by workspace.
        rollouts: Its view of running roll-out orders as of ``Rollouts.export``, by
            service.
        class_counts: Its counts of offered and served requests, by service and request
            class (``scheduling.request_classes``).
        speeds: Its estimates of server speeds as of ``SpeedEstimate.export``, by server
            id.
    """

    ip: str
    data_centre: str
    incarnation: str
    link_mbps: float = 0.0
    heard_since: float = 0.0
    sequence: int = -1
    received_at: float = 0.0
    in_flight: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    queue_scores: dict[str, list[float]] = attrs.field(factory=dict)
    revisions: dict[str, Any] = attrs.field(factory=dict)
    store_seen_at: dict[str, float] = attrs.field(factory=dict)
    used: dict[str, int] = attrs.field(factory=dict)
    rollouts: dict[str, list[Any]] = attrs.field(factory=dict)
    class_counts: dict[str, dict[str, list[float]]] = attrs.field(factory=dict)
    speeds: dict[str, list[float]] = attrs.field(factory=dict)

    def record_store(
        self, ages: Mapping[str, float], revisions: Mapping[str, int], now: float
    ) -> None:
        """Records its store report, as received."""
        self.revisions.update(revisions)
        self.store_seen_at = {
            kind: max(self.store_seen_at.get(kind, 0.0), now - age_s)
            for kind, age_s in ages.items()
        }

    def revision(self, kind: str) -> Revision:
        """Returns the revision that it has of a kind."""
        return Revision.decode(self.revisions, kind)
