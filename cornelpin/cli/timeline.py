"""The command that shows the timeline of events from all processes."""

from __future__ import annotations

from pathlib import Path

import click

from cornelpin.cli import exit_codes
from cornelpin.cli._context import JSON, TABLE, entry_options, read_resource, wants_json
from cornelpin.cli._help import examples
from cornelpin.cli._output import echo_json, echo_table, format_timestamp
from cornelpin.cli._timeline_html import render
from cornelpin.cli.errors import CommandError

HTML = "html"


@click.command(
    epilog=examples(
        "cornelpin timeline --request 4f0c",
        "cornelpin timeline --move to-v2 --output html move.html",
    )
)
@entry_options()
@click.option(
    "--output",
    type=click.Choice([TABLE, JSON, HTML]),
    help="Output format (default: table); html is written to FILE.",
)
@click.option("--request", metavar="ID", help="Only events of this request.")
@click.option("--move", metavar="NAME", help="Only events of this move.")
@click.option("--host", metavar="NAME", help="Only events on this host.")
@click.argument("file", required=False, type=click.Path(path_type=Path))
def timeline(
    output: str | None,
    request: str | None,
    move: str | None,
    host: str | None,
    file: Path | None,
) -> None:
    """Shows the events of all processes in chronological order."""
    output_format = output or (JSON if wants_json() else TABLE)
    if (output_format == HTML) != (file is not None):
        raise click.UsageError(
            "FILE is required with --output html and invalid without it"
        )
    events = read_resource("/admin/v1/timeline", request=request, move=move, host=host)
    if file is not None:
        _write(file, render(events))
    elif output_format == JSON:
        echo_json(events)
    else:
        echo_table(
            [{**event, "at": format_timestamp(event.get("at"))} for event in events]
        )


def _write(file: Path, page: str) -> None:
    try:
        file.write_text(page, encoding="utf-8")
    except OSError as exc:
        raise CommandError(
            f"cannot write {file}: {exc.strerror}",
            exit_code=exit_codes.FAILED,
            advice="give a file in a writable directory",
        ) from exc
    click.echo(f"written to {file}")
