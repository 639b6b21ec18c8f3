"""An entry's preferences among links: unlike speeds, load, prefix affinity."""

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


# One request in this many goes to the link that was granted nothing for longest, so
# that a server that was slow, or came back, is measured anew.
EXPLORE_EVERY_REQUESTS = 8
# How long a request waits for the servers that hold its prefix, and as long again for
# one server more: a share of its longest wait, up to a limit.
AFFINITY_WAIT_SHARE = 0.25
MAX_AFFINITY_WAIT_S = 4.0
AFFINITY_WAIT_STEPS = 2
# A server binds requests if it holds at least this share of the longest known prefix.
MIN_HOLDER_SHARE = 0.5
# Durable requests are long, so that a slow server costs more than a prefix saves. They
# are bound to servers whose tokens take at most this factor of the fastest ones'.
DURABLE_MAX_SLOWDOWN = 1.75


def affinity_wait_s(max_wait_s: float) -> float:
    """Returns the seconds that a request waits for holders of its prefix only."""
    return min(AFFINITY_WAIT_SHARE * max_wait_s, MAX_AFFINITY_WAIT_S)


class Preferences:
    """Orders links for a request and learns from grants."""

    def __init__(self) -> None:
        self.prefixes = PrefixTable()
        self._orders = itertools.count(1)
        self._granted_at: dict[str, float] = {}
        self.explored: Link | None = None

    def record_grant(self, req: Request, link: Link) -> None:
        """Notes that a request was granted to a link."""
        self.prefixes.note(req.prefix, link.name)
        self._granted_at[link.name] = time.monotonic()

    def choose_idle(self, req: Request, idle: list[Link], usable: list[Link]) -> Link:
        """Returns the idle link to grant to; now and then one long unused.

        A server without work is not heard of for a while, and one that is not heard
        of is not known to be idle. It is named in ``explored`` until it was heard of
        and granted a request.

        Args:
            req: The request.
            idle: Links known to have a free slot.
            usable: Links that the request may go to, the idle ones among them.
        """
        if next(self._orders) % EXPLORE_EVERY_REQUESTS == 0:
            open_links = [link for link in usable if link in idle or not link.fresh]
            self.explored = min(open_links, key=self._last_granted)
        explored = self.explored
        if explored is None or explored not in idle:
            return self.rank_links(req, idle)[0]
        self.explored = None
        return explored

    def _last_granted(self, link: Link) -> float:
        return self._granted_at.get(link.name, 0.0)

    def prefix_holders(
        self, req: Request, links: list[Link], *, more: int = 0
    ) -> list[Link]:
        """Returns the links whose servers should hold the prefix of a request.

        For a prefix that this entry has not seen it is the one server on which all
        entries agree; without a prefix there is none.

        Args:
            req: The request.
            links: Links to choose from.
            more: Number of servers that may get a new copy of the prefix; entries
                agree on these, too.
        """
        if not req.prefix:
            return []
        if req.keep:
            links = _fast(links)
        by_name = {link.name: link for link in links if link.is_responsive}
        known = self.prefixes.cached_bytes(req.prefix)
        held = {name: known[name] for name in known if name in by_name}
        enough = MIN_HOLDER_SHARE * max(held.values(), default=0)
        names = [name for name in held if held[name] >= enough]
        more += not names
        if more:
            homes_left = [n for n in _homes(req, links) if n in by_name]
            names += [n for n in homes_left if n not in names][:more]
        return [by_name[name] for name in names]

    def rank_links(self, req: Request, links: list[Link]) -> list[Link]:
        """Returns the links, the one estimated to answer first in front."""
        held = self.prefixes.cached_bytes(req.prefix)
        if req.prefix and not held:
            held = dict.fromkeys(_homes(req, links)[:1], req.prompt_bytes)
        prompt_tokens = req.prompt_bytes // BYTES_PER_TOKEN
        work = Work(req.prompt_bytes, max(1, req.cost - prompt_tokens))
        by_name = {link.name: link for link in links}
        # Equal estimates must not send everybody to the same server.
        names = random.sample(list(by_name), len(by_name))
        standings = [_standing(by_name[name]) for name in names]
        return [by_name[name] for name in rank(standings, work, held)]


def _standing(link: Link) -> ServerEstimate:
    state = link.state
    if state is None:
        return ServerEstimate(link.name, 0.0, float("inf"))
    busy = state.waiting + state.slots - state.free + link.direct
    return ServerEstimate(link.name, state.token_s, busy / max(1, state.slots))


def _fast(links: list[Link]) -> list[Link]:
    """Returns the links to servers that are not measured much slower than others."""
    paces = {link.name: link.state.token_s for link in links if link.state is not None}
    fastest_s = min((pace for pace in paces.values() if pace), default=0.0)
    limit_s = fastest_s * DURABLE_MAX_SLOWDOWN
    return [link for link in links if paces.get(link.name, 0.0) <= limit_s]


def _homes(req: Request, links: list[Link]) -> list[str]:
    """Returns the names of the links in the order of a prefix not seen yet."""
    return preferred_servers(req.prefix, {link.name: _capacity(link) for link in links})


def _capacity(link: Link) -> float:
    return link.state.slots if link.state is not None else 1
