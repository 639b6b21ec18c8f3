"""Settings of the gateway that the platform doesn't provide: environment variables."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
    name = f"{HEDGE_PREFIX}SHARE"
    unknown = sorted(v for v in environ if v.startswith(HEDGE_PREFIX) and v != name)
    if unknown:
        raise BadValue(f"{unknown[0]}: unknown setting; valid names: {name}")
    if name not in environ:
        return HedgingPolicy()
    try:
        return HedgingPolicy(share=float(environ[name]))
    except ValueError as exc:
        raise BadValue(f"{name}={environ[name]!r}: {exc}") from exc


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
