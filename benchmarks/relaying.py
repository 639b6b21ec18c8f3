"""Compares the cost of relaying streams: thread per request against event loop.

``python -m benchmarks.relaying`` relays concurrent streams from one stand-in of a
backend server and prints memory, processor time and event delay of each variant.
"""

from __future__ import annotations

import asyncio
import http.client
import multiprocessing
import resource
import threading
import time
from typing import TYPE_CHECKING

import click
from waitress.server import create_server

from cornelpin.gateway.event_stream import EventSplitter
from cornelpin.http1.client import HttpConnection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator
    from multiprocessing.connection import Connection

EVENTS = 60
EVENT_INTERVAL_S = 0.025
"""Interval of the events of an engine at typical speed and with a full batch."""
KIB_PER_MIB = 1024


async def _upstream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(EVENTS):
        await asyncio.sleep(EVENT_INTERVAL_S)
        event = f"id: 1\ndata: {time.monotonic()}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    writer.close()


def _serve_upstream(port: int) -> None:
    async def run() -> None:
        server = await asyncio.start_server(_upstream, "127.0.0.1", port, backlog=512)
        await server.serve_forever()

    asyncio.run(run())


def _threads(port: int, upstream: int, streams: int) -> None:
    def app(environ: dict, start_response: Callable[..., object]) -> Iterable[bytes]:
        conn = http.client.HTTPConnection("127.0.0.1", upstream)
        conn.request("GET", "/")
        res = conn.getresponse()
        start_response("200 OK", [])

        def parts() -> Iterator[bytes]:
            while data := res.read1(65_536):
                yield data

        return parts()

    server = create_server(
        app,
        host="127.0.0.1",
        port=port,
        threads=streams,
        connection_limit=4 * streams,
    )
    server.run()


def _event_loop(port: int, upstream: int, streams: int) -> None:
    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        conn = await HttpConnection.open(("127.0.0.1", upstream))
        conn.send(b"GET", b"/", [(b"host", b"h")], ())
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        splitter = EventSplitter()
        # A part is an h11 Response (headers), Data (data) or EndOfMessage, which has
        # headers as well: the trailers.
        while hasattr(part := await conn.next_event(), "headers") or hasattr(
            part, "data"
        ):
            if hasattr(part, "data"):
                for event in splitter.feed(bytes(part.data)):
                    writer.write(event.data)
            elif type(part).__name__ == "EndOfMessage":
                break
        await writer.drain()
        conn.close()
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(relay, "127.0.0.1", port, backlog=512)
        await server.serve_forever()

    asyncio.run(run())


def _run_measured(variant: Callable[..., None], pipe: Connection, *args: int) -> None:
    """Runs a relay and sends its processor time and peak memory on request."""

    def report() -> None:
        pipe.recv()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        pipe.send((usage.ru_utime + usage.ru_stime, usage.ru_maxrss / KIB_PER_MIB))

    threading.Thread(target=report, daemon=True).start()
    variant(*args)


async def _client(port: int, delays: list[float]) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    while line := await reader.readline():
        if line.startswith(b"data: "):
            delays.append(time.monotonic() - float(line[6:]))
    writer.close()


async def _clients(port: int, streams: int) -> list[float]:
    delays: list[float] = []
    await asyncio.gather(*(_client(port, delays) for _ in range(streams)))
    return sorted(delays)


@click.command()
@click.option("--streams", default=100, show_default=True)
def main(streams: int) -> None:
    """Measures both variants and prints one row for each.

    The column "way" is the variant, "MB" its peak memory in MiB.
    """
    upstream = multiprocessing.Process(
        target=_serve_upstream, args=(28_100,), daemon=True
    )
    upstream.start()
    click.echo(
        f"{'way':<12}{'cpu s':>7}{'MB':>7}{'p50 ms':>8}{'p99 ms':>8}{'events':>8}"
    )
    for number, variant in enumerate((_threads, _event_loop)):
        parent_end, child_end = multiprocessing.Pipe()
        port = 28_101 + number
        args = (variant, child_end, port, 28_100, streams)
        process = multiprocessing.Process(target=_run_measured, args=args, daemon=True)
        process.start()
        time.sleep(1.0)
        delays = asyncio.run(_clients(port, streams))
        parent_end.send("report")
        cpu_s, memory_mib = parent_end.recv()
        process.kill()
        p50, p99 = (delays[int(q * len(delays))] * 1e3 for q in (0.5, 0.99))
        click.echo(
            f"{variant.__name__[1:]:<12}{cpu_s:>7.2f}{memory_mib:>7.1f}{p50:>8.1f}{p99:>8.1f}"
            f"{len(delays):>8}"
        )
    upstream.kill()


if __name__ == "__main__":
    main()
