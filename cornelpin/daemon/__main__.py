"""Command line of the ``cornelpind`` daemon."""

from __future__ import annotations

import os
import signal
import sys
import threading

import click
from loguru import logger

from cornelpin.daemon.entry import Entry
from cornelpin.daemon.http.health import HealthApi
from cornelpin.daemon.http.server import HttpServer
from cornelpin.daemon.logs import set_up_logs
from cornelpin.daemon.process import Process
from cornelpin.daemon.process_limits import limit_heaps, raise_descriptor_limit
from cornelpin.daemon.settings import Settings, SettingsFaults, load_settings
from cornelpin.daemon.side import Side

HEALTH_THREADS = 2
EXIT_INVALID_SETTINGS = 2
EXIT_FORCED = 130


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="Settings file, JSON with comments.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(path: str, check: bool) -> None:
    """Runs one cornelpin process, an entry or a side as its settings specify.

    SIGTERM or SIGINT starts a graceful shutdown: the process accepts no new
    requests and finishes those in flight. A second signal exits at once. Exit
    codes: 0 after a graceful shutdown, 2 for invalid settings, 130 after a
    second signal.
    """
    settings = load_settings(path)
    if isinstance(settings, SettingsFaults):
        click.echo(str(settings), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    if check:
        click.echo(f"{path}: valid settings of {settings.role} {settings.name}")
        return
    run(settings)


def run(settings: Settings) -> None:
    """Runs the process until a signal has shut it down."""
    set_up_logs(settings)
    limit_heaps()
    raise_descriptor_limit(settings.limits.max_fds)
    process = Process(settings)
    role = Entry(process) if settings.role == "entry" else Side(process)
    signalled = threading.Event()

    def on_signal(signum: int, frame: object) -> None:
        if signalled.is_set():
            os._exit(EXIT_FORCED)
        signalled.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    role.start()
    if settings.role == "side" and settings.http_port is not None:
        _serve_health(process, settings.http_port)
    logger.info("started as {}, incarnation {}", settings.role, process.incarnation)
    while not signalled.wait(1.0):
        pass
    logger.info("stopping")
    process.stopping.set()
    role.drain()
    role.wait_idle()
    process.supervisor.stop()
    process.meters.stop()
    logger.info("stopped")


def _serve_health(process: Process, port: int) -> None:
    server = HttpServer(
        HealthApi(process).handle,
        address=process.settings.address,
        port=port,
        threads=HEALTH_THREADS,
        limits=process.settings.limits,
    )
    process.meters.add_http_gauges(server.resources)
    server.start()


if __name__ == "__main__":
    main()
