"""Commands that show the state of the system."""

from __future__ import annotations

import click

from cornelpin.cli._context import entry_options, output_option, read, wants_json
from cornelpin.cli._help import examples
from cornelpin.cli._output import echo_json, echo_sections, echo_table


@click.command()
@entry_options()
@output_option
def status() -> None:
    """Shows the processes, routes and tiers."""
    answer = read("/admin/v1/status")
    if wants_json():
        echo_json(answer)
    else:
        echo_sections(answer, ["processes", "routes", "tiers"])


@click.command(epilog=examples('{"moves": {"to-v2": {"state": "take_back"}}}'))
@entry_options()
@output_option
def moves() -> None:
    """Shows the moves with their state, share and reason.

    Moves are started, paused and taken back by patches of the configuration.
    """
    answer = read("/admin/v1/moves")
    if wants_json():
        echo_json(answer)
    else:
        echo_table(answer)
