"""The HTTP API of the model engine: completions, load, cache, versions and faults."""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterator
from typing import Any

import attrs

from standins._http import (
    ConnectionDropError,
    Request,
    Response,
    Router,
    json_response,
    problem,
)
from standins._run_log import RunLog
from standins.answers import answer_length, natural_length, prompt_text
from standins.engine import openai
from standins.engine.batch import Batch, Run, new_run
from standins.engine.cache import Block, PrefixCache, block_hash
from standins.engine.faults import parse_faults
from standins.engine.load import LaggedLoad
from standins.engine.versions import OrderRefusedError, Versions

CLIENT_CHECK_INTERVAL_S = 0.25


@attrs.frozen
class Engine:
    """The HTTP API and the components of one model engine.

    Attributes:
        name: Name of the engine, used in generated request ids.
        model: Default model.
        seed: Seed of the completion lengths.
        lag_s: Delay of the cache events in seconds.
        batch: Runs the requests.
        cache: The prefix cache.
        versions: The loaded versions.
        load: The delayed load figures.
        log: The run log.
    """

    name: str
    model: str
    seed: int
    lag_s: float
    batch: Batch
    cache: PrefixCache
    versions: Versions
    load: LaggedLoad
    log: RunLog
    _request_numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    def router(self) -> Router:
        """Returns the routes of the engine."""
        router = Router()
        router.add("POST", "/v1/(chat/)?completions", self._complete)
        router.add("GET", "/v1/models", self._models)
        router.add("GET", "/v1/streams/(.+)", self._resume)
        router.add("DELETE", "/v1/streams/(.+)", self._cancel)
        router.add("GET", "/load", lambda _: json_response(self.load.read()))
        router.add("GET", "/cache_events", self._cache_events)
        router.add("GET", "/kv/([^/]+)", self._export_block)
        router.add("PUT", "/kv/([^/]+)", self._import_block)
        router.add("POST", "/orders", self._order)
        router.add(
            "GET", "/versions", lambda _: json_response(self.versions.snapshot())
        )
        router.add("POST", "/faults", self._set_faults)
        router.add("GET", "/runs", lambda _: json_response(self.log.events()))
        return router

    def _complete(self, request: Request, chat: str | None) -> Response:
        body = request.json()
        model_name = str(body.get("model", self.model))
        version = self.versions.resolve(model_name)
        if version is None:
            return problem(404, f"model {model_name} isn't loaded")
        request_id = request.headers.get("X-Request-Id")
        run = new_run(
            request_id or f"{self.name}-{next(self._request_numbers)}",
            version,
            prompt_text(body),
            answer_length(body, self.seed),
            natural_length(prompt_text(body), self.seed),
            is_chat=chat is not None,
        )
        self.batch.submit(run)
        # A run that fails before its first token gets status 500, not a broken stream.
        if run.fail_at == 0 or not body.get("stream"):
            return self._unary_response(request, run)
        return self._stream_response(request, run, 0)

    def _unary_response(self, request: Request, run: Run) -> Response:
        self.batch.attach(run)
        try:
            while not run.ended:
                self.batch.wait(run, len(run.tokens), CLIENT_CHECK_INTERVAL_S)
                if request.client_disconnected():
                    raise ConnectionDropError
        finally:
            self.batch.detach(run)
        if run.state != "done":
            return problem(500, f"the run was {run.state}")
        return json_response(openai.completion(run, self.model))

    def _stream_response(self, request: Request, run: Run, offset: int) -> Response:
        headers = {"Content-Type": "text/event-stream", "X-Request-Id": run.request_id}
        return Response(
            headers=headers, chunks=self._stream_events(request, run, offset)
        )

    def _stream_events(
        self, request: Request, run: Run, offset: int
    ) -> Iterator[bytes]:
        # Attach inside the generator: if it never starts, its finally never runs.
        self.batch.attach(run)
        try:
            while True:
                tokens, state = self.batch.wait(run, offset, CLIENT_CHECK_INTERVAL_S)
                if request.client_disconnected():
                    raise ConnectionDropError
                offset += len(tokens)
                for token in tokens:
                    yield openai.token_event(run, self.model, token)
                if state == "done":
                    break
                if run.ended and offset >= run.emitted:
                    raise ConnectionDropError
            yield openai.final_event(run, self.model) + openai.DONE
        finally:
            self.batch.detach(run)

    def _resume(self, request: Request, request_id: str) -> Response:
        run = self.batch.find(request_id)
        if run is None:
            return problem(404, f"no stream {request_id}")
        offset = int(request.query.get("offset", 0))
        if offset < 0:
            return problem(400, "offset is negative")
        return self._stream_response(request, run, offset)

    def _cancel(self, request: Request, request_id: str) -> Response:
        run = self.batch.find(request_id)
        if run is None:
            return problem(404, f"no stream {request_id}")
        cancelled = self.batch.cancel(run)
        return json_response({"cancelled": cancelled, "state": run.state})

    def _models(self, request: Request) -> Response:
        versions = self.versions.snapshot()["versions"]
        names = [self.model, *(f"{self.model}@{version}" for version in versions)]
        data = [{"id": name, "object": "model"} for name in names]
        return json_response({"object": "list", "data": data})

    def _cache_events(self, request: Request) -> Response:
        after = int(request.query.get("after", 0))
        return json_response(self.cache.events(after, self.lag_s))

    def _export_block(self, request: Request, name: str) -> Response:
        block = self.cache.get(name)
        if block is None:
            return problem(404, f"block {name} isn't cached")
        return json_response(attrs.asdict(block))

    def _import_block(self, request: Request, name: str) -> Response:
        block = Block(**request.json())
        if block.block != name or block_hash(block.parent, block.words) != name:
            return problem(400, "the block's words don't give its hash")
        self.cache.put(block)
        return json_response({"block": name})

    def _order(self, request: Request) -> Response:
        try:
            self.versions.order(request.json())
        except OrderRefusedError as refusal:
            after = refusal.retry_after
            headers = {"Retry-After": after} if after else {}
            return problem(refusal.status, refusal.detail, headers)
        return json_response(self.versions.snapshot())

    def _set_faults(self, request: Request) -> Response:
        value: dict[str, Any] = json.loads(request.body or b"{}")
        self.batch.faults = parse_faults(value)
        return json_response(attrs.asdict(self.batch.faults))
