"""The configuration in force in this process; its number never decreases."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from cornelpin.core.config import Config
from cornelpin.core.sections import document_of

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.core.sections import Head


class ConfigView:
    """Holds the configuration in force and notifies listeners of a new one.

    Attributes:
        config: The configuration in force.
        head: Its head, None before any configuration is known.
        sections: Its sections by digest.
        applied_at: Monotonic time in seconds at which it came into force.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Callable[[Config], None]] = []
        self._has_config = threading.Event()
        self.config = Config()
        self.head: Head | None = None
        self.sections: Mapping[str, bytes] = {}
        self.applied_at = time.monotonic()

    @property
    def document(self) -> dict[str, Any]:
        """The document in force, as a new object for each access."""
        with self._lock:
            head, sections = self.head, self.sections
        return document_of(head, sections)

    def snapshot(self) -> tuple[Config, Head | None, Mapping[str, bytes]]:
        """Returns a consistent triple of configuration, head and sections by digest."""
        with self._lock:
            return self.config, self.head, self.sections

    @property
    def number(self) -> int:
        """The number in force, 0 before any configuration is known."""
        return self.config.number

    def wait_for_config(self, timeout_s: float) -> bool:
        """Waits until a configuration is in force."""
        return self._has_config.wait(timeout_s)

    def on_change(self, listener: Callable[[Config], None]) -> None:
        """Registers a listener, called in the thread that applies the change."""
        self._listeners.append(listener)

    def apply(
        self,
        config: Config,
        *,
        head: Head,
        sections: Mapping[str, bytes],
    ) -> bool:
        """Puts a configuration in force unless its number is not higher.

        Returns:
            Whether it is now in force.
        """
        with self._lock:
            if config.number <= self.config.number:
                return False
            self.config = config
            self.head = head
            self.sections = sections
            self.applied_at = time.monotonic()
            self._has_config.set()
            listeners = list(self._listeners)
        for listener in listeners:
            listener(config)
        return True
