"""The command that checks a gateway's configuration before it is written."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import attrs
import click

from cornelpin.cli import exit_codes
from cornelpin.cli._context import output_option, wants_json
from cornelpin.cli._help import examples
from cornelpin.cli._output import echo_json
from cornelpin.cli.errors import CommandError
from cornelpin.core.documents import Unreadable, read_document
from cornelpin.platform import (
    BadValue,
    ConfigDecoder,
    HostSettings,
    Stored,
    StoreUnavailable,
    config_faults,
    load_host_settings,
    read_store,
)
from cornelpin.scheduling.configuration import (
    Difference,
    Finding,
    contradictions,
    differences,
    unmatched,
)
from cornelpin.scheduling.routing import RoutingConfig


@click.command(
    epilog=examples(
        "cornelpin config check next.json --settings entry.json",
        "cornelpin config check next.json --in-force current.json",
    )
)
@output_option
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=Path),
    help="Settings of an entry: its store, regions and retry budget.",
)
@click.option(
    "--in-force",
    "in_force_file",
    type=click.Path(path_type=Path),
    help="The configuration in force, instead of that of the store.",
)
@click.option(
    "--hedge-share",
    type=click.FloatRange(0.0, 1.0),
    default=0.0,
    envvar="CORNELPIN_HEDGE_SHARE",
    help="Part of the requests that entries may hedge.",
)
@click.argument("file", type=click.Path(path_type=Path))
def check(
    file: Path,
    settings_file: Path | None,
    in_force_file: Path | None,
    hedge_share: float,
) -> None:
    """Checks FILE, the next configuration of a gateway; changes nothing.

    Shows what entries would reject, what can never match, which limits contradict each
    other, and what differs from the configuration in force.
    """
    spec = _read(file)
    settings = _read_settings(settings_file)
    stored = _read_store(settings) if settings is not None else None
    in_force = stored.config if stored is not None else None
    if in_force_file is not None:
        in_force = _read(in_force_file)
    findings, changes = check_config(
        spec,
        in_force,
        settings=settings,
        stored=stored,
        hedge_share=hedge_share,
    )
    _show(file, findings, changes)
    if findings:
        sys.exit(exit_codes.FAILED)


def check_config(
    spec: Any,
    in_force: Any = None,
    *,
    settings: HostSettings | None = None,
    stored: Stored | None = None,
    hedge_share: float = 0.0,
) -> tuple[list[Finding], list[Difference]]:
    """Returns what is wrong with a configuration, and what it changes.

    Args:
        spec: The configuration as it is to be stored.
        in_force: The one in force, likewise; None if it is not known.
        settings: Settings of an entry.
        stored: What the store holds.
        hedge_share: Part of the requests that entries may hedge.
    """
    faults = config_faults(spec)
    if faults:
        return faults, []
    config = ConfigDecoder().decode(spec)
    findings = unmatched(
        config,
        regions=settings.regions if settings is not None else None,
        servers=stored.servers if stored is not None else None,
    )
    findings += contradictions(
        config,
        retry_ratio=settings.bounds.retry_ratio if settings is not None else None,
        hedge_share=hedge_share,
    )
    if in_force is None:
        return findings, []
    if config_faults(in_force):
        return [*findings, Finding("in force", "it is not valid itself")], []
    before = ConfigDecoder().decode(in_force)
    return [*_version(before, config), *findings], differences(before, config)


def _version(before: RoutingConfig, after: RoutingConfig) -> list[Finding]:
    if after.version > before.version:
        return []
    reason = f"{after.version} is not above {before.version}, which entries keep"
    return [Finding("version", reason, f"use {before.version + 1} or more")]


def _show(file: Path, findings: list[Finding], changes: list[Difference]) -> None:
    if wants_json():
        echo_json(
            {
                "file": str(file),
                "findings": [attrs.asdict(finding) for finding in findings],
                "differences": [attrs.asdict(change) for change in changes],
            }
        )
        return
    for line in (*findings, *changes):
        click.echo(str(line))
    if not findings:
        click.echo(f"{file}: nothing found")


def _read(file: Path) -> Any:
    document = read_document(file)
    if isinstance(document, Unreadable):
        raise _unreadable(str(document))
    return document.value


def _read_settings(file: Path | None) -> HostSettings | None:
    if file is None:
        return None
    try:
        return load_host_settings(file)
    except BadValue as exc:
        raise _unreadable(str(exc)) from exc


def _read_store(settings: HostSettings) -> Stored:
    try:
        return asyncio.run(read_store(settings.store))
    except StoreUnavailable as exc:
        raise _unreadable(f"the store can't be read: {exc}") from exc


def _unreadable(message: str) -> CommandError:
    return CommandError(
        message,
        exit_code=exit_codes.INVALID,
        advice="give a readable file, or --in-force instead of the store",
    )
