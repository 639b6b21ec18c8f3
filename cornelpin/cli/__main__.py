"""Entry point of the command line."""

from __future__ import annotations

from cornelpin.cli.completion import PROGRAM
from cornelpin.cli.main import cli


def main() -> None:
    """Runs the command line."""
    cli(prog_name=PROGRAM)


if __name__ == "__main__":
    main()
