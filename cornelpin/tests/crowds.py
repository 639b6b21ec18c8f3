"""Crowds of clients that do not behave, by kind.

A kind is a generator of what one connection sends. It is registered with the size of
its crowd.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Any

import attrs
import msgpack

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

CONNECTIONS = 150
"""Connections of a crowd whose requests are large."""
MANY_CONNECTIONS = 700
"""Connections of a crowd that holds connections: more than descriptors are allowed."""
PIECE_BYTES = 1_400
CHUNK_BYTES = 8_192
SMALL_CHUNK_BYTES = 16
WRITE_BYTES = 65_536
"""Most bytes that are written at once, so that others of the test get their turn."""
DRIP_S = 0.1
"""Pause between two bytes of a slow sender."""
DRIP_BYTES = 20
OVER_LIMIT = 4
"""Size of a body far over the limit, as a multiple of it."""
PIPELINED = 4_000
RECEIVE_BUFFER_BYTES = 4_096


@attrs.frozen
class Door:
    """An address that listens, and one path there.

    Attributes:
        address: IP address and port.
        path: Path of the requests.
        head_bytes: Limit of a head there.
        body_bytes: Limit of a body there.
        deadline_ms: Time for which its clients wait.
        fields: Further fields of each head.
    """

    address: tuple[str, int]
    path: str
    head_bytes: int
    body_bytes: int
    deadline_ms: int = 8_000
    fields: tuple[bytes, ...] = ()

    def head(self, *lines: bytes, method: bytes = b"POST") -> bytes:
        """Returns a request's head."""
        first = b"%s %s HTTP/1.1" % (method, self.path.encode())
        common = (
            b"Host: shop.example",
            b"Request-Id: crowd",
            b"Deadline-Ms: %d" % self.deadline_ms,
            *self.fields,
        )
        return b"\r\n".join((first, *common, *lines)) + b"\r\n\r\n"

    def head_of_fields(self, field: bytes, *lines: bytes, size: int) -> bytes:
        """Returns a head of a size in bytes, filled with copies of a short field."""
        empty = len(self.head(*lines))
        count, rest = divmod(size - empty, len(field) + 2)
        # What remains lengthens the last field.
        return self.head(*lines, *[field] * (count - 1), field + b"x" * rest)


@attrs.frozen
class Kind:
    """A kind of crowd.

    Attributes:
        send: Yields what one connection sends, and pauses in seconds.
        connections: Number of connections.
        reads: Whether its clients read what they are sent.
    """

    send: Callable[[Door], Iterator[bytes | float]]
    connections: int
    reads: bool


KINDS: dict[str, Kind] = {}


def kind(
    *, connections: int = CONNECTIONS, reads: bool = True
) -> Callable[[Callable[[Door], Iterator[bytes | float]]], object]:
    """Registers a generator as a kind of crowd, under its name."""

    def register(send: Callable[[Door], Iterator[bytes | float]]) -> object:
        KINDS[send.__name__] = Kind(send, connections, reads)
        return send

    return register


def split(data: bytes, size: int) -> Iterator[bytes]:
    for start in range(0, len(data), size):
        yield data[start : start + size]


def chunked(body: bytes, size: int) -> bytes:
    """Returns the chunks of a body, without the last one of size zero."""
    return b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in split(body, size))


def with_length(door: Door) -> tuple[bytes, bytes]:
    body = b"x" * door.body_bytes
    return door.head(b"Content-Length: %d" % len(body)), body


@kind()
def whole_bodies(door: Door) -> Iterator[bytes | float]:
    head, body = with_length(door)
    yield head + body


@kind()
def whole_bodies_short_of_their_end(door: Door) -> Iterator[bytes | float]:
    head, body = with_length(door)
    yield head + body[:-1]


@kind()
def bodies_in_pieces(door: Door) -> Iterator[bytes | float]:
    head, body = with_length(door)
    yield head
    yield from split(body, PIECE_BYTES)


