"""HTTP API for operators under ``/admin/v1/``."""

from __future__ import annotations

import hashlib
import hmac
import time
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from cornelpin.core import configstore
from cornelpin.core.execution import Reason, Refusal
from cornelpin.daemon.http.messages import (
    HttpRequest,
    HttpResponse,
    json_response,
    problem,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.entry import Entry

PREFIX = "/admin/v1/"
BOOTSTRAP_AUTHOR = "bootstrap"


class AdminApi:
    """Serves operators; every call requires an operator's bearer token."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._process = entry.process
        self._handlers: dict[tuple[str, str], Callable[[HttpRequest], HttpResponse]]
        self._handlers = {
            ("GET", "config"): self._config,
            ("POST", "config/patches"): self._patch,
            ("GET", "config/status"): self._config_status,
            ("GET", "config/history"): self._history,
            ("GET", "status"): self._status,
            ("GET", "moves"): self._moves,
            ("GET", "timeline"): self._timeline,
        }

    def handle(self, http: HttpRequest) -> HttpResponse:
        """Handles one call.

        Raises:
            Refusal: If the token belongs to no operator or no handler matches.
        """
        self._authenticate(http)
        name = http.path.removeprefix(PREFIX)
        handler = self._handlers.get((http.method, name))
        if handler is None:
            valid = ", ".join(f"{m} {PREFIX}{n}" for m, n in sorted(self._handlers))
            raise Refusal(
                Reason.NO_ROUTE,
                detail=f"nothing at {http.method} {http.path}; valid: {valid}",
            )
        return handler(http)

    def _authenticate(self, http: HttpRequest) -> str:
        token = http.bearer_token()
        operator = self._process.view.config.operator_by_token(token)
        if operator is not None:
            return operator.name
        bootstrap = self._process.settings.bootstrap_operator_sha256
        digest = hashlib.sha256(token.encode()).hexdigest()
        if bootstrap and hmac.compare_digest(bootstrap, digest):
            return BOOTSTRAP_AUTHOR
        raise Refusal(Reason.UNAUTHORIZED, detail="the bearer token names no operator")

    def _config(self, http: HttpRequest) -> HttpResponse:
        view = self._process.view
        return json_response({"number": view.number, "document": view.document})

    def _patch(self, http: HttpRequest) -> HttpResponse:
        base, patch = http.read_json(lambda d: (d.get("base"), d.get("patch")))
        if type(base) is not int or not isinstance(patch, dict):
            raise Refusal(
                Reason.BAD_REQUEST,
                detail="the body must be {base: number, patch: object}",
            )
        # Already authenticated in ``handle``; here for the operator's name.
        author = self._authenticate(http)
        outcome = self._entry.submit_patch(base, patch, author=author)
        return _patch_response(outcome)

    def _config_status(self, http: HttpRequest) -> HttpResponse:
        rows = self._entry.config_status()
        return json_response({"number": self._process.view.number, "processes": rows})

    def _history(self, http: HttpRequest) -> HttpResponse:
        query = parse_qs(http.query)
        number = self._process.view.number
        # By default the history starts 20 configuration numbers before the current one.
        first = _query_int(query, "from", max(1, number - 20))
        last = _query_int(query, "to", number)
        return json_response(self._entry.history(first, last))

    def _status(self, http: HttpRequest) -> HttpResponse:
        return json_response(
            {
                "processes": self._entry.processes(),
                "routes": self._entry.routes(),
                "tiers": self._entry.tiers(),
            }
        )

    def _moves(self, http: HttpRequest) -> HttpResponse:
        return json_response(self._entry.moves())

    def _timeline(self, http: HttpRequest) -> HttpResponse:
        query = parse_qs(http.query)
        events = self._entry.timeline.collect(
            request=query.get("request", [""])[0], move=query.get("move", [""])[0]
        )
        host = query.get("host", [""])[0]
        rows = [e.as_row() for e in events if not host or e.host == host]
        return json_response(rows)


def _query_int(query: dict[str, list[str]], name: str, default: int) -> int:
    text = query.get(name, [str(default)])[0]
    if not text.isdigit():
        raise Refusal(Reason.BAD_REQUEST, detail=f"{name} is {text!r}; valid: a number")
    return int(text)


def _patch_response(outcome: Any) -> HttpResponse:
    match outcome:
        case configstore.Accepted(number=number):
            return json_response({"number": number})
        case configstore.Stale(current=current, changed=changed):
            refusal = Refusal(
                Reason.STALE_NUMBER,
                detail=f"the current number is {current}; fetch it and patch again",
            )
            return problem(refusal, extra={"current": current, "changed": changed})
        case configstore.Invalid(faults=faults):
            refusal = Refusal(
                Reason.INVALID_PATCH, detail=f"{len(faults)} faults in the result"
            )
            rows = [
                {"path": f.path, "value": f.value, "valid": f.valid} for f in faults
            ]
            return problem(refusal, extra={"faults": rows})
        case configstore.NotStored(reason=reason):
            return problem(
                Refusal(
                    Reason.STORE_UNAVAILABLE,
                    detail=f"the patch was not stored: {reason}",
                    retry_after_s=1.0,
                ),
                extra={"undecided": False},
            )
        case configstore.Undecided(reason=reason):
            # `undecided` tells that the patch may have taken effect. `may_have_run` is
            # false all the same: it concerns requests to backend servers.
            return problem(
                Refusal(
                    Reason.STORE_UNAVAILABLE,
                    detail="the store does not say whether the patch took effect: "
                    f"{reason}; read the configuration before patching again",
                    retry_after_s=1.0,
                ),
                extra={"undecided": True},
            )
    raise TypeError(f"unexpected patch outcome {outcome!r} at {time.time()}")
