"""The network stand-in: data sent across a cut is delayed, not lost."""

from __future__ import annotations

import socket

import pytest

from benchmarks.processes import LOOPBACK, PortAllocator
from standins.network import Cut, Network, Relay

TIMEOUT_S = 10.0
CUT_DURATION_S = 0.2


def test_cut_delays_data_until_it_is_healed() -> None:
    network = Network()
    with socket.create_server((LOOPBACK, 0)) as listener:
        target_port = listener.getsockname()[1]
        port = PortAllocator().allocate()
        network.listen(Relay(LOOPBACK, port, target_port))
        caller = socket.create_connection((LOOPBACK, port), TIMEOUT_S)
        target, _ = listener.accept()
        with caller, target:
            caller.sendall(b"before")
            assert target.recv(16) == b"before"
            network.set_cuts(frozenset({Cut(LOOPBACK, LOOPBACK)}))
            caller.sendall(b"cut")
            target.settimeout(CUT_DURATION_S)
            with pytest.raises(TimeoutError):
                target.recv(16)
            network.set_cuts(frozenset())
            target.settimeout(TIMEOUT_S)
            assert target.recv(16) == b"cut"
            caller.close()
            assert target.recv(16) == b""
