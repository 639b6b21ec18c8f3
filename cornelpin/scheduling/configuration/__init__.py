"""Checks of a configuration before it is in force."""

from __future__ import annotations

from cornelpin.scheduling.configuration._differences import Difference, differences
from cornelpin.scheduling.configuration._findings import Finding
from cornelpin.scheduling.configuration._limits import contradictions
from cornelpin.scheduling.configuration._matching import unmatched

__all__ = ["Difference", "Finding", "contradictions", "differences", "unmatched"]
