"""Speed estimate of each backend server, merged over all entries.

Servers of one service differ in speed by a factor of several and may turn slow at any
time, which balancing by request counts alone does not detect. In a large fleet an entry
sends to a given server only every few seconds, so the entries exchange estimates.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

PRIOR_S_PER_TOKEN = 1.1e-5
"""Initial prefill time, seconds per prompt token: low, so that a server without samples
is expected to be fast and is tried."""
PRIOR_GAP_S = 0.025
"""Initial gap between two events of a stream, seconds."""
PRIOR_RESPONSE_S = 0.05
"""Initial time of a response that is not streamed, seconds."""
FIXED_TOKENS = 1_500
"""Fixed cost of a first event in prompt tokens. At the initial speed it is about 15 ms,
for the set-up of the request and the first engine steps."""
SAMPLE_HALF_LIFE_S = 4.0
"""Half-life of the weight of an entry's samples, so that a server that turns slow or
recovers is noticed within seconds."""
OWN_WEIGHT = 0.03
"""Constant weight, in samples, with which the own estimate counts in addition to its
decayed weight. It keeps the sum of weights above zero. Once the weights of peers'
estimates have decayed below it, which takes half a minute for a weight of 5, the own
estimate prevails."""
DECAY = 0.9
"""Weight of the old value in the moving averages of prefill and response times."""
LATE_EVENT_DECAY = 0.995
"""Weight of the old value in the share of late events, averaged over a few streams."""
GAP_DECAY = 0.97
"""Weight of the old value in the mean gap between events, dozens of which are in a
stream."""


@attrs.define
class SpeedEstimate:
    """Speed estimates of one backend server at one entry.

    Attributes:
        s_per_token: Time to a first event per prompt token prefilled before it,
            ``FIXED_TOKENS`` included, seconds.
        gap_s: Mean gap between two events of a stream, seconds.
        response_s: Mean time of a response that is not streamed, seconds.
        late_event_share: Share of events after a gap longer than the route's objective,
            0 to 1.
        samples: Number of recorded first events and responses not streamed.
        recent: Decayed number of samples at ``recent_at``.
        recent_at: Monotonic time of the last sample.
    """

    s_per_token: float = PRIOR_S_PER_TOKEN
    gap_s: float = PRIOR_GAP_S
    response_s: float = PRIOR_RESPONSE_S
    late_event_share: float = 0.0
    samples: int = 0
    recent: float = 0.0
    recent_at: float = 0.0

    def record_first_event(
        self, tokens_ahead: int, took_s: float, now: float = 0.0
    ) -> None:
        """Records the time to a first event.

        Args:
            tokens_ahead: Prompt tokens prefilled before the event, those of the request
                included.
            took_s: Time from the send to the event, seconds.
            now: Monotonic time in seconds.
        """
        sample = took_s / (tokens_ahead + FIXED_TOKENS)
        self.s_per_token = self._blend(self.s_per_token, sample, DECAY)
        self._count(now)

    def record_gap(self, took_s: float, max_gap_s: float | None = None) -> None:
        """Records the gap between two events.

        Args:
            took_s: The gap in seconds.
            max_gap_s: Gap above which the second event is late; None if there is no
                objective.
        """
        self.gap_s = self._blend(self.gap_s, took_s, GAP_DECAY)
        late = max_gap_s is not None and took_s > max_gap_s
        self.late_event_share = (
            LATE_EVENT_DECAY * self.late_event_share + (1 - LATE_EVENT_DECAY) * late
        )

    def record_response(self, took_s: float, now: float = 0.0) -> None:
        """Records the time of a complete response that is not streamed."""
        self.response_s = self._blend(self.response_s, took_s, DECAY)
        self._count(now)

    def weight(self, now: float) -> float:
        """Returns the decayed number of samples behind these estimates."""
        return self.recent * 0.5 ** (
            max(0.0, now - self.recent_at) / SAMPLE_HALF_LIFE_S
        )

    def export(self, now: float) -> list[float]:
        """Returns the weight and the weighted estimates, which peers can sum."""
        weight = self.weight(now)
        estimates = (
            1.0,
            self.s_per_token,
            self.gap_s,
            self.response_s,
            self.late_event_share,
        )
        return [weight * estimate for estimate in estimates]

    def merged_with(
        self, peers: Iterable[Sequence[float]], now: float
    ) -> SpeedEstimate:
        """Returns the weighted mean of the estimates of this entry and its peers.

        Args:
            peers: Weighted estimates exported by other entries.
            now: Monotonic time in seconds.
        """
        own = self.export(now)
        own_floor = attrs.evolve(self, recent=OWN_WEIGHT, recent_at=now).export(now)
        sums = [sum(column) for column in zip(own, own_floor, *peers, strict=True)]
        weight, s_per_token, gap_s, response_s, late_event_share = sums
        return SpeedEstimate(
            s_per_token=s_per_token / weight,
            gap_s=gap_s / weight,
            response_s=response_s / weight,
            late_event_share=min(1.0, late_event_share / weight),
            samples=self.samples,
        )

    def _count(self, now: float) -> None:
        self.samples += 1
        self.recent = self.weight(now) + 1.0
        self.recent_at = now

    def expected_first_s(self, tokens_ahead: int) -> float:
        """Returns the expected time to a first event, seconds."""
        return (tokens_ahead + FIXED_TOKENS) * self.s_per_token

    def late_event_risk(self, events: float) -> float:
        """Returns the probability that at least one of some events is late."""
        return 1.0 - (1.0 - self.late_event_share) ** events

    def _blend(self, old: float, sample: float, decay: float) -> float:
        """Returns the new moving average.

        The first prefill and response times are averaged with equal weights. Gaps use
        the constant decay from the first on, because ``samples`` does not count them.
        """
        # Prefill and response times have ``DECAY``, gaps have ``GAP_DECAY``.
        if self.samples < 1 / (1 - decay) and decay == DECAY:
            decay = self.samples / (self.samples + 1)
        return decay * old + (1 - decay) * sample
