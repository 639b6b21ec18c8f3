"""A stand-in of the platform's store: objects, revisions, watches and outages."""

from __future__ import annotations

import asyncio
import copy
import json
import re
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import attrs

from standins.fleet.raw_http import RawRequest, RawServer, format_response

BASE = "/-/objects/"
RAW = re.compile(rb'"@\d+@"')
"""What stands for an object given as text (``FleetStore.put_raw``)."""


@attrs.define
class _Event:
    revision: int
    kind: str
    item: Any
    removed: bool


def _status(item: Any) -> Any:
    return item["status"] if isinstance(item, dict) else None


class FleetStore:
    """An in-memory object store with an HTTP API.

    Attributes:
        mode: Response to calls: ``up`` (normal), ``busy`` (503), ``silent`` (no
            response for 60 s), ``lost`` (writes are applied, then the connection is
            reset).
        rejected_ips: IP addresses of callers that get 503.
        rejected_kinds: Kinds of objects for which all calls get 503.
        calls: Number of calls received.
        era: Number of the era, sent with each response; None to send none.
    """

    def __init__(self) -> None:
        self.mode = "up"
        self.rejected_ips: set[str] = set()
        self.rejected_kinds: set[str] = set()
        self.calls = 0
        self.era: int | None = 1
        self._copies: list[tuple[int, dict[str, dict[str, dict[str, Any]]]]] = []
        self._silence_epoch = 0
        # Not 0: a store that is in use has a revision before the first write of a test.
        self._revision = 5
        self._objects: dict[str, dict[str, Any]] = {}
        # Objects given as text, by the text that stands for them.
        self._raw: dict[bytes, bytes] = {}
        self._history: list[_Event] = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self.server = RawServer(self._handle)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Creates or replaces an object; returns its revision.

        Tests call it in place of an operator or a server.
        """
        self._revision += 1
        old = self._objects.setdefault(kind, {}).get(name)
        meta = {"name": name, "rev": self._revision, "created": 1, "finalizers": []}
        item = {"metadata": meta, "spec": spec, "status": _status(old)}
        self._objects[kind][name] = item
        self._append_event(_Event(self._revision, kind, item, False))
        return self._revision

    def put_raw(self, kind: str, name: str, item: bytes) -> None:
        """Creates an object whose JSON text is given, which may be no valid JSON.

        Args:
            kind: Kind of the object.
            name: Name by which it is kept, whatever the text says.
            item: The whole object, as listings and watches contain it.
        """
        token = f"@{len(self._raw)}@"
        self._raw[f'"{token}"'.encode()] = item
        self._revision += 1
        self._objects.setdefault(kind, {})[name] = token
        self._append_event(_Event(self._revision, kind, token, False))

    def remove(self, kind: str, name: str) -> None:
        """Removes an object, if it exists."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            if not isinstance(item, dict):
                item = {"metadata": {"name": name}, "spec": None}
            meta = dict(item["metadata"], rev=self._revision)
            self._append_event(
                _Event(self._revision, kind, dict(item, metadata=meta), True)
            )

    def objects(self, kind: str) -> dict[str, Any]:
        """Returns the specs of the objects of a kind, by name."""
        items = self._objects.get(kind, {}).items()
        return {n: item["spec"] for n, item in items if isinstance(item, dict)}

    def status(self, kind: str, name: str) -> Any:
        """Returns the status of an object."""
        return self._objects[kind][name]["status"]

    def history(self, kind: str) -> list[int]:
        """Returns the revisions of the changes to a kind, oldest first."""
        return [event.revision for event in self._history if event.kind == kind]

    def go_silent(self) -> None:
        """Stops responding; pending watches get no response for 60 s either."""
        self.mode = "silent"
        self._silence_epoch += 1

    def reset_connections(self) -> None:
        """Resets all connections and with them the pending watches."""
        self.server.reset_connections()

    def compact_history(self) -> None:
        """Compacts the history, so that watches of older revisions get 410."""
        self._compacted_revision = self._revision
        self._history.clear()
        self._notify_watches()

    def keep_copy(self) -> int:
        """Keeps a copy of all objects; returns its revision."""
        self._copies.append((self._revision, copy.deepcopy(self._objects)))
        return self._revision

    def restore(self) -> None:
        """Goes back to the last copy, as a new era; watches and connections end.

        The history after the copy is lost, and its revisions are given out again.
        """
        self._revision, objects = self._copies[-1]
        self._objects = copy.deepcopy(objects)
        self._history = [e for e in self._history if e.revision <= self._revision]
        assert self.era is not None
        self.era += 1
        self._notify_watches()
        self.reset_connections()

    def _append_event(self, event: _Event) -> None:
        self._history.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req: RawRequest, writer: asyncio.StreamWriter) -> bool:
        self.calls += 1
        caller = writer.get_extra_info("peername")[0]
        if self.mode == "silent":
            await asyncio.sleep(60)
        kind = urlsplit(req.target).path.removeprefix(BASE).split("/")[0]
        rejected = caller in self.rejected_ips or kind in self.rejected_kinds
        if self.mode == "busy" or rejected:
            writer.write(format_response(503, self._headers(), b""))
            return True
        status, body = await self._dispatch(req)
        if self.mode == "lost" and req.method != "GET":
            writer.transport.abort()
            return False
        data = json.dumps(body).encode()
        data = RAW.sub(lambda match: self._raw[match.group()], data)
        writer.write(format_response(status, self._headers(), data))
        await writer.drain()
        return True

    def _headers(self) -> dict[str, str]:
        return {} if self.era is None else {"Store-Era": str(self.era)}

    async def _dispatch(self, req: RawRequest) -> tuple[int, Any]:
        parts = urlsplit(req.target)
        path = [unquote(p) for p in parts.path.removeprefix(BASE).split("/")]
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if req.method == "GET" and "watch" in query:
            wait_s = int(query["wait_ms"]) / 1000
            return await self._watch(path[0], int(query["watch"]), wait_s)
        if req.method == "GET" and len(path) == 1:
            items = list(self._objects.get(path[0], {}).values())
            return 200, {
                "items": items,
                "has_more": False,
                "current_rev": self._revision,
            }
        if req.method == "GET":
            item = self._objects.get(path[0], {}).get(path[1])
            return (200, item) if item is not None else (404, {})
        return self._write(req.method, path, json.loads(req.body))

    def _write(self, method: str, path: list[str], body: Any) -> tuple[int, Any]:
        kind = path[0]
        name = path[1] if len(path) > 1 else body["metadata"]["name"]
        current = self._objects.setdefault(kind, {}).get(name)
        if method == "POST":
            if current is not None:
                return 409, current
            self.put(kind, name, body["spec"])
            return 201, self._objects[kind][name]
        if current is None:
            return 404, {}
        expected_revision = body.get("metadata", {}).get("rev")
        if (
            expected_revision is not None
            and expected_revision != current["metadata"]["rev"]
        ):
            return 409, current
        if path[-1] == "status":
            current["status"] = body["status"]
            self.put(kind, name, current["spec"])
        else:
            self.put(kind, name, body["spec"])
        return 200, self._objects[kind][name]

    async def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        silence_epoch = self._silence_epoch
        while True:
            if silence_epoch != self._silence_epoch:
                await asyncio.sleep(60)
            if since < self._compacted_revision or since > self._revision:
                return 410, {}
            events = [
                {"removed": e.removed, "object": e.item}
                for e in self._history
                if e.kind == kind and e.revision > since
            ]
            if events or loop.time() >= deadline:
                return 200, {"events": events, "current_rev": self._revision}
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                continue
