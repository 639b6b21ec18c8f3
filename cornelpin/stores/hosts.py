"""Interface of the host list, and its HTTP driver."""

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

    name: str
    address: str
    data_centre: str
    state: str

    @property
    def draining(self) -> bool:
        """Whether the host is draining (listed as leaving)."""
        return self.state == LEAVING


@dataclass(frozen=True)
class Hosts:
    """One reading of the host list, which may lag behind the platform."""

    hosts: tuple[ListedHost, ...]


class HostList(ABC):
    """Client of the platform's list of live and draining hosts."""

    @abstractmethod
    def read(self) -> Hosts | Unavailable:
        """Reads the list."""


@host_list("http")
class HttpHostList(HostList):
    """Reads the host list over HTTP."""

    def __init__(self, *, url: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self._http = HttpClient(url, timeout_s=timeout_s)

    def read(self) -> Hosts | Unavailable:
        """Reads the list."""
        resp = self._http.call("GET", "/hosts")
        if not isinstance(resp, Response):
            return Unavailable(resp.reason)
        if resp.status != 200:
            return Unavailable(f"status {resp.status}")
        try:
            return Hosts(tuple(_parse_host(row) for row in json.loads(resp.body)))
        except (ValueError, TypeError, KeyError) as exc:
            return Unavailable(f"malformed host list: {exc!r}")


def _parse_host(row: dict[str, str]) -> ListedHost:
    if row["state"] not in (LIVE, LEAVING):
        raise ValueError(f"state {row['state']!r} is not {LIVE} or {LEAVING}")
    return ListedHost(row["host"], row["address"], row["data_centre"], row["state"])
