"""Reads what the store holds, for operators."""

from __future__ import annotations

from typing import Any

import attrs

from cornelpin.platform._backend_server import SERVER_KIND, decode_server
from cornelpin.platform._config import CONFIG_KIND, CONFIG_NAME
from cornelpin.platform._decoding import BadValue
from cornelpin.platform._store import Store
from cornelpin.scheduling.servers import BackendServer


@attrs.frozen
class Stored:
    """Objects of the store.

    Attributes:
        config: The configuration as stored; None if there is none.
        servers: The registered servers that can be used.
    """

    config: Any
    servers: tuple[BackendServer, ...]


async def read_store(address: tuple[str, int]) -> Stored:
    """Reads the configuration and the servers; changes nothing.

    Raises:
        StoreUnavailable: If the store does not respond.
    """
    store = Store(address)
    try:
        config = await store.get(CONFIG_KIND, CONFIG_NAME)
        listing = await store.list(SERVER_KIND)
    finally:
        store.close()
    servers = []
    for stored in listing.objects:
        try:
            servers.append(decode_server(stored.name, stored.spec))
        except BadValue:
            # Entries leave it out as well, and log it.
            continue
    return Stored(config.spec if config is not None else None, tuple(servers))
