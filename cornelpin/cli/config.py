"""Commands that show and patch the configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from cornelpin.cli import exit_codes
from cornelpin.cli._context import (
    entry_options,
    output_option,
    read_resource,
    wants_json,
)
from cornelpin.cli._help import examples
from cornelpin.cli._output import echo_json, echo_sections, echo_table, format_timestamp
from cornelpin.cli._patches import accepted_number, submit
from cornelpin.cli.config_check import check
from cornelpin.cli.errors import CommandError
from cornelpin.core.documents import Unreadable, read_document
from cornelpin.core.patch import diff as diff_documents, merge_patch

HISTORY_PATH = "/admin/v1/config/history"


@click.group()
def config() -> None:
    """Shows and patches the configuration."""


@config.command()
@entry_options()
@output_option
def show() -> None:
    """Shows the configuration and its number.

    With --output json both are printed as one object. Otherwise the number goes to
    stderr, so that the document can be redirected to a file.
    """
    current = read_resource("/admin/v1/config")
    if wants_json():
        echo_json(current)
        return
    click.echo(f"configuration number {current['number']}", err=True)
    echo_json(current["document"])


@config.command(epilog=examples("cornelpin config patch --base 12 pause-move.json"))
@entry_options()
@output_option
@click.option(
    "--base",
    type=click.IntRange(min=0),
    required=True,
    help="Number of the configuration that the patch is based on.",
)
@click.argument("file", type=click.Path(path_type=Path, allow_dash=True))
def patch(base: int, file: Path) -> None:
    """Submits the JSON merge patch (RFC 7396) in FILE; - reads standard input."""
    document = read_document(Path("/dev/stdin") if str(file) == "-" else file)
    if isinstance(document, Unreadable):
        raise CommandError(
            str(document),
            exit_code=exit_codes.INVALID,
            advice="give a readable file that holds a JSON merge patch",
        )
    number = accepted_number(submit(base, document.value), base=base)
    if wants_json():
        echo_json({"number": number})
    else:
        click.echo(f"accepted as configuration number {number}")


@config.command()
@entry_options()
@output_option
def status() -> None:
    """Shows which configuration number each process uses, and which ones lag."""
    current = read_resource("/admin/v1/config/status")
    if wants_json():
        echo_json(current)
        return
    click.echo(f"configuration number {current['number']}")
    echo_sections(current, ["processes"])


@config.command()
@entry_options()
@output_option
@click.option(
    "--from", "first", type=click.IntRange(min=1), help="First number to show."
)
@click.option("--to", "last", type=click.IntRange(min=1), help="Last number to show.")
def history(first: int | None, last: int | None) -> None:
    """Shows the accepted patches with their authors."""
    entries = read_resource(HISTORY_PATH, **{"from": first, "to": last})
    if wants_json():
        echo_json(entries)
        return
    echo_table(
        [{**entry, "at": format_timestamp(entry.get("at"))} for entry in entries]
    )


@config.command()
@entry_options()
@output_option
@click.argument("old", metavar="N", type=click.IntRange(min=0))
@click.argument("new", metavar="M", type=click.IntRange(min=0))
def diff(old: int, new: int) -> None:
    """Shows the merge patch from configuration number N to number M."""
    last = max(old, new)
    entries = read_resource(HISTORY_PATH, **{"from": 1, "to": last}) if last else []
    documents = _rebuild_documents(entries)
    for number in (old, new):
        if number not in documents:
            raise CommandError(
                f"the history does not hold every patch up to number {number}",
                exit_code=exit_codes.FAILED,
                advice="see 'cornelpin config history' for the available numbers",
            )
    echo_json(diff_documents(documents[old], documents[new]))


config.add_command(check)


def _rebuild_documents(entries: list[dict[str, Any]]) -> dict[int, dict[str, Any]]:
    """Rebuilds the documents by number, up to the first gap in the history."""
    documents: dict[int, dict[str, Any]] = {0: {}}
    for entry in sorted(entries, key=lambda entry: int(entry["number"])):
        previous = documents.get(entry["number"] - 1)
        if previous is None:
            break
        documents[entry["number"]] = merge_patch(previous, entry["patch"])
    return documents
