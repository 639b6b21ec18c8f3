"""Registries of the drivers for the platform's services."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Generic, TypeVar

if TYPE_CHECKING:
    from cornelpin.stores.hosts import HostList
    from cornelpin.stores.objects import ObjectStore

T = TypeVar("T")
D = TypeVar("D", bound=Callable[..., Any])


class Registry(Generic[T]):
    """Drivers for one of the platform's services, by kind.

    A driver class is registered with ``@registry(kind)``; ``registry.create`` makes a
    driver of a kind.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._drivers: dict[str, Callable[..., T]] = {}

    def __call__(self, kind: str) -> Callable[[D], D]:
        """Returns a decorator that registers a driver under a kind."""

        def register(driver: D) -> D:
            if kind in self._drivers:
                raise ValueError(f"{self._service} {kind!r} is already registered")
            self._drivers[kind] = driver
            return driver

        return register

    def kinds(self) -> tuple[str, ...]:
        """Returns the registered kinds, sorted."""
        return tuple(sorted(self._drivers))

    def create(self, kind: str, *, url: str, **options: Any) -> T:
        """Creates the driver of a kind for the service at a URL.

        Raises:
            ValueError: If the kind is not registered.
        """
        if kind not in self._drivers:
            valid = ", ".join(self.kinds())
            raise ValueError(f"{self._service} {kind!r} is not one of: {valid}")
        return self._drivers[kind](url=url, **options)


# Despite their names these are registries of drivers, not stores or lists.
object_store: Registry[ObjectStore] = Registry("object store")
host_list: Registry[HostList] = Registry("host list")
# Drivers for stores of model weights. This package has none, as backend servers read
# the weights themselves. The daemon's settings check the configured kind against this
# registry, so they accept only kinds that other code has registered before.
weight_store: Registry[Any] = Registry("weight store")
