"""Settings of the gateway that the platform doesn't provide: environment variables."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.platform import BadValue
from cornelpin.scheduling.hedging import HedgingPolicy
from cornelpin.scheduling.valuation import Valuation

if TYPE_CHECKING:
    from collections.abc import Mapping

PREFIX = "CORNELPIN_VALUE_"
"""Prefix of the variables for the fields of ``Valuation``, as in
``CORNELPIN_VALUE_LATE``."""

HEDGE_PREFIX = "CORNELPIN_HEDGE_"
"""Prefix of the variables for the fields of ``HedgingPolicy``."""


def load_hedging(environ: Mapping[str, str]) -> HedgingPolicy:
    """Reads which part of the requests may be hedged; none without the variable.

    Raises:
        BadValue: If a variable is unknown, not a number or out of range.
    """
    names = {HEDGE_PREFIX + f.name.upper(): f.name for f in attrs.fields(HedgingPolicy)}
    fields: dict[str, Any] = {}
    for variable, text in environ.items():
        if not variable.startswith(HEDGE_PREFIX):
            continue
        if variable not in names:
            valid = ", ".join(names)
            raise BadValue(f"{variable}: unknown setting; valid names: {valid}")
        fields[names[variable]] = text
    streams = fields.get("streams", "0")
    if streams not in {"0", "1"}:
        raise BadValue(f"{HEDGE_PREFIX}STREAMS={streams!r}: valid values: 0, 1")
    try:
        return HedgingPolicy(
            share=float(fields.get("share", 0.0)),
            streams=streams == "1",
            routes_off=_names(fields.get("routes_off", "")),
            workspaces_off=_names(fields.get("workspaces_off", "")),
        )
    except ValueError as exc:
        name, text = f"{HEDGE_PREFIX}SHARE", fields["share"]
        raise BadValue(f"{name}={text!r}: {exc}") from exc


def _names(text: str) -> frozenset[str]:
    """Returns the names in a list separated by commas."""
    return frozenset(name.strip() for name in text.split(",") if name.strip())


def load_valuation(environ: Mapping[str, str]) -> Valuation:
    """Reads the relative values of responses; fields not set keep their defaults.

    Raises:
        BadValue: If a variable is unknown, not a number or out of range.
    """
    names = {PREFIX + f.name.upper(): f.name for f in attrs.fields(Valuation)}
    values: dict[str, float] = {}
    for variable, text in environ.items():
        if not variable.startswith(PREFIX):
            continue
        if variable not in names:
            valid = ", ".join(sorted(names))
            raise BadValue(f"{variable}: unknown setting; valid names: {valid}")
        try:
            values[names[variable]] = float(text)
            Valuation(**{names[variable]: float(text)})
        except ValueError as exc:
            raise BadValue(f"{variable}={text!r}: {exc}") from exc
    return Valuation(**values)