@kind()
def bodies_in_pieces_short_of_their_end(door: Door) -> Iterator[bytes | float]:
    head, body = with_length(door)
    yield head
    yield from split(body[:-1], PIECE_BYTES)


@kind()
def bodies_in_chunks(door: Door) -> Iterator[bytes | float]:
    yield door.head(b"Transfer-Encoding: chunked")
    yield chunked(b"x" * door.body_bytes, CHUNK_BYTES) + b"0\r\n\r\n"


@kind()
def bodies_in_chunks_short_of_their_end(door: Door) -> Iterator[bytes | float]:
    yield door.head(b"Transfer-Encoding: chunked")
    yield chunked(b"x" * door.body_bytes, CHUNK_BYTES)


@kind()
def bodies_in_small_chunks_short_of_their_end(door: Door) -> Iterator[bytes | float]:
    yield door.head(b"Transfer-Encoding: chunked")
    yield chunked(b"x" * door.body_bytes, SMALL_CHUNK_BYTES)


@kind()
def bodies_that_trickle_near_their_end(door: Door) -> Iterator[bytes | float]:
    head, body = with_length(door)
    yield head + body[:-DRIP_BYTES]
    for _ in range(DRIP_BYTES - 1):
        yield b"x"
        yield DRIP_S


@kind()
def bodies_over_the_limit(door: Door) -> Iterator[bytes | float]:
    size = OVER_LIMIT * door.body_bytes
    yield door.head(b"Content-Length: %d" % (1_000 * size)) + b"x" * size


@kind()
def chunked_bodies_over_the_limit(door: Door) -> Iterator[bytes | float]:
    yield door.head(b"Transfer-Encoding: chunked")
    yield chunked(b"x" * OVER_LIMIT * door.body_bytes, CHUNK_BYTES)


@kind()
def many_fields(door: Door) -> Iterator[bytes | float]:
    yield door.head_of_fields(b"ab:cd", b"Content-Length: 0", size=door.head_bytes)


@kind()
def many_fields_with_a_space(door: Door) -> Iterator[bytes | float]:
    yield door.head_of_fields(b"ab: cd", b"Content-Length: 0", size=door.head_bytes)


@kind()
def many_fields_short_of_a_body(door: Door) -> Iterator[bytes | float]:
    # Counted with a space that its fields do not have, a head may be over the limit.
    size = door.head_bytes * 7 // 9
    yield door.head_of_fields(b"ab:cd", b"Content-Length: 9", size=size) + b"x" * 8


@kind()
def many_fields_with_a_space_short_of_a_body(door: Door) -> Iterator[bytes | float]:
    length = b"Content-Length: 9"
    head = door.head_of_fields(b"ab: cd", length, size=door.head_bytes)
    yield head + b"x" * 8


@kind()
def fields_short_of_their_end(door: Door) -> Iterator[bytes | float]:
    yield door.head_of_fields(b"ab:cd", size=door.head_bytes)[:-2]


