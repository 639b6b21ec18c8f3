"""A stand-in of the object store: ``python -m standins.objects``.

It has conditional writes, watches, rate limits and injected faults.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from standins._http import (
    ConnectionDropError,
    Request,
    Response,
    Router,
    argument_parser,
    json_response,
    problem,
    serve,
)
from standins._token_bucket import TokenBucket

MAX_OBJECT_BYTES = 1_000_000
MAX_WATCH_S = 600.0
MODES = ("ok", "outage", "slow", "lose_answers", "stale_reads")


@attrs.frozen
class Stored:
    """A stored object.

    Attributes:
        version: Version of the value.
        value: The value.
        previous: Version and value before the last write; None if there was none.
    """

    version: int
    value: bytes
    previous: tuple[int, bytes] | None


@attrs.frozen
class Faults:
    """The injected fault.

    Attributes:
        mode: ``ok``; ``outage`` (503, or the connection is closed without a
            response); ``slow`` (requests are delayed by ``delay_s``);
            ``lose_answers`` (writes are executed, then the connection is closed
            without a response);
            ``stale_reads`` (reads of an object return its previous version, or 404 if
            there is none).
        rate: Fraction of the requests to which the fault applies, 0 to 1.
        delay_s: Delay of ``slow`` in seconds; in an ``outage``, time before the
            connection is closed without a response (0 responds with 503).
    """

    mode: str = attrs.field(default="ok", validator=attrs.validators.in_(MODES))
    rate: float = 1.0
    delay_s: float = 0.0


class ConflictError(Exception):
    """Raised if the condition of a write does not hold.

    Attributes:
        version: The current version; 0 if there is no object.
    """

    def __init__(self, version: int) -> None:
        super().__init__(f"the version is {version}")
        self.version = version


class Store:
    """Versioned objects in memory.

    One counter numbers all versions, so that a key never repeats a version, even after
    a delete.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[str, Stored] = {}
        self._last_version = 0
        self._log: list[dict[str, Any]] = []

    def get(self, key: str) -> Stored | None:
        """Returns the object, or None if there is none."""
        with self._changed:
            return self._objects.get(key)

    def put(self, key: str, value: bytes, expected: int | None) -> int:
        """Writes the object and returns its new version.

        Raises:
            ConflictError: If the current version is not the expected one.
        """
        with self._changed:
            current = self._check_version(key, expected)
            previous = (current.version, current.value) if current else None
            version = self._append_write(key)
            self._objects[key] = Stored(version, value, previous)
            self._changed.notify_all()
            return version

    def delete(self, key: str, expected: int | None) -> bool:
        """Removes the object; returns False if there is none.

        Raises:
            ConflictError: If the current version is not the expected one.
        """
        with self._changed:
            if self._check_version(key, expected) is None:
                return False
            self._append_write(key)
            del self._objects[key]
            return True

    def list_keys(self, prefix: str) -> list[dict[str, Any]]:
        """Returns keys and versions of the objects with a prefix, sorted by key."""
        with self._changed:
            return [
                {"key": key, "version": stored.version}
                for key, stored in sorted(self._objects.items())
                if key.startswith(prefix)
            ]

    def watch(
        self, key: str, after: int, wait_s: float, stop: Callable[[], bool]
    ) -> Stored | None:
        """Waits for a version newer than ``after``.

        Args:
            key: Key of the object.
            after: The version that the caller has; 0 for none.
            wait_s: Timeout in seconds.
            stop: Ends the wait once it returns True.

        Returns:
            The newer object, or None if there is none at the end of the wait.
        """

        def newer() -> Stored | None:
            stored = self._objects.get(key)
            return stored if stored and stored.version > after else None

        with self._changed:
            self._changed.wait_for(lambda: stop() or newer() is not None, wait_s)
            return newer()

    def notify_watches(self) -> None:
        """Makes pending watches check their ``stop`` condition."""
        with self._changed:
            self._changed.notify_all()

    def log(self) -> list[dict[str, Any]]:
        """Returns the accepted writes, oldest first."""
        with self._changed:
            return list(self._log)

    def _check_version(self, key: str, expected: int | None) -> Stored | None:
        current = self._objects.get(key)
        version = current.version if current else 0
        if expected is not None and expected != version:
            raise ConflictError(version)
        return current

    def _append_write(self, key: str) -> int:
        self._last_version += 1
        entry = {"key": key, "version": self._last_version, "at": time.time()}
        self._log.append(entry)
        return self._last_version


def _expected_version(request: Request) -> int | None:
    text = request.headers.get("X-If-Version")
    return None if text is None else int(text)


def _version_header(version: int) -> dict[str, str]:
    return {"X-Version": str(version)}


