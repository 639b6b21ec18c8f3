"""A stand-in of a plain HTTP service: ``python -m standins.service``.

Its run log shows how often each request was run.
"""

from __future__ import annotations

import hashlib
import itertools
import os
import time

import attrs

from standins._http import (
    Request,
    Response,
    Router,
    argument_parser,
    hashed_uniform,
    json_response,
    problem,
    serve,
)
from standins._run_log import RunLog

CONTROL_PREFIX = "/_standin/"
CRASH_EXIT_CODE = 3
MS_PER_S = 1000.0


@attrs.frozen
class Faults:
    """The injected faults.

    Attributes:
        slow: Factor on the latency.
        fail_rate: Fraction of the runs that fail with 500, 0 to 1.
        crash_text: A body with this text makes the process exit; empty for none.
    """

    slow: float = 1.0
    fail_rate: float = 0.0
    crash_text: str = ""


class Service:
    """Runs every request it receives, including repeated ones."""

    def __init__(self, name: str, latency_s: float, log: RunLog, seed: int) -> None:
        self._name = name
        self._latency_s = latency_s
        self._log = log
        self._seed = seed
        self._faults = Faults()
        self._run_numbers = itertools.count(1)
        self._control = Router()
        self._control.add("POST", f"{CONTROL_PREFIX}faults", self._set_faults)
        self._control.add(
            "GET", f"{CONTROL_PREFIX}runs", lambda _: json_response(log.events())
        )

    def __call__(self, request: Request) -> Response:
        """Handles control requests; runs any other request."""
        if request.path.startswith(CONTROL_PREFIX):
            return self._control(request)
        return self._run(request)

    def _run(self, request: Request) -> Response:
        number = next(self._run_numbers)
        faults = self._faults
        run = {
            "run": number,
            "request_id": request.headers.get("X-Request-Id"),
            "key": request.headers.get("Idempotency-Key"),
            "method": request.method,
            "path": request.path,
            "body_sha": hashlib.sha256(request.body).hexdigest(),
        }
        self._log.append({**run, "event": "start"})
        if faults.crash_text and faults.crash_text.encode() in request.body:
            os._exit(CRASH_EXIT_CODE)
        time.sleep(self._latency_s * faults.slow)
        failed = hashed_uniform(self._seed, self._name, number) < faults.fail_rate
        outcome = "failed" if failed else "done"
        self._log.append({**run, "event": "end", "outcome": outcome})
        if failed:
            return problem(500, "the run failed")
        return json_response(run)

    def _set_faults(self, request: Request) -> Response:
        self._faults = Faults(**request.json())
        return json_response(attrs.asdict(self._faults))


def main() -> None:
    """Serves the plain service until SIGTERM."""
    parser = argument_parser("A stand-in of a plain service.")
    parser.add_argument("--name", default="p1")
    parser.add_argument("--latency-ms", type=float, default=20.0)
    parser.add_argument("--run-log")
    arguments = parser.parse_args()
    service = Service(
        name=arguments.name,
        latency_s=arguments.latency_ms / MS_PER_S,
        log=RunLog(arguments.run_log),
        seed=arguments.seed,
    )
    serve(service, arguments.address, arguments.port)


if __name__ == "__main__":
    main()
