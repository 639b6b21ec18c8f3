"""A stand-in of the network between hosts: ``python -m standins.network``.

Each relay is a TCP proxy in front of one process. The source address of a connection
identifies the host it comes from. A cut is a network partition in one direction: bytes
sent by the source are delayed until the cut is healed, as TCP would retransmit them;
the other direction stays open unless it is cut as well.
"""

from __future__ import annotations

import contextlib
import json
import socket
import threading

import attrs

from standins._http import (
    Request,
    Response,
    Router,
    argument_parser,
    json_response,
    serve,
)

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0
BACKLOG = 128


@attrs.frozen
class Relay:
    """A TCP proxy in front of one process.

    Attributes:
        address: IP address of the host of the process.
        port: Port on which the relay listens; other processes connect to it.
        target_port: Port on which the process listens.
    """

    address: str
    port: int
    target_port: int


@attrs.frozen
class Cut:
    """A direction between two hosts, which is cut while ``Network`` lists it.

    Attributes:
        source: IP address of the sending host.
        destination: IP address of the receiving host.
    """

    source: str
    destination: str


class Network:
    """The directions that are cut at present, and the relays that apply the cuts."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._cuts: frozenset[Cut] = frozenset()

    def set_cuts(self, cuts: frozenset[Cut]) -> None:
        """Replaces the set of directions that are cut."""
        with self._changed:
            self._cuts = cuts
            self._changed.notify_all()

    def wait_until_open(self, source: str, destination: str) -> None:
        """Blocks while the direction is cut."""
        cut = Cut(source, destination)
        with self._changed:
            self._changed.wait_for(lambda: cut not in self._cuts)

    def listen(self, relay: Relay) -> None:
        """Starts a relay in a daemon thread."""
        listener = socket.create_server((relay.address, relay.port), backlog=BACKLOG)
        _start_thread(self._accept, relay, listener)

    def _accept(self, relay: Relay, listener: socket.socket) -> None:
        while True:
            caller, (source, _) = listener.accept()
            _start_thread(self._connect, relay, caller, source)

    def _connect(self, relay: Relay, caller: socket.socket, source: str) -> None:
        self.wait_until_open(source, relay.address)
        self.wait_until_open(relay.address, source)
        try:
            target = socket.create_connection(
                (relay.address, relay.target_port), CONNECT_TIMEOUT_S
            )
        except OSError:
            caller.close()
            return
        target.settimeout(None)
        for sock in (caller, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _start_thread(self._forward, caller, target, Cut(source, relay.address))
        _start_thread(self._forward, target, caller, Cut(relay.address, source))

    def _forward(
        self, sender: socket.socket, receiver: socket.socket, direction: Cut
    ) -> None:
        """Forwards until either end closes; a cut delays the close as well."""
        with contextlib.suppress(OSError):
            while chunk := sender.recv(CHUNK_BYTES):
                self.wait_until_open(direction.source, direction.destination)
                receiver.sendall(chunk)
        self.wait_until_open(direction.source, direction.destination)
        for sock in (receiver, sender):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def router(self) -> Router:
        """Returns the routes of the control API."""
        router = Router()
        router.add("PUT", "/cuts", self._put_cuts)
        return router

    def _put_cuts(self, request: Request) -> Response:
        cuts = frozenset(Cut(**values) for values in request.json()["cuts"])
        self.set_cuts(cuts)
        return json_response({"cuts": [attrs.asdict(cut) for cut in cuts]})


def _start_thread(target: object, *arguments: object) -> None:
    threading.Thread(target=target, args=arguments, daemon=True).start()  # type: ignore[arg-type]


def main() -> None:
    """Serves the relays until SIGTERM."""
    parser = argument_parser("A stand-in of the network between hosts.")
    parser.add_argument("--relays", default="[]", help="relays as a JSON list")
    arguments = parser.parse_args()
    network = Network()
    for values in json.loads(arguments.relays):
        network.listen(Relay(**values))
    serve(network.router(), arguments.address, arguments.port)


if __name__ == "__main__":
    main()
