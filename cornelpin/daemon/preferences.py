"""Ranks an entry's links for a request by speed, load and prefix affinity.

Some requests go to a server that was long unused, so that it is measured again.
"""

from __future__ import annotations

import itertools
import random
import time
from typing import TYPE_CHECKING

from cornelpin.core.affinity import PrefixTable, preferred_servers
from cornelpin.core.ranking import BYTES_PER_TOKEN, ServerEstimate, Work, rank

if TYPE_CHECKING:
    from cornelpin.core.tickets import Request
    from cornelpin.daemon.links import Link


# One request in this many goes to the link whose last grant is the oldest, so that a
# server that was slow or has recovered is measured again.
EXPLORE_EVERY_REQUESTS = 8
# A request first waits for the servers that hold its prefix, then for one more, and
# after these steps for any. A step is a share of its maximum wait, up to a limit.
AFFINITY_WAIT_SHARE = 0.25
MAX_AFFINITY_WAIT_S = 4.0
AFFINITY_WAIT_STEPS = 2
# A server counts as a holder if it holds at least this share of the longest prefix
# that any server holds.
MIN_HOLDER_SHARE = 0.5
# Durable requests are long: on a slow server they lose more time than a cached prefix
# saves. They wait only for servers whose time per token is at most this multiple of
# the fastest server's.
DURABLE_MAX_SLOWDOWN = 1.75


def affinity_wait_s(max_wait_s: float) -> float:
    """Returns the length of one step of the wait for holders, in seconds."""
    return min(AFFINITY_WAIT_SHARE * max_wait_s, MAX_AFFINITY_WAIT_S)


class Preferences:
    """Ranks links for requests, based on announced state and on earlier grants.

    Attributes:
        prefixes: The prefixes that each server should have cached.
        to_explore: Link that gets the next request once it is idle, or None.
    """

    def __init__(self) -> None:
        self.prefixes = PrefixTable()
        self._choices = itertools.count(1)
        self._granted_at: dict[str, float] = {}
        self.to_explore: Link | None = None

    def record_grant(self, req: Request, link: Link) -> None:
        """Records that a request was granted to a link."""
        self.prefixes.note(req.prefix, link.name)
        self._granted_at[link.name] = time.monotonic()

    def choose_idle(self, req: Request, idle: list[Link], usable: list[Link]) -> Link:
        """Returns the idle link to grant to; at intervals, the one unused for longest.

        The state of a server without work is often too old to show it as idle, as it
        is pinged rarely. The dispatcher pings ``to_explore`` often until its state is
        known to be idle; it then gets the next request.

        Args:
            req: The request.
            idle: Links known to have a free slot.
            usable: Links that the request may go to, the idle ones among them.
        """
        if next(self._choices) % EXPLORE_EVERY_REQUESTS == 0:
            explorable = [link for link in usable if link in idle or not link.fresh]
            self.to_explore = min(explorable, key=self._last_granted)
        to_explore = self.to_explore
        if to_explore is None or to_explore not in idle:
            return self.rank_links(req, idle)[0]
        self.to_explore = None
        return to_explore

    def _last_granted(self, link: Link) -> float:
        return self._granted_at.get(link.name, 0.0)

    def prefix_holders(
        self, req: Request, links: list[Link], *, more: int = 0
    ) -> list[Link]:
        """Returns the links whose servers should have the prefix of a request cached.

        For a prefix unknown to this entry it is the first in the rendezvous hashing
        order, which is the same at all entries; without a prefix there is none.

        Args:
            req: The request.
            links: Links to choose from.
            more: Number of further servers to return, in rendezvous hashing order;
                they would have to compute the prefix again.
        """
        if not req.prefix:
            return []
        if req.durable:
            links = _without_slow(links)
        by_name = {link.name: link for link in links if link.is_responsive}
        known = self.prefixes.cached_bytes(req.prefix)
        held = {name: known[name] for name in known if name in by_name}
        enough = MIN_HOLDER_SHARE * max(held.values(), default=0)
        names = [name for name in held if held[name] >= enough]
        more += not names  # One more if no server holds the prefix.
        if more:
            preferred = [n for n in _preferred_names(req, links) if n in by_name]
            names += [n for n in preferred if n not in names][:more]
        return [by_name[name] for name in names]

    def rank_links(self, req: Request, links: list[Link]) -> list[Link]:
        """Returns the links, ordered by the estimated end of the request."""
        held = self.prefixes.cached_bytes(req.prefix)
        # No server is known to have the prefix: the preferred one counts as having the
        # whole prompt, so that all entries send requests with this prefix to it.
        if req.prefix and not held:
            held = dict.fromkeys(_preferred_names(req, links)[:1], req.prompt_bytes)
        prompt_tokens = req.prompt_bytes // BYTES_PER_TOKEN
        work = Work(req.prompt_bytes, max(1, req.cost - prompt_tokens))
        by_name = {link.name: link for link in links}
        # The order is random among equal estimates: entries would otherwise all send
        # to the same server.
        names = random.sample(list(by_name), len(by_name))
        estimates = [_estimate(by_name[name]) for name in names]
        return [by_name[name] for name in rank(estimates, work, held)]


def _estimate(link: Link) -> ServerEstimate:
    state = link.state
    if state is None:
        return ServerEstimate(link.name, 0.0, float("inf"))
    busy = state.waiting + state.slots - state.free + link.direct_grants
    return ServerEstimate(link.name, state.token_s, busy / max(1, state.slots))


def _without_slow(links: list[Link]) -> list[Link]:
    """Returns the links without those of servers much slower than the fastest."""
    token_s = {
        link.name: link.state.token_s for link in links if link.state is not None
    }
    fastest_s = min((s for s in token_s.values() if s), default=0.0)
    limit_s = fastest_s * DURABLE_MAX_SLOWDOWN
    return [link for link in links if token_s.get(link.name, 0.0) <= limit_s]


def _preferred_names(req: Request, links: list[Link]) -> list[str]:
    """Returns the names of the links in rendezvous hashing order of the prefix."""
    return preferred_servers(req.prefix, {link.name: _capacity(link) for link in links})


def _capacity(link: Link) -> float:
    """Returns the number of slots as last announced, 1 if unknown."""
    return link.state.slots if link.state is not None else 1
