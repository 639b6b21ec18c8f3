"""What the configuration in force allows a request, from arrival to its last send."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cornelpin.gateway.rejected import Rejected

if TYPE_CHECKING:
    from cornelpin.gateway.state import GatewayState
    from cornelpin.platform import RequestInfo
    from cornelpin.scheduling.routing import Route, Workspace

NO_CONFIG_RETRY_S = 0.5
"""Retry-After for requests that reach an entry without a configuration."""
STOPPING_RETRY_S = 0.05
"""Retry-After for requests that reach a stopping entry: others accept them at once."""
UNCONFIRMED_RETRY_S = 0.25
"""Retry-After for requests that an old configuration denies: another entry may know a
later one."""


@attrs.frozen
class Grant:
    """Permission of a request under one version of the configuration.

    Attributes:
        version: The version.
        route: The request's route.
        workspace: The caller's workspace; None if there is none.
        data_centres: Data centres in which the request may run; None for all.
    """

    version: int
    route: Route
    workspace: Workspace | None
    data_centres: frozenset[str] | None

    @property
    def rank(self) -> tuple[int, int]:
        """Priority of the workspace and of the route; zero is the highest.

        A lower workspace priority reduces the value of its requests
        (``Valuation.rank_weight``); having none does not.
        """
        workspace = self.workspace
        of_workspace = workspace.priority or 0 if workspace is not None else 0
        return of_workspace, self.route.priority

    def allows_as(self, other: Grant) -> bool:
        """Returns whether another grant gives the same permission."""
        return attrs.evolve(self, version=other.version) == other


class Authorization:
    """Decides by the configuration in force whether a request may run, and where."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def admit(self, info: RequestInfo, path: str) -> Grant:
        """Returns the grant of a request that has arrived.

        A denial is as good as the knowledge behind it: before one by a configuration
        that is not known to be current, the store is asked.

        Raises:
            Rejected: If the entry can't serve the request, or the caller may not use
                the route.
        """
        if self._state.config is None:
            raise Rejected(503, "no configuration yet", NO_CONFIG_RETRY_S)
        if self._state.refusing:
            raise Rejected(503, "this entry stops", STOPPING_RETRY_S)
        if not info.request_id:
            raise Rejected(400, "no request id")
        try:
            return self.grant(info, path)
        except Rejected as exc:
            if not await self._state.confirm_config():
                raise Rejected(
                    503,
                    f"{exc.reason} in a configuration that may be old",
                    UNCONFIRMED_RETRY_S,
                ) from None
        return self.grant(info, path)

    def grant(self, info: RequestInfo, path: str) -> Grant:
        """Returns the grant of a request by the configuration in force.

        Raises:
            Rejected: If there is no route, or the caller may not use it.
        """
        cfg = self._state.config
        assert cfg is not None
        route = cfg.route(info.host, path)
        if route is None:
            raise Rejected(404, "no route")
        workspace = cfg.workspace(info.key)
        if workspace is None and cfg.workspaces and not route.anonymous:
            raise Rejected(401, "unknown key")
        return Grant(
            cfg.version, route, workspace, self._data_centres(route, workspace)
        )

    def _data_centres(
        self, route: Route, workspace: Workspace | None
    ) -> frozenset[str] | None:
        """Returns the data centres in which a request may run; None for all.

        Where the route and the workspace both name regions, both bind.
        """
        named = [route.regions, workspace.regions if workspace else frozenset()]
        bounds = [regions for regions in named if regions]
        if not bounds:
            return None
        return frozenset(
            data_centre
            for data_centre, region in self._state.settings.regions.items()
            if all(region in regions for regions in bounds)
        )
