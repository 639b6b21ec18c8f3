"""The command that prints shell completion scripts."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from cornelpin.cli._help import examples

PROGRAM = "cornelpin"
COMPLETE_VARIABLE = "_CORNELPIN_COMPLETE"


@click.command(epilog=examples("cornelpin completion bash > ~/.cornelpin-completion"))
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Prints the completion script for SHELL."""
    cls = get_completion_class(shell)
    if cls is None:
        raise click.UsageError(f"no completion for {shell}")
    root = ctx.find_root().command
    click.echo(cls(root, {}, PROGRAM, COMPLETE_VARIABLE).source())
