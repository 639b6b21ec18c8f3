"""A request scheduler for small teams that run different inference engines."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
