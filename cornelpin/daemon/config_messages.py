"""Messages that propagate changes of the configuration between processes."""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(33)
@attrs.frozen
class ConfigNumber:
    """Announces the configuration number in force at the sender."""

    number: int


@message(34)
@attrs.frozen
class ConfigAsk:
    """Requests all changes after a number; 0 requests the full configuration."""

    number: int


@message(35)
@attrs.frozen
class ConfigFollow:
    """Subscribes to the patch of each change."""


@message(36)
@attrs.frozen
class ConfigDelta:
    """Carries the patch from the previous number to this one.

    Attributes:
        number: Number of the configuration after the patch.
        patch: JSON merge patch.
        patch_id: Random identifier of the patch.
        author: Operator who submitted the patch.
        at: Unix time in seconds at which the patch was submitted.
        digest: Digest of the configuration head (``core.sections.Head``) after the
            patch.
    """

    number: int
    patch: bytes
    patch_id: str
    author: str
    at: float
    digest: str
