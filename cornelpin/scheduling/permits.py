"""Permits to send to servers with limits.

One entry issues the permits of a server to all entries, so that their requests together
stay within its limit even where that is far below one request per entry and second. An
entry asks for a permit when it has a request for the server, and the issuer keeps those
that it can't serve at once in order of their scores.
"""

from __future__ import annotations

import math
import random
from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.scheduling.server_limits import Incarnation

BURST_S = 0.2
"""Time in which permits accumulate beyond one: several ticks of the issuer, and the
time that a permit takes to come back unused. What accumulates later is lost."""
REQUEST_TTL_S = 1.0
"""Time for which an issuer keeps a request for permits: its jobs have been served or
refused by then, or the entry asks again."""
REPLY_TIMEOUT_S = 0.1
"""Time after which a request for permits without a reply counts as lost: many round
trips, and little of what a request may wait."""
ISSUER_SILENCE_S = 0.5
"""Time without a reply after which an entry uses its own share of a limit."""
SPARE_PERMIT_TTL_S = 0.3
"""Time for which an entry holds a permit that it has asked for without a request: about
the time until its next one."""
PERMIT_TTL_S = 0.03
"""Time for which an entry holds other permits: a dispatch follows at once, and what it
does not use serves another entry."""
RATE_WINDOW_S = 4.0
"""Window of the rate of permits that an issuer reports."""
FIRST_NUMBERS = 2**31
"""Range of the random number of a process's first request: a restarted one must not
repeat those of the process before."""


@attrs.frozen
class PermitRequest:
    """A request for permits.

    Attributes:
        incarnation: The server.
        number: Number of the request at its entry; the same if it is repeated because
            no permits have arrived.
        count: Permits that the entry can use now.
        score: Queue score of its request that would be sent first; zero if none waits.
    """

    incarnation: Incarnation
    number: int
    count: int = 1
    score: float = 0.0


@attrs.frozen
class PermitReply:
    """An issuer's reply; without permits, they may follow in a second one.

    Attributes:
        incarnation: The server.
        number: Number of the request.
        granted: Permits granted.
        wait_s: Expected seconds until a permit is free for the entry; zero if granted.
        rate_per_s: Permits granted per second to all entries recently.
    """

    incarnation: Incarnation
    number: int
    granted: int
    wait_s: float = 0.0
    rate_per_s: float = 0.0


@attrs.define
class _Waiting:
    """A request for permits that waits at the issuer.

    Attributes:
        request: The request.
        until: Monotonic time until which it is kept.
    """

    request: PermitRequest
    until: float


@attrs.define
class _Bucket:
    """Permits of one server that have not been granted yet.

    Attributes:
        level: Number of permits.
        at: Monotonic time as of which the level holds.
        waiting: Waiting requests by entry.
        last_grants: Last grant to each entry, repeated if it was lost.
        granted: Monotonic times of recent grants and their numbers of permits.
    """

    level: float
    at: float
    waiting: dict[str, _Waiting] = attrs.field(factory=dict)
    last_grants: dict[str, PermitReply] = attrs.field(factory=dict)
    granted: deque[tuple[float, int]] = attrs.field(factory=deque)

    def refill(self, rate_per_s: float, now: float) -> None:
        """Adds the permits that have accumulated at a rate."""
        gained = max(0.0, now - self.at) * rate_per_s
        self.level = min(1.0 + BURST_S * rate_per_s, self.level + gained)
        self.at = now

    def rate_per_s(self, now: float) -> float:
        """Returns the permits granted per second in the last window."""
        while self.granted and now - self.granted[0][0] > RATE_WINDOW_S:
            self.granted.popleft()
        return sum(count for _, count in self.granted) / RATE_WINDOW_S


