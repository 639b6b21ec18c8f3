"""HTTP driver for the object store."""

from __future__ import annotations

import json
from urllib.parse import quote, urlencode

from cornelpin.stores.http_client import (
    DEFAULT_TIMEOUT_S,
    HttpClient,
    NoResponse,
    NotSent,
    Response,
)
from cornelpin.stores.objects import (
    Conflict,
    Deleted,
    Found,
    Listed,
    ListedObject,
    Missing,
    ObjectStore,
    Unavailable,
    Unchanged,
    Unknown,
    Written,
)
from cornelpin.stores.registry import object_store

_VERSION = "X-Version"
_IF_VERSION = "X-If-Version"
_IF_VERSION_NOT = "X-If-Version-Not"
_NOT_APPLIED_STATUS = 503


@object_store("http")
class HttpObjectStore(ObjectStore):
    """Object store over HTTP with one persistent connection per thread."""

    def __init__(self, *, url: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        super().__init__()
        self._http = HttpClient(url, timeout_s=timeout_s)

    def get(
        self, key: str, *, unless_version: int | None = None
    ) -> Found | Unchanged | Missing | Unavailable:
        """Reads an object unless it has the given version."""
        self.calls.add("reads")
        headers = {}
        if unless_version is not None:
            headers[_IF_VERSION_NOT] = str(unless_version)
        return _read_outcome(self._http.call("GET", _object_path(key), headers=headers))

    def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> Written | Conflict | Unavailable | Unknown:
        """Writes an object if it has the given version."""
        self.calls.add("writes")
        headers = _condition_headers(if_version)
        resp = self._http.call("PUT", _object_path(key), body=value, headers=headers)
        if isinstance(resp, Response) and resp.status == 200:
            version = _version(resp)
            # "no version": status 200 without a valid X-Version header.
            return Unknown("no version") if version is None else Written(version)
        return _failed_write(resp)

    def delete(
        self, key: str, *, if_version: int | None = None
    ) -> Deleted | Conflict | Missing | Unavailable | Unknown:
        """Deletes an object if it has the given version."""
        self.calls.add("writes")
        resp = self._http.call(
            "DELETE", _object_path(key), headers=_condition_headers(if_version)
        )
        if isinstance(resp, Response) and resp.status in (200, 204):
            return Deleted()
        if isinstance(resp, Response) and resp.status == 404:
            return Missing()
        return _failed_write(resp)

    def watch(
        self, key: str, *, after: int, wait_s: float
    ) -> Found | Unchanged | Missing | Unavailable:
        """Waits until an object has a version above the given one."""
        self.calls.add("watches")
        query = urlencode({"key": key, "after": after, "wait_s": wait_s})
        return _read_outcome(self._http.call("GET", f"/watch?{query}", wait_s=wait_s))

    def list(self, prefix: str) -> Listed | Unavailable:
        """Lists the objects whose keys start with a prefix."""
        self.calls.add("reads")
        resp = self._http.call("GET", "/list?" + urlencode({"prefix": prefix}))
        if not isinstance(resp, Response):
            return Unavailable(resp.reason)
        if resp.status != 200:
            return Unavailable(f"status {resp.status}")
        try:
            found = [
                ListedObject(e["key"], int(e["version"])) for e in json.loads(resp.body)
            ]
        except (ValueError, TypeError, KeyError) as exc:
            return Unavailable(f"malformed list: {exc!r}")
        return Listed(tuple(sorted(found, key=lambda listing: listing.key)))


def _object_path(key: str) -> str:
    return "/objects/" + quote(key, safe="/")


def _condition_headers(if_version: int | None) -> dict[str, str]:
    return {} if if_version is None else {_IF_VERSION: str(if_version)}


def _version(resp: Response) -> int | None:
    text = resp.headers.get(_VERSION, "")
    return int(text) if text.isdecimal() else None


def _read_outcome(
    resp: Response | NotSent | NoResponse,
) -> Found | Unchanged | Missing | Unavailable:
    if not isinstance(resp, Response):
        return Unavailable(resp.reason)
    if resp.status == 304:
        return Unchanged()
    if resp.status == 404:
        return Missing()
    version = _version(resp)
    if resp.status != 200 or version is None:
        return Unavailable(f"status {resp.status}, version {version}")
    return Found(resp.body, version)


def _failed_write(
    resp: Response | NotSent | NoResponse,
) -> Conflict | Unavailable | Unknown:
    if isinstance(resp, NotSent):
        return Unavailable(resp.reason)
    if isinstance(resp, NoResponse):
        return Unknown(resp.reason)
    if resp.status == 409:
        return Conflict(_version(resp) or 0)
    reason = f"status {resp.status}"
    not_applied = 400 <= resp.status < 500 or resp.status == _NOT_APPLIED_STATUS
    # Other errors may come from a proxy that had already forwarded the write.
    return Unavailable(reason) if not_applied else Unknown(reason)
