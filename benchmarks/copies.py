"""Measures what entries copy from each other when the stored objects change.

Run it with ``python -m benchmarks.copies``; it prints size and processor time of the
copied parts of a snapshot by the number of routes and of backend servers.
"""

from __future__ import annotations

import random
import time
from typing import Any

import click
import msgpack

from cornelpin.gateway.snapshots import pack, unpack

ROUTES = (100, 1_400, 4_200, 13_000)
SERVERS = (30, 300, 4_600)
SEED = 1


def make_config(routes: int, rng: random.Random) -> dict[str, Any]:
    """Returns a configuration as stored, with random names."""
    return {
        "version": 1,
        "routes": [
            {
                "name": f"route-{rng.randrange(16**8):08x}",
                "host": f"{rng.randrange(16**5):05x}.example",
                "path_prefix": f"/{rng.randrange(16**8):08x}/",
                "kind": rng.choice(("safe", "unsafe", "stream")),
                "timeout_ms": rng.choice((2_000, 3_000, 12_000, 15_000)),
                "target_latency_ms": rng.choice((300, 400, 500, 800)),
                "priority": rng.randrange(3),
                "service": f"service-{rng.randrange(8)}",
                "max_attempts": rng.randrange(1, 3),
                "allow_anonymous": False,
            }
            for _ in range(routes)
        ],
    }


def make_servers(servers: int, rng: random.Random) -> dict[str, Any]:
    """Returns the objects of backend servers as stored, with random ids."""
    return {
        f"i-{rng.randrange(16**10):010x}": {
            "service": f"service-{rng.randrange(8)}",
            "address": f"10.{rng.randrange(4)}.{rng.randrange(256)}.{n % 256}:8389",
            "zone": f"zone-{rng.randrange(4)}",
            "version": "v1",
            "slots": rng.randrange(4, 10),
            "state": "ready",
            "born": rng.randrange(10**6),
            "cold_left_ms": 0,
            "seq": rng.randrange(100),
        }
        for n in range(servers)
    }


def print_row(name: str, count: int, content: Any) -> None:
    """Prints sizes in KB, and processor times of packing and unpacking in ms."""
    whole = len(msgpack.packb(content))
    began = time.process_time()
    packed = pack(content)
    packed_at = time.process_time()
    assert unpack(packed) == content
    unpacked_at = time.process_time()
    times = 1e3 * (packed_at - began), 1e3 * (unpacked_at - packed_at)
    click.echo(
        f"{name:8} {count:7,} {whole / 1e3:10.1f} {len(packed) / 1e3:10.1f} "
        f"{times[0]:8.1f} {times[1]:8.1f}"
    )


@click.command()
def main() -> None:
    """Prints one row for each number of routes and of backend servers."""
    rng = random.Random(SEED)
    click.echo("kind       count   whole KB  packed KB  pack ms unpack ms")
    for routes in ROUTES:
        print_row("routes", routes, make_config(routes, rng))
    for servers in SERVERS:
        print_row("servers", servers, make_servers(servers, rng))


if __name__ == "__main__":
    main()
