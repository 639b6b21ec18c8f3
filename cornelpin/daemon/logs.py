"""Sets up logging. Lines report changes of state only; counts are metrics."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from cornelpin.daemon.settings import Settings

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[process]} {message}"


def set_up_logs(settings: Settings) -> None:
    """Writes log lines to standard error as text or JSON."""
    logger.remove()
    logger.configure(extra={"process": settings.name})
    logger.add(
        sys.stderr,
        level=settings.log.level.upper(),
        format=TEXT_FORMAT,
        serialize=settings.log.format == "json",
    )
