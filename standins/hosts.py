"""A stand-in of the host list service: ``python -m standins.hosts``.

Readers see changes after a configurable delay.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterable

import attrs

from standins._http import (
    Request,
    Response,
    Router,
    argument_parser,
    json_response,
    problem,
    serve,
)

STATES = ("live", "leaving")
MODES = ("ok", "outage")


@attrs.frozen
class Host:
    """One host of the list.

    Attributes:
        host: Name of the host.
        address: IP address of the host.
        data_centre: Data centre of the host.
        state: ``live``, or ``leaving`` while the host is draining.
    """

    host: str
    address: str
    data_centre: str
    state: str = attrs.field(default="live", validator=attrs.validators.in_(STATES))


class HostList:
    """The hosts, with enough history to serve reads that lag behind.

    Args:
        lag_s: Age of the state that readers see, in seconds.
        clock: Returns the monotonic time in seconds.
        hosts: The initial hosts.
    """

    def __init__(
        self,
        lag_s: float,
        clock: Callable[[], float] = time.monotonic,
        hosts: Iterable[Host] = (),
    ) -> None:
        self._lag_s = lag_s
        self._clock = clock
        self._lock = threading.Lock()
        self._current = {host.host: host for host in hosts}
        self._history: list[tuple[float, dict[str, Host]]] = [(clock(), self._current)]

    def put(self, host: Host) -> None:
        """Adds or replaces a host."""
        with self._lock:
            self._record({**self._current, host.host: host})

    def delete(self, name: str) -> bool:
        """Removes a host; returns False if it does not exist."""
        with self._lock:
            if name not in self._current:
                return False
            remaining = {
                key: host for key, host in self._current.items() if key != name
            }
            self._record(remaining)
            return True

    def read(self) -> list[Host]:
        """Returns the hosts as they were ``lag_s`` ago, sorted by name."""
        until_s = self._clock() - self._lag_s
        with self._lock:
            while len(self._history) > 1 and self._history[1][0] <= until_s:
                del self._history[0]
            hosts = self._history[0][1]
        return [hosts[name] for name in sorted(hosts)]

    def _record(self, hosts: dict[str, Host]) -> None:
        self._current = hosts
        self._history.append((self._clock(), hosts))


class HostApi:
    """The HTTP API of the host list, with an outage fault."""

    def __init__(self, hosts: HostList) -> None:
        self._hosts = hosts
        self._mode = "ok"

    def router(self) -> Router:
        """Returns the routes of the host list."""
        router = Router()
        router.add("GET", "/hosts", self._list)
        router.add("PUT", "/hosts/([^/]+)", self._put)
        router.add("DELETE", "/hosts/([^/]+)", self._delete)
        router.add("POST", "/faults", self._set_faults)
        return router

    def _list(self, request: Request) -> Response:
        # Only reads fail in an outage, so that a test can still change the list.
        if self._mode == "outage":
            return problem(503, "outage")
        return json_response([attrs.asdict(host) for host in self._hosts.read()])

    def _put(self, request: Request, name: str) -> Response:
        host = Host(**{**request.json(), "host": name})
        self._hosts.put(host)
        return json_response(attrs.asdict(host))

    def _delete(self, request: Request, name: str) -> Response:
        if not self._hosts.delete(name):
            return problem(404, f"no host {name}")
        return json_response({})

    def _set_faults(self, request: Request) -> Response:
        mode = request.json().get("mode", "ok")
        if mode not in MODES:
            return problem(400, f"mode is one of {MODES}")
        self._mode = mode
        return json_response({"mode": mode})


def main() -> None:
    """Serves the host list until SIGTERM."""
    parser = argument_parser("A stand-in of the host list.")
    parser.add_argument("--lag-s", type=float, default=0.0)
    parser.add_argument("--hosts", default="[]", help="initial hosts as a JSON list")
    arguments = parser.parse_args()
    hosts = [Host(**values) for values in json.loads(arguments.hosts)]
    api = HostApi(HostList(arguments.lag_s, hosts=hosts))
    serve(api.router(), arguments.address, arguments.port)


if __name__ == "__main__":
    main()
