"""Measures the check of a configuration.

Run it with ``python -m benchmarks.config_check``. It prints the time for 100 to 10,000
routes, with the comparison with the configuration in force.
"""

from __future__ import annotations

import time

from cornelpin.cli.config_check import check_config
from cornelpin.tests.gateway_harness import config, route

ROUTES = (100, 1_000, 10_000)


def check_s(count: int) -> float:
    """Returns the seconds for a configuration with this many routes."""
    routes = [route(f"/route-{n}/", "unsafe", max_attempts=1) for n in range(count)]
    before = config(1, routes=routes[: count // 2])
    began = time.perf_counter()
    check_config(config(2, routes=routes), before)
    return time.perf_counter() - began


def main() -> None:
    """Prints the table."""
    print("routes  check, s")
    for count in ROUTES:
        print(f"{count:6d}  {check_s(count):8.3f}")


if __name__ == "__main__":
    main()
