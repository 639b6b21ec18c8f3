"""Messages that spread a change of the configuration."""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(33)
@attrs.frozen
class ConfigNumber:
    """Announces the number in force at the sender."""

    number: int


@message(34)
@attrs.frozen
class ConfigAsk:
    """Asks for what follows on a number, 0 for everything."""

    number: int


@message(35)
@attrs.frozen
class ConfigFollow:
    """Asks to be sent each change at once."""


@message(36)
@attrs.frozen
class ConfigDelta:
    """Carries the patch that leads to a number from the one before.

    Attributes:
        number: Number of the configuration after the patch.
        patch: JSON merge patch.
        patch_id: Random identifier of the patch.
        author: Operator who submitted the patch.
        at: Unix time in seconds at which the patch was submitted.
        digest: Digest of the head that results.
    """

    number: int
    patch: bytes
    patch_id: str
    author: str
    at: float
    digest: str
