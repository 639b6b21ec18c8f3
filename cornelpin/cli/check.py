"""The command that checks a settings or configuration file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from cornelpin.cli import exit_codes
from cornelpin.cli._context import output_option, wants_json
from cornelpin.cli._help import examples
from cornelpin.cli._output import echo_json
from cornelpin.cli.errors import CommandError
from cornelpin.core.config import ConfigFaults, Fault, parse_config
from cornelpin.core.documents import Unreadable, read_document
from cornelpin.daemon.settings import SettingsFaults, parse_settings

SETTINGS = "settings"
CONFIGURATION = "configuration"


@click.command(epilog=examples("cornelpin check entry.jsonc"))
@output_option
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Checks FILE: the settings of a daemon, or a configuration document.

    A document with a "role" is checked as settings. Every fault is reported with its
    path.
    """
    document = read_document(file)
    if isinstance(document, Unreadable):
        raise CommandError(
            str(document),
            exit_code=exit_codes.INVALID,
            advice="give a readable JSON file (comments are allowed)",
        )
    kind, faults = _faults(document.value)
    if wants_json():
        echo_json({"file": str(file), "kind": kind, "faults": as_rows(faults)})
    elif not faults:
        click.echo(f"{file}: valid {kind}")
    if faults:
        raise invalid_document(f"{file}: invalid {kind}", faults)


def invalid_document(message: str, faults: tuple[Fault, ...]) -> CommandError:
    """Returns the error for a document with faults."""
    lines = [message, *(f"  {fault}" for fault in faults)]
    return CommandError(
        "\n".join(lines),
        exit_code=exit_codes.INVALID,
        advice="correct the values listed above and try again",
    )


def as_rows(faults: tuple[Fault, ...]) -> list[dict[str, Any]]:
    """Returns faults as JSON objects."""
    return [{"path": f.path, "value": f.value, "valid": f.valid} for f in faults]


def _faults(value: Any) -> tuple[str, tuple[Fault, ...]]:
    if isinstance(value, dict) and "role" in value:
        settings = parse_settings(value)
        settings_faults = (
            settings.faults if isinstance(settings, SettingsFaults) else ()
        )
        return SETTINGS, settings_faults
    config = parse_config(value)
    return CONFIGURATION, config.faults if isinstance(config, ConfigFaults) else ()
