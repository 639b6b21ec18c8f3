"""The root command, with all subcommands."""

from __future__ import annotations

import click

from cornelpin.cli._context import entry_options, output_option
from cornelpin.cli._help import exit_codes_help, lines
from cornelpin.cli.check import check
from cornelpin.cli.completion import completion
from cornelpin.cli.config import config
from cornelpin.cli.drain import drain
from cornelpin.cli.explain import explain
from cornelpin.cli.send import send
from cornelpin.cli.status import moves, status
from cornelpin.cli.timeline import timeline


@click.group(
    epilog=lines(
        "Examples",
        "export CORNELPIN_ENTRY=http://10.0.0.1:8000 CORNELPIN_TOKEN=...",
        "cornelpin config show",
        "cornelpin config patch --base 12 change.json",
        "cornelpin status --output json",
    )
    + "\n\n"
    + exit_codes_help()
)
@entry_options(env=True)
@output_option
def cli() -> None:
    """Operates cornelpin through any of its entries."""


for _command in (
    check,
    completion,
    config,
    drain,
    explain,
    moves,
    send,
    status,
    timeline,
):
    cli.add_command(_command)