@kind(connections=20, reads=False)
def pipelined_requests(door: Door) -> Iterator[bytes | float]:
    request = door.head(method=b"GET")
    for _ in range(PIPELINED // 100):
        yield request * 100


@kind(connections=300, reads=False)
def pipelined_requests_on_many_connections(door: Door) -> Iterator[bytes | float]:
    yield door.head(method=b"GET") * (PIPELINED // 4)


@kind(connections=20, reads=False)
def pipelined_bodies(door: Door) -> Iterator[bytes | float]:
    head, body = with_length(door)
    for _ in range(OVER_LIMIT):
        yield head + body


@kind(reads=False)
def unread_responses(door: Door) -> Iterator[bytes | float]:
    yield door.head(method=b"GET")


@kind(connections=MANY_CONNECTIONS)
def slow_heads(door: Door) -> Iterator[bytes | float]:
    for byte in split(door.head()[:DRIP_BYTES], 1):
        yield byte
        yield DRIP_S


@kind(connections=MANY_CONNECTIONS)
def slow_bodies(door: Door) -> Iterator[bytes | float]:
    yield door.head(b"Content-Length: %d" % door.body_bytes)
    for _ in range(DRIP_BYTES):
        yield b"x"
        yield DRIP_S


@kind(connections=MANY_CONNECTIONS)
def heads_stopped_half_way(door: Door) -> Iterator[bytes | float]:
    yield door.head()[:DRIP_BYTES]


@kind(connections=MANY_CONNECTIONS)
def silent_connections(door: Door) -> Iterator[bytes | float]:
    yield b""


def _ordinary_request(door: Door) -> Iterator[bytes | float]:
    yield door.head(method=b"GET")


PATIENT = Kind(_ordinary_request, connections=MANY_CONNECTIONS, reads=True)
"""Clients that wait for their responses; they misbehave by their number only."""


def _broken_frame(door: Door) -> Iterator[bytes | float]:
    yield (9).to_bytes(4, "big") + b"not known"


BROKEN_FRAMES = Kind(_broken_frame, connections=MANY_CONNECTIONS, reads=True)
"""Clients at the address for other processes that break its protocol."""


def _nested_json(door: Door) -> Iterator[bytes | float]:
    frame = b'{"model": "none", "x": [%s[]]}'
    body = frame % (b"[]," * ((door.body_bytes - len(frame)) // 3))
    yield door.head(b"Content-Length: %d" % len(body)) + body


NESTED_JSON = Kind(_nested_json, connections=CONNECTIONS, reads=True)
"""Clients whose documents take many times their size when they are decoded."""


LARGE_FRAME_BYTES = 4_194_304


def _large_frame(door: Door) -> Iterator[bytes | float]:
    yield LARGE_FRAME_BYTES.to_bytes(4, "big") + b"x" * (LARGE_FRAME_BYTES - 1)


LARGE_FRAMES = Kind(_large_frame, connections=CONNECTIONS, reads=True)
"""Clients at the address for other processes whose frames stop just short of their
end."""


DATAGRAMS = 3_000
DATAGRAM_FIELDS = 2_000


def datagrams(content: str) -> Iterator[bytes]:
    """Yields messages as other entries send them, each from a host of its own."""
    table: dict[str, Any] = {
        "in_flight": lambda n: [1, 1],
        "keys": lambda n: [1.0],
        "used": lambda n: 1,
        "shares": lambda n: {"": [1.0]},
        "ips": lambda n: None,
    }
    for number in range(DATAGRAMS):
        names = [f"{number}.{n}" for n in range(DATAGRAM_FIELDS)]
        value: Any = {name: table[content](name) for name in names}
        if content == "ips":
            value = [f"10.{number % 250}.{n // 250}.{n % 250}" for n in range(2_000)]
        sender = [f"host-{number}", "1", 1, "elsewhere", 1.0]
        yield msgpack.packb({"from": sender, content: value})


class Crowd:
    """Clients of one kind at one door.

    Args:
        kind: The kind.
        door: The door.
    """

    def __init__(self, kind: Kind, door: Door) -> None:
        self._kind = kind
        self._door = door
        self._sockets: list[socket.socket] = []
        self._senders: list[asyncio.Task[None]] = []
        self._readers: list[asyncio.Task[None]] = []

    async def run(self, for_s: float) -> None:
        """Sends for a time or until all clients are done; the connections stay open."""
        tasks = [self._run_one() for _ in range(self._kind.connections)]
        self._senders = [asyncio.ensure_future(task) for task in tasks]
        await asyncio.wait(self._senders, timeout=for_s)

    async def close(self) -> None:
        """Closes all connections."""
        tasks = self._senders + self._readers
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()

    async def _run_one(self) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        if not self._kind.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, self._door.address)
            if self._kind.reads:
                self._readers.append(asyncio.ensure_future(self._read(sock)))
            for item in self._kind.send(self._door):
                if isinstance(item, float):
                    await asyncio.sleep(item)
                    continue
                for part in split(item, WRITE_BYTES):
                    await loop.sock_sendall(sock, part)
                    await asyncio.sleep(0)

    async def _read(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while await loop.sock_recv(sock, WRITE_BYTES):
                pass
