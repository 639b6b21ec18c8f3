"""The command that sends a completion request."""

from __future__ import annotations

import click

from cornelpin.cli import exit_codes
from cornelpin.cli._context import (
    command_error,
    entry_options,
    make_client,
    output_option,
    wants_json,
)
from cornelpin.cli._help import examples
from cornelpin.cli._output import echo_json
from cornelpin.cli.client import OutcomeUnknown, Success
from cornelpin.cli.errors import CommandError

DEFAULT_TIMEOUT_S = 600.0
DEFAULT_MAX_TOKENS = 256


@click.command(
    epilog=examples(
        'cornelpin send --route furnace --tier quench "Why did the curve drop?"'
    )
)
@entry_options()
@output_option
@click.option("--route", required=True, help="Route of the model.")
@click.option("--tier", help="Tier (default: that of the route).")
@click.option("--key", help="Idempotency key: a retry with it gets the same response.")
@click.option("--max-tokens", type=click.IntRange(min=1), default=DEFAULT_MAX_TOKENS)
@click.option(
    "--timeout-s",
    type=click.FloatRange(min=0, min_open=True),
    default=DEFAULT_TIMEOUT_S,
    help="Deadline in seconds.",
)
@click.argument("prompt")
def send(
    route: str,
    tier: str | None,
    key: str | None,
    max_tokens: int,
    timeout_s: float,
    prompt: str,
) -> None:
    """Sends PROMPT as a completion request with a workspace's token."""
    headers = {"X-Cornelpin-Timeout-S": f"{timeout_s:g}"}
    if tier is not None:
        headers["X-Cornelpin-Tier"] = tier
    if key is not None:
        headers["Idempotency-Key"] = key
    body = {"model": route, "prompt": prompt, "max_tokens": max_tokens}
    client = make_client(timeout_s=timeout_s)
    outcome = client.post("/v1/completions", body, headers=headers)
    if isinstance(outcome, OutcomeUnknown):
        raise _unknown_outcome(outcome, key)
    if not isinstance(outcome, Success):
        raise command_error(outcome)
    if wants_json():
        echo_json(outcome.value)
    else:
        click.echo(outcome.value["choices"][0]["text"])


def _unknown_outcome(outcome: OutcomeUnknown, key: str | None) -> CommandError:
    repeat = f"retry with the same --key {key}; it never runs twice"
    return CommandError(
        f"outcome unknown, the request may have run: {outcome.reason}",
        exit_code=exit_codes.OUTCOME_UNKNOWN,
        advice=repeat if key else "give a --key next time, so that a retry is safe",
    )
