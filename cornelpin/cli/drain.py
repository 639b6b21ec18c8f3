"""The command that drains a host."""

from __future__ import annotations

import click

from cornelpin.cli import exit_codes
from cornelpin.cli._context import (
    entry_options,
    output_option,
    read_resource,
    wants_json,
)
from cornelpin.cli._help import examples
from cornelpin.cli._output import echo_json
from cornelpin.cli._patches import accepted_number, is_stale, submit
from cornelpin.cli.errors import CommandError
from cornelpin.core._checking import format_names

MAX_PATCH_ATTEMPTS = 5


@click.command(epilog=examples("cornelpin drain furnace-host-3"))
@entry_options()
@output_option
@click.argument("host")
def drain(host: str) -> None:
    """Drains HOST: marks it as leaving, so that it receives no new work.

    If another patch is accepted first, submits the change again on the new number.
    """
    number, changed = _drain(host)
    if wants_json():
        echo_json({"host": host, "number": number, "changed": changed})
    elif changed:
        click.echo(f"{host} is marked as leaving as of configuration number {number}")
    else:
        click.echo(
            f"{host} was already marked as leaving at configuration number {number}"
        )


def _drain(host: str) -> tuple[int, bool]:
    for attempt in range(MAX_PATCH_ATTEMPTS):
        current = read_resource("/admin/v1/config")
        base = current["number"]
        hosts = current["document"].get("hosts", {})
        if host not in hosts:
            raise CommandError(
                f"the configuration has no host {host!r}; valid: {format_names(hosts)}",
                exit_code=exit_codes.INVALID,
                advice="name one of these hosts",
            )
        if hosts[host].get("leaving"):
            return base, False
        outcome = submit(base, {"hosts": {host: {"leaving": True}}})
        if not is_stale(outcome) or attempt == MAX_PATCH_ATTEMPTS - 1:
            break
    return accepted_number(outcome, base=base), True
