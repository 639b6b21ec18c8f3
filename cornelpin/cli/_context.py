"""Options shared by the commands, and the client that they configure."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import click

from cornelpin.cli import exit_codes
from cornelpin.cli.client import (
    DEFAULT_TIMEOUT_S,
    Client,
    Outcome,
    OutcomeUnknown,
    Refusal,
    Success,
    Unreachable,
)
from cornelpin.cli.errors import CommandError

F = TypeVar("F", bound=Callable[..., Any])

TABLE = "table"
JSON = "json"
_META_PREFIX = "cornelpin."
_CHECK_ENTRY_ADVICE = "check the --entry URL and that the entry runs, or try another"


def _store_option(ctx: click.Context, param: click.Parameter, value: Any) -> None:
    # An option of the command overrides the same option of the group.
    if value is not None:
        ctx.meta[_META_PREFIX + str(param.name)] = value


def _check_token(ctx: click.Context, param: click.Parameter, value: Any) -> None:
    if value is not None and not (value.isascii() and value.isprintable()):
        raise click.BadParameter("a token must consist of printable ASCII characters")
    _store_option(ctx, param, value)


def entry_options(*, env: bool = False) -> Callable[[F], F]:
    """Adds the options for the entry to call and its bearer token.

    Args:
        env: Whether the options fall back to the environment; True for the group.
    """

    def decorate(func: F) -> F:
        func = click.option(
            "--token",
            envvar="CORNELPIN_TOKEN" if env else None,
            callback=_check_token,
            expose_value=False,
            help="Bearer token (environment: CORNELPIN_TOKEN).",
        )(func)
        return click.option(
            "--entry",
            metavar="URL",
            envvar="CORNELPIN_ENTRY" if env else None,
            callback=_store_option,
            expose_value=False,
            help="Base URL of an entry (environment: CORNELPIN_ENTRY).",
        )(func)

    return decorate


def output_option(func: F) -> F:
    """Adds the option for the output format."""
    return click.option(
        "--output",
        type=click.Choice([TABLE, JSON]),
        callback=_store_option,
        expose_value=False,
        help="Output format (default: table).",
    )(func)


def wants_json() -> bool:
    """Whether JSON output was requested."""
    meta = click.get_current_context().meta
    return bool(meta.get(_META_PREFIX + "output") == JSON)


def make_client(*, timeout_s: float = DEFAULT_TIMEOUT_S) -> Client:
    """Returns a client for the entry that the options name."""
    meta = click.get_current_context().meta
    url = meta.get(_META_PREFIX + "entry")
    if url is None:
        raise click.UsageError("no entry given: use --entry URL or set CORNELPIN_ENTRY")
    try:
        return Client(url, token=meta.get(_META_PREFIX + "token"), timeout_s=timeout_s)
    except ValueError as exc:
        raise click.UsageError(f"--entry: {exc}") from exc


def read_resource(path: str, **query: object) -> Any:
    """Returns a resource of the entry.

    Raises:
        CommandError: If the entry refuses or cannot be reached.
    """
    outcome = make_client().get(path, **query)
    if isinstance(outcome, Success):
        return outcome.value
    if isinstance(outcome, OutcomeUnknown):
        # A read has no effect, so a missing response is a plain failure.
        outcome = Unreachable(outcome.reason)
    raise command_error(outcome)


def command_error(outcome: Outcome) -> CommandError:
    """Returns the error for an outcome other than success."""
    if isinstance(outcome, Unreachable):
        return CommandError(
            f"cannot reach the entry: {outcome.reason}",
            exit_code=exit_codes.UNREACHABLE,
            advice=_CHECK_ENTRY_ADVICE,
        )
    if isinstance(outcome, OutcomeUnknown):
        return CommandError(
            f"outcome unknown, no complete response received: {outcome.reason}",
            exit_code=exit_codes.OUTCOME_UNKNOWN,
            advice="check whether it took effect before trying again",
        )
    assert isinstance(outcome, Refusal)
    return _refusal(outcome)


def _refusal(refusal: Refusal) -> CommandError:
    message = f"refused ({refusal.status}): {refusal.reason}"
    if refusal.may_have_run:
        return CommandError(
            f"{message}; it may have taken effect",
            exit_code=exit_codes.OUTCOME_UNKNOWN,
            advice="check whether it took effect before trying again",
        )
    return CommandError(message, exit_code=exit_codes.FAILED, advice=_advice(refusal))


def _advice(refusal: Refusal) -> str:
    if refusal.status in (401, 403):
        return "check --token and the permissions of its owner"
    if refusal.status in (429, 503):
        wait = refusal.problem.get("retry_after_s")
        return f"try again in {wait} s" if wait else "try again later"
    return "correct the request and try again"
