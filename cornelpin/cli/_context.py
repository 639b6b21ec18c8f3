"""Options that the commands share, and the client that they lead to."""

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
_META = "cornelpin."
_CHECK_ENTRY = "check --entry and whether the entry runs, or try another entry"


def _store(ctx: click.Context, param: click.Parameter, value: Any) -> None:
    # A value given to a command wins over one given to the group above it.
    if value is not None:
        ctx.meta[_META + str(param.name)] = value


def _check_token(ctx: click.Context, param: click.Parameter, value: Any) -> None:
    if value is not None and not (value.isascii() and value.isprintable()):
        raise click.BadParameter("a token consists of printable ASCII characters")
    _store(ctx, param, value)


def entry_options(*, env: bool = False) -> Callable[[F], F]:
    """Adds the options that say which entry to call and with which token.

    Args:
        env: Whether the options read the environment, as they do on the group.
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
            callback=_store,
            expose_value=False,
            help="Base URL of an entry (environment: CORNELPIN_ENTRY).",
        )(func)

    return decorate


def output_option(func: F) -> F:
    """Adds the option for the form of the output."""
    return click.option(
        "--output",
        type=click.Choice([TABLE, JSON]),
        callback=_store,
        expose_value=False,
        help="Form of the output; table is the default.",
    )(func)


def wants_json() -> bool:
    """Whether the output is to be JSON."""
    meta = click.get_current_context().meta
    return bool(meta.get(_META + "output") == JSON)


def make_client(*, timeout_s: float = DEFAULT_TIMEOUT_S) -> Client:
    """Returns the client of the entry that the options name."""
    meta = click.get_current_context().meta
    url = meta.get(_META + "entry")
    if url is None:
        raise click.UsageError("give --entry URL or set CORNELPIN_ENTRY")
    try:
        return Client(url, token=meta.get(_META + "token"), timeout_s=timeout_s)
    except ValueError as exc:
        raise click.UsageError(f"--entry: {exc}") from exc


def read(path: str, **query: object) -> Any:
    """Reads a resource of the entry or ends the command."""
    outcome = make_client().get(path, **query)
    if isinstance(outcome, Success):
        return outcome.value
    if isinstance(outcome, OutcomeUnknown):
        # A read changes nothing, so that a lost answer is no more than a failure.
        outcome = Unreachable(outcome.reason)
    raise failure(outcome)


def failure(outcome: Outcome) -> CommandError:
    """Returns the error for an outcome that is not an answer."""
    if isinstance(outcome, Unreachable):
        return CommandError(
            f"the entry can't be reached: {outcome.reason}",
            exit_code=exit_codes.UNREACHABLE,
            advice=_CHECK_ENTRY,
        )
    if isinstance(outcome, OutcomeUnknown):
        return CommandError(
            f"undecided, since no answer came: {outcome.reason}",
            exit_code=exit_codes.UNDECIDED,
            advice="look whether it took effect before you repeat it",
        )
    assert isinstance(outcome, Refusal)
    return _refusal(outcome)


def _refusal(refusal: Refusal) -> CommandError:
    message = f"refused ({refusal.status}): {refusal.reason}"
    if refusal.may_have_run:
        return CommandError(
            f"{message}; it may have taken effect",
            exit_code=exit_codes.UNDECIDED,
            advice="look whether it took effect before you repeat it",
        )
    return CommandError(message, exit_code=exit_codes.FAILED, advice=_advice(refusal))


def _advice(refusal: Refusal) -> str:
    if refusal.status in (401, 403):
        return "check --token and what its owner may do"
    if refusal.status in (429, 503):
        wait = refusal.problem.get("retry_after_s")
        return f"try again in {wait} s" if wait else "try again later"
    return "correct the request and try again"
