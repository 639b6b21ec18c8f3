"""Commands that show the state of the system."""

from __future__ import annotations

import click

from cornelpin.cli._context import (
    entry_options,
    output_option,
    read_resource,
    wants_json,
)
from cornelpin.cli._help import examples
from cornelpin.cli._output import echo_json, echo_sections, echo_table

GATEWAY_SECTIONS = ["entries", "kinds", "evacuated", "servers"]


@click.command(epilog=examples("cornelpin status", "cornelpin status --gateway"))
@entry_options()
@output_option
@click.option(
    "--gateway",
    is_flag=True,
    help="The entry is one of the platform's gateway, and its URL that of its metrics.",
)
def status(gateway: bool) -> None:
    """Shows the processes, routes and tiers; of a gateway, which entries are behind."""
    result = read_resource("/status" if gateway else "/admin/v1/status")
    if wants_json():
        echo_json(result)
    elif gateway:
        echo_sections(result, GATEWAY_SECTIONS)
    else:
        echo_sections(result, ["processes", "routes", "tiers"])


@click.command(epilog=examples("cornelpin config patch --base 12 roll-back.json"))
@entry_options()
@output_option
def moves() -> None:
    """Shows the moves (changes of version) with state, share and reason.

    Moves are started, paused and rolled back by patching the configuration. The patch
    {"moves": {"to-v2": {"state": "take_back"}}} rolls the move to-v2 back.
    """
    result = read_resource("/admin/v1/moves")
    if wants_json():
        echo_json(result)
    else:
        echo_table(result)
