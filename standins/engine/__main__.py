"""Command line of the model engine stand-in: ``python -m standins.engine``."""

from __future__ import annotations

import argparse
import json

from standins._http import argument_parser, serve
from standins._run_log import RunLog
from standins.engine.batch import Batch, BatchLimits
from standins.engine.cache import PrefixCache
from standins.engine.faults import parse_faults
from standins.engine.http import Engine
from standins.engine.load import LaggedLoad
from standins.engine.versions import LoadCost, Versions

MS_PER_S = 1000.0


def _parse_arguments() -> argparse.Namespace:
    parser = argument_parser("A stand-in of a model engine.")
    parser.add_argument("--name", default="f1")
    parser.add_argument("--model", default="furnace")
    parser.add_argument(
        "--other-models", default="", help="further model names, separated by commas"
    )
    parser.add_argument(
        "--versions", default="v1", help="loaded versions, separated by commas"
    )
    parser.add_argument("--step-ms", type=float, default=20.0)
    parser.add_argument("--max-batch", type=int, default=8)
    parser.add_argument("--prefill-tokens-per-s", type=float, default=8000.0)
    parser.add_argument("--cache-tokens", type=int, default=20000)
    parser.add_argument("--run-log")
    parser.add_argument("--checks-fence", type=int, choices=(0, 1), default=1)
    # --load-lag-s delays the utilisation figures and the cache events; --load-s is the
    # time to load a version after its weights were fetched.
    parser.add_argument("--load-lag-s", type=float, default=2.0)
    parser.add_argument("--load-s", type=float, default=1.0)
    parser.add_argument("--weights-url", default="")
    parser.add_argument(
        "--faults", default="{}", help="faults at start, JSON as for POST /faults"
    )
    return parser.parse_args()


def _build_engine(arguments: argparse.Namespace) -> Engine:
    cache = PrefixCache(arguments.cache_tokens, arguments.seed)
    limits = BatchLimits(
        step_s=arguments.step_ms / MS_PER_S,
        max_batch=arguments.max_batch,
        prefill_tokens_per_s=arguments.prefill_tokens_per_s,
    )
    log = RunLog(arguments.run_log)
    batch = Batch(arguments.model, limits, cache, log, arguments.seed)
    batch.faults = parse_faults(json.loads(arguments.faults))
    cost = LoadCost(arguments.weights_url.rstrip("/"), arguments.load_s)
    versions = [name for name in arguments.versions.split(",") if name]
    return Engine(
        name=arguments.name,
        model=arguments.model,
        seed=arguments.seed,
        lag_s=arguments.load_lag_s,
        batch=batch,
        cache=cache,
        versions=Versions(
            arguments.model,
            versions,
            cost,
            bool(arguments.checks_fence),
            frozenset(arguments.other_models.split(",")) - {""},
        ),
        load=LaggedLoad(batch.load, arguments.load_lag_s, lambda: batch.faults.hang),
        log=log,
    )


def main() -> None:
    """Serves the engine until SIGTERM."""
    arguments = _parse_arguments()
    engine = _build_engine(arguments)
    engine.batch.start()
    engine.load.start()
    serve(engine.router(), arguments.address, arguments.port)


if __name__ == "__main__":
    main()
