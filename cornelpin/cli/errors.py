"""Errors that end a command with an exit code."""

from __future__ import annotations

import click


class CommandError(click.ClickException):
    """An error with an exit code and advice.

    Args:
        message: What went wrong.
        exit_code: One of the constants of exit_codes.
        advice: What the user can do next.
    """

    def __init__(self, message: str, *, exit_code: int, advice: str) -> None:
        super().__init__(f"{message}\nNext: {advice}")
        # Click reads the code from the instance, though it declares a class variable.
        self.exit_code = exit_code  # type: ignore[misc]