class ObjectApi:
    """The HTTP API of the store, with its rate limits and faults."""

    def __init__(self, writes_per_s: float, reads_per_s: float, seed: int) -> None:
        self._store = Store()
        self._faults = Faults()
        self._writes = TokenBucket(writes_per_s)
        self._reads = TokenBucket(reads_per_s)
        self._lock = threading.Lock()
        self._random = Random(seed)
        self._stats = Counter(
            {"reads": 0, "writes": 0, "watches": 0, "rejected": 0, "conflicts": 0}
        )

    def router(self) -> Router:
        """Returns the routes of the object store."""
        router = Router()
        router.add("GET", "/objects/(.+)", self._limited_read("reads", self._get))
        router.add("GET", "/list", self._limited_read("reads", self._list))
        router.add("GET", "/watch", self._limited_read("watches", self._watch))
        router.add("PUT", "/objects/(.+)", self._limited_write(self._put))
        router.add("DELETE", "/objects/(.+)", self._limited_write(self._delete))
        router.add("POST", "/faults", self._set_faults)
        router.add("GET", "/stats", lambda _: json_response(dict(self._stats)))
        router.add("GET", "/log", lambda _: json_response(self._store.log()))
        return router

    def _limited_read(
        self, name: str, handler: Callable[..., Response]
    ) -> Callable[..., Response]:
        def handle(request: Request, *groups: str) -> Response:
            return self._reject_or_delay(name, self._reads) or handler(request, *groups)

        return handle

    def _limited_write(
        self, handler: Callable[..., Response]
    ) -> Callable[..., Response]:
        def handle(request: Request, *groups: str) -> Response:
            rejection = self._reject_or_delay("writes", self._writes)
            if rejection:
                return rejection
            try:
                response = handler(request, *groups)
            except ConflictError as conflict:
                self._count("conflicts")
                headers = _version_header(conflict.version)
                response = problem(409, str(conflict), headers)
            if self._is_affected_by("lose_answers"):
                raise ConnectionDropError
            return response

        return handle

    def _reject_or_delay(self, name: str, bucket: TokenBucket) -> Response | None:
        delay_s = self._faults.delay_s
        if self._is_affected_by("outage"):
            self._count("rejected")
            if delay_s > 0:
                time.sleep(delay_s)
                raise ConnectionDropError
            return problem(503, "outage")
        if self._is_affected_by("slow"):
            time.sleep(delay_s)
        if bucket.take() > 0:
            self._count("rejected")
            return problem(429, f"too many {name}")
        self._count(name)
        return None

    def _get(self, request: Request, key: str) -> Response:
        stored = self._store.get(key)
        found = (stored.version, stored.value) if stored else None
        if stored and self._is_affected_by("stale_reads"):
            found = stored.previous
        if found is None:
            return problem(404, f"no object {key}")
        version, value = found
        if request.headers.get("X-If-Version-Not") == str(version):
            return Response(304, headers=_version_header(version))
        return Response(200, value, _version_header(version))

    def _put(self, request: Request, key: str) -> Response:
        if len(request.body) > MAX_OBJECT_BYTES:
            return problem(413, f"over {MAX_OBJECT_BYTES} bytes")
        version = self._store.put(key, request.body, _expected_version(request))
        return json_response({"version": version}, headers=_version_header(version))

    def _delete(self, request: Request, key: str) -> Response:
        if not self._store.delete(key, _expected_version(request)):
            return problem(404, f"no object {key}")
        return json_response({})

    def _list(self, request: Request) -> Response:
        return json_response(self._store.list_keys(request.query.get("prefix", "")))

    def _watch(self, request: Request) -> Response:
        wait_s = min(float(request.query.get("wait_s", 0)), MAX_WATCH_S)
        stored = self._store.watch(
            request.query["key"],
            int(request.query.get("after", 0)),
            wait_s,
            stop=lambda: self._faults.mode == "outage",
        )
        if self._is_affected_by("outage"):
            return problem(503, "outage")
        if stored is None:
            return Response(304)
        return Response(200, stored.value, _version_header(stored.version))

    def _set_faults(self, request: Request) -> Response:
        self._faults = Faults(**request.json())
        self._store.notify_watches()
        return json_response(attrs.asdict(self._faults))

    def _is_affected_by(self, mode: str) -> bool:
        faults = self._faults
        if faults.mode != mode:
            return False
        with self._lock:
            return self._random.random() < faults.rate

    def _count(self, name: str) -> None:
        with self._lock:
            self._stats[name] += 1


def main() -> None:
    """Serves the object API until SIGTERM."""
    parser = argument_parser("A stand-in of the object API.")
    parser.add_argument("--writes-per-s", type=float, default=400.0)
    parser.add_argument("--reads-per-s", type=float, default=2000.0)
    arguments = parser.parse_args()
    api = ObjectApi(arguments.writes_per_s, arguments.reads_per_s, arguments.seed)
    serve(api.router(), arguments.address, arguments.port)


if __name__ == "__main__":
    main()
