"""A stand-in of the store of model weights: ``python -m standins.weights``."""

from __future__ import annotations

import math
import time

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
from standins._token_bucket import TokenBucket


@attrs.frozen
class WeightStore:
    """Serves downloads of weights, with a limited rate of downloads.

    Attributes:
        transfer_s: Duration of a download in seconds.
        bucket: Rate limit of the downloads.
    """

    transfer_s: float
    bucket: TokenBucket

    def router(self) -> Router:
        """Returns the routes of the weight store."""
        router = Router()
        router.add("GET", "/weights/([^/]+)/([^/]+)", self._get)
        return router

    def _get(self, request: Request, model: str, version: str) -> Response:
        wait_s = self.bucket.take()
        if wait_s > 0:
            headers = {"Retry-After": str(math.ceil(wait_s))}
            return problem(429, "too many loads", headers)
        time.sleep(self.transfer_s)
        return json_response({"model": model, "version": version})


def main() -> None:
    """Serves the weight store until SIGTERM."""
    parser = argument_parser("A stand-in of the weight store.")
    parser.add_argument("--size-mb", type=float, default=100.0)
    parser.add_argument("--rate-mb-per-s", type=float, default=1000.0)
    parser.add_argument("--loads-per-s", type=float, default=1.0)
    arguments = parser.parse_args()
    store = WeightStore(
        transfer_s=arguments.size_mb / arguments.rate_mb_per_s,
        bucket=TokenBucket(arguments.loads_per_s),
    )
    serve(store.router(), arguments.address, arguments.port)


if __name__ == "__main__":
    main()