class PermitIssuer:
    """Issues the permits of the servers that are assigned to this entry."""

    def __init__(self) -> None:
        self._buckets: dict[Incarnation, _Bucket] = {}

    def request(
        self,
        entry: str,
        request: PermitRequest,
        rate_per_s: float,
        *,
        since: float,
        now: float,
    ) -> list[tuple[str, PermitReply]]:
        """Handles an entry's request; returns replies with their entries.

        Args:
            entry: The entry that asks.
            request: Its request, which replaces an earlier one.
            rate_per_s: Rate at which permits accumulate.
            since: Monotonic time since which this entry issues the server's permits.
                What others granted before is unknown, so none are left from then.
            now: Monotonic time in seconds.
        """
        bucket = self._buckets.get(request.incarnation)
        if bucket is None:
            bucket = self._buckets[request.incarnation] = _Bucket(0.0, min(since, now))
        last_grant = bucket.last_grants.get(entry)
        if last_grant is not None and last_grant.number == request.number:
            return [(entry, last_grant)]
        bucket.waiting[entry] = _Waiting(request, now + REQUEST_TTL_S)
        replies = self._serve(request.incarnation, bucket, rate_per_s, now)
        if entry in bucket.waiting:
            wait_s = self._wait_s(bucket, request, rate_per_s)
            replies.append(
                (
                    entry,
                    PermitReply(
                        request.incarnation,
                        request.number,
                        0,
                        wait_s,
                        bucket.rate_per_s(now),
                    ),
                )
            )
        return replies

    def replies_due(
        self, now: float, rate_per_s: Callable[[Incarnation], float | None]
    ) -> list[tuple[str, PermitReply]]:
        """Grants accumulated permits to waiting requests; returns the replies.

        Args:
            now: Monotonic time in seconds.
            rate_per_s: Returns the rate at which a server's permits accumulate; None if
                it has no limit, or another entry issues them.
        """
        replies: list[tuple[str, PermitReply]] = []
        for incarnation, bucket in list(self._buckets.items()):
            rate = rate_per_s(incarnation)
            if rate is None:
                del self._buckets[incarnation]
            elif bucket.waiting:
                replies += self._serve(incarnation, bucket, rate, now)
        return replies

    def put_back(self, entry: str, incarnation: Incarnation, count: int) -> None:
        """Takes back permits that an entry did not use, if they were granted here."""
        bucket = self._buckets.get(incarnation)
        if bucket is not None and entry in bucket.last_grants:
            bucket.level += count

    def _serve(
        self, incarnation: Incarnation, bucket: _Bucket, rate_per_s: float, now: float
    ) -> list[tuple[str, PermitReply]]:
        """Grants the permits of a bucket, the highest score first."""
        bucket.refill(rate_per_s, now)
        for entry, waiting in list(bucket.waiting.items()):
            if waiting.until < now:
                del bucket.waiting[entry]
        replies = []
        while bucket.level >= 1.0 and bucket.waiting:
            entry = max(
                bucket.waiting, key=lambda name: bucket.waiting[name].request.score
            )
            request = bucket.waiting.pop(entry).request
            granted = max(1, min(request.count, math.floor(bucket.level)))
            bucket.level -= granted
            bucket.granted.append((now, granted))
            reply = PermitReply(
                incarnation,
                request.number,
                granted,
                rate_per_s=bucket.rate_per_s(now),
            )
            bucket.last_grants[entry] = reply
            replies.append((entry, reply))
        return replies

    def _wait_s(
        self, bucket: _Bucket, request: PermitRequest, rate_per_s: float
    ) -> float:
        """Returns the expected wait of a request for a permit."""
        ahead = sum(
            w.request.count
            for w in bucket.waiting.values()
            if w.request.score > request.score
        )
        return max(0.0, 1.0 + ahead - bucket.level) / rate_per_s


@attrs.define
class _Account:
    """What one entry knows of one server's permits.

    Attributes:
        permits: Monotonic times at which the permits held expire.
        number: Number of the request without a grant; zero if there is none.
        spare: Whether it was sent without a request of a client that waits.
        asked_at: Monotonic time at which it was last sent.
        answered: Whether it got a reply since.
        waits: Whether it waits at the issuer.
        silent_since: Monotonic time of the first request since the issuer's last reply;
            None if none is unanswered.
        share: The entry's own share of the limit, used while the issuer is silent.
        wait_s: Wait as of the last reply, seconds.
        rate_per_s: Rate of all entries as of the last reply.
        replied_at: Monotonic time of the last reply.
    """

    permits: deque[float] = attrs.field(factory=deque)
    number: int = 0
    spare: bool = False
    asked_at: float = float("-inf")
    answered: bool = True
    waits: bool = False
    silent_since: float | None = None
    share: _Bucket | None = None
    wait_s: float = 0.0
    rate_per_s: float = 0.0
    replied_at: float = float("-inf")

    def may_ask(self, now: float) -> bool:
        """Returns whether no earlier request may still be served."""
        if self.waits:
            return now - self.asked_at > REQUEST_TTL_S
        return self.answered or now - self.asked_at > REPLY_TIMEOUT_S


