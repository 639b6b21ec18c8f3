"""Interface of the host list and its driver over HTTP."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass

from attrs import frozen

from cornelpin.stores.http_client import DEFAULT_TIMEOUT_S, HttpClient, Response
from cornelpin.stores.objects import Unavailable
from cornelpin.stores.registry import host_list

LIVE = "live"
LEAVING = "leaving"


@frozen
class ListedHost:
    """A host of the host list."""

    host: str
    address: str
    data_centre: str
    state: str

    @property
    def draining(self) -> bool:
        """Whether the host is leaving."""
        return self.state == LEAVING


@dataclass(frozen=True)
class Hosts:
    """All hosts as the host list has them, which may lag."""

    hosts: tuple[ListedHost, ...]


class HostList(ABC):
    """The platform's list of live and leaving hosts."""

    @abstractmethod
    def hosts(self) -> Hosts | Unavailable:
        """Reads the list."""


@host_list("http")
class HttpHostList(HostList):
    """Host list over HTTP."""

    def __init__(self, *, url: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self._http = HttpClient(url, timeout_s=timeout_s)

    def hosts(self) -> Hosts | Unavailable:
        """Reads the list."""
        resp = self._http.call("GET", "/hosts")
        if not isinstance(resp, Response):
            return Unavailable(resp.reason)
        if resp.status != 200:
            return Unavailable(f"status {resp.status}")
        try:
            return Hosts(tuple(_host(entry) for entry in json.loads(resp.body)))
        except (ValueError, TypeError, KeyError) as exc:
            return Unavailable(f"malformed host list: {exc!r}")


def _host(entry: dict[str, str]) -> ListedHost:
    if entry["state"] not in (LIVE, LEAVING):
        raise ValueError(f"state {entry['state']!r} is not {LIVE} or {LEAVING}")
    return ListedHost(
        entry["host"], entry["address"], entry["data_centre"], entry["state"]
    )
