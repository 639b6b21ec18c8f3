"""Decoding of the backend servers registered in the store.

Errors do not name the server: callers log its name with them.
"""

from __future__ import annotations

import reprlib
from collections.abc import Mapping
from typing import Any

from cornelpin.platform._decoding import BadValue, address, is_ip_address, value
from cornelpin.scheduling.servers import BackendServer

SERVER_KIND = "servers"
MAX_SLOTS = 10_000
"""Bound on the slots of a server; no value over it is plausible."""
READY = "ready"
DRAINING = "draining"
MS = 1e-3
"""Seconds per millisecond."""


def decode_server(name: str, spec: Any) -> BackendServer:
    """Decodes a backend server's object in the store.

    Raises:
        BadValue: If a value is missing, has the wrong type or is out of range.
    """
    # The id is sent in a header.
    if not name.isascii():
        raise BadValue(f"name: expected ASCII characters, found {name!r}")
    if not isinstance(spec, Mapping):
        raise BadValue(f"expected an object, found {reprlib.repr(spec)}")
    state = value(spec, "state", str)
    if state not in {READY, DRAINING}:
        raise BadValue(f"state: expected {READY} or {DRAINING}, found {state!r}")
    slots = value(spec, "slots", int)
    if not 1 <= slots <= MAX_SLOTS:
        raise BadValue(f"slots: expected 1 to {MAX_SLOTS}, found {slots}")
    host, port = address(value(spec, "address", str), "address")
    if not is_ip_address(host):
        raise BadValue(f"address: expected an IP address, found {reprlib.repr(host)}")
    return BackendServer(
        id=name,
        service=value(spec, "service", str),
        address=(host, port),
        # The platform calls a data centre a zone.
        data_centre=value(spec, "zone", str),
        version=value(spec, "version", str, ""),
        slots=slots,
        leaving=state == DRAINING,
        # "born" is the start of this incarnation; a restarted server may reuse its id.
        started_ms=value(spec, "born", int, 0),
        cold_s=value(spec, "cold_left_ms", float, 0.0) * MS,
    )