class PermitHolder:
    """Permits that this entry holds, and its requests for more."""

    def __init__(self) -> None:
        self._accounts: dict[Incarnation, _Account] = {}
        self._number = random.randrange(1, FIRST_NUMBERS)

    def available(
        self, incarnation: Incarnation, share_per_s: float, now: float
    ) -> int:
        """Returns the permits that may be used now.

        Args:
            incarnation: The server.
            share_per_s: This entry's own share of the limit, requests per second.
            now: Monotonic time in seconds.
        """
        account = self._accounts.get(incarnation)
        if account is None:
            return 0
        count = sum(until >= now for until in account.permits)
        share = self._share(account, share_per_s, now)
        return count + (math.floor(share.level) if share is not None else 0)

    def _share(
        self, account: _Account, share_per_s: float, now: float
    ) -> _Bucket | None:
        """Returns this entry's own share if the issuer is silent."""
        silent_since = account.silent_since
        if silent_since is None or now - silent_since < ISSUER_SILENCE_S:
            account.share = None
            return None
        if account.share is None:
            account.share = _Bucket(0.0, silent_since + ISSUER_SILENCE_S)
        account.share.refill(share_per_s, now)
        return account.share

    def take(self, incarnation: Incarnation, now: float) -> None:
        """Uses one permit for a send."""
        account = self._accounts[incarnation]
        while account.permits and account.permits[0] < now:
            account.permits.popleft()
        if account.permits:
            account.permits.popleft()
        elif account.share is not None:
            account.share.level -= 1.0

    def may_ask(self, incarnation: Incarnation, now: float) -> bool:
        """Returns whether a request for permits may be sent."""
        account = self._accounts.get(incarnation)
        return account is None or account.may_ask(now)

    def ask(
        self, incarnation: Incarnation, count: int, score: float, now: float
    ) -> PermitRequest:
        """Returns a request for permits, to be sent to the issuer."""
        account = self._accounts.setdefault(incarnation, _Account())
        if not account.number:
            self._number += 1
            account.number = self._number
        account.spare = not score
        account.asked_at = now
        account.answered = account.waits = False
        if account.silent_since is None:
            account.silent_since = now
        return PermitRequest(incarnation, account.number, count, score)

    def receive(self, reply: PermitReply, now: float) -> bool:
        """Handles a reply; returns whether it brought permits."""
        account = self._accounts.get(reply.incarnation)
        if account is None or reply.number != account.number:
            return False
        account.silent_since = None
        account.replied_at = now
        account.wait_s = reply.wait_s
        account.rate_per_s = reply.rate_per_s
        account.answered = True
        account.waits = not reply.granted
        if not reply.granted:
            return False
        account.number = 0
        ttl_s = SPARE_PERMIT_TTL_S if account.spare else PERMIT_TTL_S
        account.permits.extend([now + ttl_s] * reply.granted)
        return True

    def expire(self, now: float) -> list[tuple[Incarnation, int]]:
        """Drops unused permits; returns their numbers, to be given back."""
        unused = []
        for incarnation, account in self._accounts.items():
            count = 0
            while account.permits and account.permits[0] < now:
                account.permits.popleft()
                count += 1
            if count:
                unused.append((incarnation, count))
        return unused

    def known_rate(self, incarnation: Incarnation, now: float) -> tuple[float, float]:
        """Returns the rate of all entries as last reported, and the report's age."""
        account = self._accounts.get(incarnation)
        if account is None:
            return 0.0, math.inf
        return account.rate_per_s, now - account.replied_at

    def forget(self, limited: set[Incarnation]) -> None:
        """Drops what is known of servers that have no limit any more."""
        for incarnation in self._accounts.keys() - limited:
            del self._accounts[incarnation]
