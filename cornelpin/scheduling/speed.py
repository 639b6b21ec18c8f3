"""Learned speed of each backend server.

Load pattern: servers of one service differ several times in speed, and one may turn
slow at any time; a rule that counts requests alone sends each the same. In a large
fleet an entry meets a server once in seconds, so all entries tell what they learn.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

PRIOR_S_PER_TOKEN = 1.1e-5
"""Prompt reading time before anything is learned, s a token; any small figure does, as
servers are only compared."""
PRIOR_GAP_S = 0.025
"""Pause between two events before anything is learned, s."""
PRIOR_ANSWER_S = 0.05
"""Answer time of a plain service before anything is learned, s."""
FIXED_TOKENS = 1_500
"""Fixed cost of a first token in prompt tokens: about 15 ms of set-up and first steps
at the prior's speed."""
RECENT_S = 4.0
"""Half-life of the weight of what an entry learned, so that a server that turns slow or
well again shows within seconds."""
OWN_WEIGHT = 0.03
"""Weight of an entry's own estimate before it has met a server, in answers: what was
learned is given up after half a minute without any."""
MEMORY = 0.9
"""Part of the old estimate that one sample leaves."""
PAUSE_MEMORY = 0.995
"""The same for the part of events that come late: a few streams."""
GAP_MEMORY = 0.97
"""The same for event pauses, of which there are dozens a request."""


@attrs.define
class SpeedEstimate:
    """Estimates of one backend server.

    Attributes:
        s_per_token: Seconds of prompt reading for each token ahead of a first token.
        gap_s: Usual pause between two events of a stream.
        answer_s: Usual time of a plain answer.
        pause_share: Part of the events that come after too long a pause.
        samples: First tokens and answers seen.
        recent: Those of late, as of the last one.
        recent_at: Monotonic time of the last one.
    """

    s_per_token: float = PRIOR_S_PER_TOKEN
    gap_s: float = PRIOR_GAP_S
    answer_s: float = PRIOR_ANSWER_S
    pause_share: float = 0.0
    samples: int = 0
    recent: float = 0.0
    recent_at: float = 0.0

    def record_first_event(
        self, tokens_ahead: int, took_s: float, now: float = 0.0
    ) -> None:
        """Takes the time to a first event.

        Args:
            tokens_ahead: Prompt tokens that were to be read, its own included.
            took_s: Seconds from the send.
            now: Monotonic time in seconds.
        """
        sample = took_s / (tokens_ahead + FIXED_TOKENS)
        self.s_per_token = self._blend(self.s_per_token, sample, MEMORY)
        self._count(now)

    def record_gap(self, took_s: float, longest_s: float | None = None) -> None:
        """Takes the pause between two events.

        Args:
            took_s: The pause in seconds.
            longest_s: Longest one that is still on time; None if there is no bound.
        """
        self.gap_s = self._blend(self.gap_s, took_s, GAP_MEMORY)
        late = longest_s is not None and took_s > longest_s
        self.pause_share = PAUSE_MEMORY * self.pause_share + (1 - PAUSE_MEMORY) * late

    def record_response(self, took_s: float, now: float = 0.0) -> None:
        """Takes the time of a whole plain answer."""
        self.answer_s = self._blend(self.answer_s, took_s, MEMORY)
        self._count(now)

    def weight(self, now: float) -> float:
        """Returns how many answers of late these estimates stand for."""
        return self.recent * 0.5 ** (max(0.0, now - self.recent_at) / RECENT_S)

    def export(self, now: float) -> list[float]:
        """Returns weighted estimates, which can be added to those of other entries."""
        weight = self.weight(now)
        estimates = (1.0, self.s_per_token, self.gap_s, self.answer_s, self.pause_share)
        return [weight * estimate for estimate in estimates]

    def merged_with(
        self, others: Iterable[Sequence[float]], now: float
    ) -> SpeedEstimate:
        """Returns the estimates of this entry and others together.

        Args:
            others: Weighted estimates that they told.
            now: Monotonic time in seconds.
        """
        own = self.export(now)
        spare = attrs.evolve(self, recent=OWN_WEIGHT, recent_at=now).export(now)
        sums = [sum(column) for column in zip(own, spare, *others, strict=True)]
        weight, s_per_token, gap_s, answer_s, pause_share = sums
        return SpeedEstimate(
            s_per_token=s_per_token / weight,
            gap_s=gap_s / weight,
            answer_s=answer_s / weight,
            pause_share=min(1.0, pause_share / weight),
            samples=self.samples,
        )

    def _count(self, now: float) -> None:
        self.samples += 1
        self.recent = self.weight(now) + 1.0
        self.recent_at = now

    def expected_first_s(self, tokens_ahead: int) -> float:
        """Returns the expected time to a first event."""
        return (tokens_ahead + FIXED_TOKENS) * self.s_per_token

    def pause_risk(self, events: float) -> float:
        """Returns the chance that one of some events comes after too long a pause."""
        return 1.0 - (1.0 - self.pause_share) ** events

    def _blend(self, old: float, sample: float, memory: float) -> float:
        if self.samples < 1 / (1 - memory) and memory == MEMORY:
            memory = self.samples / (self.samples + 1)
        return memory * old + (1 - memory) * sample
