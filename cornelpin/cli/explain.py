"""The command that traces one request through the logs of the gateway's entries.

The request id is the one that the caller sent to the gateway, not one of the ids
(``r-...``) that an entry of the daemon assigns.
"""

from __future__ import annotations

import itertools
import sys
from typing import IO

import click

from cornelpin.cli import exit_codes
from cornelpin.cli._context import output_option, wants_json
from cornelpin.cli._help import examples
from cornelpin.cli._output import echo_json
from cornelpin.cli.errors import CommandError
from cornelpin.gateway.request_trace import format_line, parse_lines, trace_request


@click.command(
    epilog=examples(
        "cornelpin explain 9c41d07be2a35f68 logs/*.log",
        "cat logs/*.log | cornelpin explain 9c41d07be2a35f68",
    )
)
@output_option
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File("r", errors="replace"))
def explain(request_id: str, files: tuple[IO[str], ...]) -> None:
    """Shows the log lines related to one request, from FILES or standard input."""
    lines = parse_lines(itertools.chain.from_iterable(files or (sys.stdin,)))
    request_lines = trace_request(lines, request_id)
    if not request_lines:
        raise CommandError(
            f"no log line of request {request_id}",
            exit_code=exit_codes.FAILED,
            advice="give the logs of all entries; an entry may have dropped log lines",
        )
    if wants_json():
        echo_json(request_lines)
        return
    for line in request_lines:
        click.echo(format_line(line))
