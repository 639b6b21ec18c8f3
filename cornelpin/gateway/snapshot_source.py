"""What an entry sends to others that copy its watch caches."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cornelpin.core.revision import Revision
from cornelpin.gateway.snapshots import KINDS, pack
from cornelpin.platform import CONFIG_KIND, CONFIG_NAME, config_version

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.gateway.watch_cache import WatchCache

IN_FORCE = "config.in_force"
"""Name under which messages and snapshots carry the configuration in force, in addition
to the store's objects: a restored store may hold an older one for some seconds."""
ERAS = "eras"
"""Name of the revisions in a whole snapshot."""


class SnapshotSource:
    """Builds the responses of a ``SnapshotServer`` from this entry's watch caches.

    Many entries ask for the same change at once, so each part is packed once.

    Args:
        caches: Watch caches by kind.
        config_in_force: Returns version and stored form of the configuration in force.
    """

    def __init__(
        self,
        caches: Mapping[str, WatchCache],
        config_in_force: Callable[[], tuple[int, Any]],
    ) -> None:
        self._caches = caches
        self._config_in_force = config_in_force
        # Packed parts by name, with the state that they hold.
        self._packed: dict[str, tuple[Any, bytes]] = {}

    def changes(self, request: Mapping[str, Any]) -> dict[str, Any]:
        """Returns the kinds that have changed since the revisions of a request.

        Each has its revision, that of its last change and its packed objects. The
        configuration in force is added if it is newer than the requested version and
        not among them.
        """
        kinds = {}
        for kind, cache in self._caches.items():
            if cache.changed > Revision.decode(request, kind):
                packed = self._pack(kind, cache.changed, cache.snapshot)
                kinds[kind] = [
                    cache.revision.export(kind),
                    cache.changed.export(kind),
                    packed,
                ]
        response: dict[str, Any] = {KINDS: kinds}
        version, spec = self._config_in_force()
        if (
            not self._stored_version_is(version)
            and version > Revision.decode(request, IN_FORCE).number
        ):
            response[IN_FORCE] = self._pack(IN_FORCE, version, lambda: spec)
        return response

    def whole(self) -> dict[str, Any]:
        """Returns revision and objects of each kind, as earlier builds expect them."""
        snapshot: dict[str, Any] = {
            kind: [cache.revision.number, cache.snapshot()]
            for kind, cache in self._caches.items()
        }
        version, spec = self._config_in_force()
        snapshot[ERAS] = {IN_FORCE: version}
        for kind, cache in self._caches.items():
            snapshot[ERAS] |= cache.revision.export(kind)
        if spec is not None and not self._stored_version_is(version):
            snapshot[IN_FORCE] = spec
        return snapshot

    def _stored_version_is(self, version: int) -> bool:
        stored = self._caches[CONFIG_KIND].objects.get(CONFIG_NAME)
        return stored is not None and config_version(stored.spec) == version

    def _pack(self, name: str, state: Any, content: Callable[[], Any]) -> bytes:
        known, packed = self._packed.get(name, (None, b""))
        if known != state:
            packed = pack(content())
            self._packed[name] = (state, packed)
        return packed
