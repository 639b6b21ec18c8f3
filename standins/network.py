"""A stand-in of the network between hosts: ``python -m standins.network``.

Each relay forwards the connections to one process. Which host a connection comes from
is told by its source address. A cut is directed: what the source sends waits until
the cut is healed, as it would be sent again by a real network; a one-way cut leaves
the other direction open.
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
    """Where one process seems to listen and where it does.

    Attributes:
        address: Address of its host.
        port: Port that the others know.
        target_port: Port that it listens at.
    """

    address: str
    port: int
    target_port: int


@attrs.frozen
class Cut:
    """A direction in which nothing arrives.

    Attributes:
        source: Address of the host that sends.
        destination: Address of the host that receives.
    """

    source: str
    destination: str


class Network:
    """The cuts in force and the relays that obey them."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._cuts: frozenset[Cut] = frozenset()

    def set_cuts(self, cuts: frozenset[Cut]) -> None:
        """Replaces all cuts."""
        with self._changed:
            self._cuts = cuts
            self._changed.notify_all()

    def wait_open(self, source: str, destination: str) -> None:
        """Waits while the direction is cut."""
        cut = Cut(source, destination)
        with self._changed:
            self._changed.wait_for(lambda: cut not in self._cuts)

    def listen(self, relay: Relay) -> None:
        """Starts a relay."""
        listener = socket.create_server((relay.address, relay.port), backlog=BACKLOG)
        _start(self._accept, relay, listener)

    def _accept(self, relay: Relay, listener: socket.socket) -> None:
        while True:
            caller, (source, _) = listener.accept()
            _start(self._connect, relay, caller, source)

    def _connect(self, relay: Relay, caller: socket.socket, source: str) -> None:
        self.wait_open(source, relay.address)
        self.wait_open(relay.address, source)
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
        _start(self._forward, caller, target, Cut(source, relay.address))
        _start(self._forward, target, caller, Cut(relay.address, source))

    def _forward(
        self, sender: socket.socket, receiver: socket.socket, direction: Cut
    ) -> None:
        """Forwards until an end is closed; the closing waits for a cut as well."""
        with contextlib.suppress(OSError):
            while chunk := sender.recv(CHUNK_BYTES):
                self.wait_open(direction.source, direction.destination)
                receiver.sendall(chunk)
        self.wait_open(direction.source, direction.destination)
        for sock in (receiver, sender):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def router(self) -> Router:
        """Returns the controls."""
        router = Router()
        router.add("PUT", "/cuts", self._put_cuts)
        return router

    def _put_cuts(self, request: Request) -> Response:
        cuts = frozenset(Cut(**values) for values in request.json()["cuts"])
        self.set_cuts(cuts)
        return json_response({"cuts": [attrs.asdict(cut) for cut in cuts]})


def _start(target: object, *arguments: object) -> None:
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
