"""Ports for test processes: no port is allocated twice or while it is in use."""

from __future__ import annotations

import socket

from benchmarks.processes import (
    HIGHEST_PORT,
    LOWEST_PORT,
    PORTS_PER_BLOCK,
    PortAllocator,
)


def test_allocators_never_return_the_same_port() -> None:
    allocators = [PortAllocator() for _ in range(8)]
    ports = [allocator.allocate() for allocator in allocators for _ in range(20)]
    assert len(set(ports)) == len(ports)
    assert all(LOWEST_PORT < port < HIGHEST_PORT for port in ports)


def test_port_in_use_is_skipped() -> None:
    allocator = PortAllocator()
    taken = allocator.allocate() + 1
    with socket.create_server(("127.0.0.1", taken)):
        assert allocator.allocate() > taken


def test_allocator_takes_another_block_when_the_first_is_used_up() -> None:
    allocator = PortAllocator()
    ports = [allocator.allocate() for _ in range(2 * PORTS_PER_BLOCK)]
    assert len(set(ports)) == len(ports)
