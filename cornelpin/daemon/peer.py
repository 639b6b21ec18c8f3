"""Authenticated sessions that carry messages between cornelpin's processes.

Both ends prove knowledge of the shared key, optionally within TLS, before any other
message is handled.
"""

from __future__ import annotations

import contextlib
import hashlib
import hmac
import os
import queue
import socket
import ssl
import threading
import time
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.daemon._codec import LENGTH_PREFIX
from cornelpin.daemon.control_cost import ControlCost, is_control
from cornelpin.daemon.messages import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSIONS,
    Hello,
    Proof,
    ProtocolError,
    decode,
    encode,
)

if TYPE_CHECKING:
    from cornelpin.core.clock import HybridClock

HANDSHAKE_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 20.0
SEND_QUEUE_FRAMES = 20_000
RECEIVE_BYTES = 65_536
HANDSHAKE_FRAME_BYTES = 4_096
"""Largest frame before the other end has proved knowledge of the shared key."""
BATCH_BYTES = 65_536
NONCE_BYTES = 16


class PeerClosed(Exception):
    """The session with a peer has ended or could not be opened."""


@attrs.frozen
class Identity:
    """The identity of this process in its sessions.

    Attributes:
        name: Process name.
        role: ``entry`` or ``side``.
        incarnation: Random id of this run of the process.
        key: Shared key.
        address: Source address of outgoing connections, empty for any.
        tls_client: TLS context for outgoing connections, if any.
        tls_server: TLS context for incoming connections, if any.
    """

    name: str
    role: str
    incarnation: str
    key: bytes
    address: str = ""
    tls_client: ssl.SSLContext | None = None
    tls_server: ssl.SSLContext | None = None


class Peer:
    """One session with another process, the peer.

    A new session with the same process is another ``Peer``.

    One task reads by calling :meth:`receive`. Sending never blocks: a writer thread
    empties a bounded queue of frames, and the session is closed if the other process
    reads too slowly for it.

    Args:
        sock: The connected socket.
        clock: Clock that stamps the messages sent.
        cost: Counts bytes and CPU time of control messages, which are all messages that
            serve no single request.

    Attributes:
        name: Name of the process at the other end.
        role: Its role, ``entry`` or ``side``.
        incarnation: Its incarnation.
        last_received_at: Monotonic time of the last message received.
        last_ping_at: Monotonic time of the last ping sent, if any.
        bytes_sent: Bytes sent after the handshake.
        bytes_received: Bytes received.
    """

    def __init__(
        self, sock: socket.socket, *, clock: HybridClock, cost: ControlCost
    ) -> None:
        self._sock = sock
        self._clock = clock
        self._cost = cost
        self._handling_since: float | None = None
        self._max_frame_bytes = HANDSHAKE_FRAME_BYTES
        self._buffer = bytearray()
        self._frames: queue.SimpleQueue[bytes | threading.Event | None] = (
            queue.SimpleQueue()
        )
        self._closed = threading.Event()
        self.name = ""
        self.role = ""
        self.incarnation = ""
        self.last_received_at = time.monotonic()
        self.last_ping_at: float | None = None
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def closed(self) -> bool:
        """Whether the session has ended."""
        return self._closed.is_set()

    def handshake(self, identity: Identity, *, server: bool) -> None:
        """Authenticates both ends by the shared key and starts the writer thread.

        Args:
            identity: Identity of this process.
            server: Whether this end accepted the connection.

        Raises:
            ProtocolError: If protocol versions do not overlap or the proof is wrong.
            PeerClosed: If the connection ends.
        """
        self._sock.settimeout(HANDSHAKE_TIMEOUT_S)
        mine = Hello(
            *PROTOCOL_VERSIONS,
            identity.name,
            identity.role,
            identity.incarnation,
            os.urandom(NONCE_BYTES),
        )
        self._send_now(mine)
        theirs = self._expect(Hello)
        if theirs.highest < mine.lowest or theirs.lowest > mine.highest:
            raise ProtocolError(
                f"no common protocol version: peer has {theirs.lowest} to "
                f"{theirs.highest}, this process {mine.lowest} to {mine.highest}"
            )
        self._send_now(Proof(_mac(identity.key, mine, theirs, server=server)))
        proof = self._expect(Proof)
        expected = _mac(identity.key, theirs, mine, server=not server)
        if not hmac.compare_digest(proof.mac, expected):
            raise ProtocolError("peer failed to prove knowledge of the shared key")
        self.name = theirs.name
        self.role = theirs.role
        self.incarnation = theirs.incarnation
        self._max_frame_bytes = MAX_FRAME_BYTES
        self._sock.settimeout(IDLE_TIMEOUT_S)
        threading.Thread(
            target=self._write_loop, name=f"write-{self.name}", daemon=True
        ).start()

    def send(self, msg: Any) -> None:
        """Queues a message; it is dropped if the session is closed.

        A queue of more than ``SEND_QUEUE_FRAMES`` closes the session.
        """
        if self.closed:
            return
        if self._frames.qsize() > SEND_QUEUE_FRAMES:
            self.close()
            return
        frame = encode(msg, stamp=self._clock.now())
        if is_control(msg):
            self._cost.add_sent(len(frame))
        self._frames.put(frame)

    def receive(self) -> Any:
        """Returns the next message.

        Raises:
            PeerClosed: If the connection ended or was idle for ``IDLE_TIMEOUT_S``.
            ProtocolError: If the frame is too large or malformed.
        """
        self._end_handling()
        size = LENGTH_PREFIX.unpack(self._read(LENGTH_PREFIX.size))[0]
        if size > self._max_frame_bytes:
            raise ProtocolError(
                f"frame of {size} bytes exceeds {self._max_frame_bytes}"
            )
        frame = self._read(size)
        started = time.thread_time()
        msg, stamp = decode(frame)
        if is_control(msg):
            self._cost.add_received(LENGTH_PREFIX.size + size)
            self._handling_since = started
        self._clock.observe(stamp)
        self.last_received_at = time.monotonic()
        return msg

    def _end_handling(self) -> None:
        """Adds the CPU time spent since the last message, if it was a control one."""
        if self._handling_since is not None:
            self._cost.add_cpu(time.thread_time() - self._handling_since)
            self._handling_since = None

    def close(self) -> None:
        """Closes the session; safe to call from any thread, more than once."""
        if self._closed.is_set():
            return
        self._closed.set()
        self._frames.put(None)
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def flush(self, timeout_s: float) -> None:
        """Waits until all queued frames are written, at most ``timeout_s``."""
        written = threading.Event()
        self._frames.put(written)
        written.wait(timeout_s)

    def _expect(self, cls: type) -> Any:
        msg = self.receive()
        if not isinstance(msg, cls):
            raise ProtocolError(f"expected {cls.__name__}, got {type(msg).__name__}")
        return msg

    def _send_now(self, msg: Any) -> None:
        try:
            self._sock.sendall(encode(msg, stamp=self._clock.now()))
        except OSError as exc:
            raise PeerClosed(str(exc)) from exc

    def _read(self, size: int) -> bytes:
        while len(self._buffer) < size:
            try:
                data = self._sock.recv(RECEIVE_BYTES)
            except (OSError, ValueError) as exc:
                raise PeerClosed(str(exc)) from exc
            if not data:
                raise PeerClosed("connection closed by the peer")
            self.bytes_received += len(data)
            self._buffer += data
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def _write_loop(self) -> None:
        while True:
            frame = self._frames.get()
            if frame is None:
                return
            if isinstance(frame, threading.Event):
                frame.set()
                continue
            frame = self._with_queued(frame)
            try:
                self._sock.sendall(frame)
            except (OSError, ValueError):
                self.close()
                return
            self.bytes_sent += len(frame)

    def _with_queued(self, frame: bytes) -> bytes:
        """Returns the frame joined with queued ones, up to ``BATCH_BYTES``."""
        parts = [frame]
        size = len(frame)
        while size < BATCH_BYTES:
            try:
                following = self._frames.get_nowait()
            except queue.Empty:
                break
            if not isinstance(following, bytes):
                # The end of the session or a flush marker goes back to the end of the
                # queue: frames queued meanwhile are still written before it.
                self._frames.put(following)
                break
            parts.append(following)
            size += len(following)
        return b"".join(parts)


def _mac(key: bytes, sender: Hello, receiver: Hello, *, server: bool) -> bytes:
    """Returns a proof bound to both hellos and the sender's end of the connection."""
    text = repr((server, attrs.astuple(sender), attrs.astuple(receiver)))
    return hmac.new(key, text.encode(), hashlib.sha256).digest()


def connect(
    address: str, identity: Identity, *, clock: HybridClock, cost: ControlCost
) -> Peer:
    """Opens an authenticated session with the process at ``ip:port``.

    Raises:
        PeerClosed: If the process cannot be reached or closes the connection.
        ProtocolError: If the handshake fails.
    """
    ip, _, port = address.rpartition(":")
    try:
        sock = socket.create_connection(
            (ip, int(port)),
            HANDSHAKE_TIMEOUT_S,
            source_address=(identity.address, 0) if identity.address else None,
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if identity.tls_client is not None:
            sock = identity.tls_client.wrap_socket(sock)
    except OSError as exc:
        raise PeerClosed(f"{address}: {exc}") from exc
    return _open_session(sock, identity, clock=clock, cost=cost, server=False)


def accept(
    sock: socket.socket, identity: Identity, *, clock: HybridClock, cost: ControlCost
) -> Peer:
    """Completes the handshake on an incoming connection.

    Raises:
        PeerClosed: If the connection ends.
        ProtocolError: If the handshake fails.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(HANDSHAKE_TIMEOUT_S)
    if identity.tls_server is not None:
        try:
            sock = identity.tls_server.wrap_socket(sock, server_side=True)
        except OSError as exc:
            sock.close()
            raise PeerClosed(str(exc)) from exc
    return _open_session(sock, identity, clock=clock, cost=cost, server=True)


def _open_session(
    sock: socket.socket,
    identity: Identity,
    *,
    clock: HybridClock,
    cost: ControlCost,
    server: bool,
) -> Peer:
    peer = Peer(sock, clock=clock, cost=cost)
    try:
        peer.handshake(identity, server=server)
    except BaseException:
        peer.close()
        raise
    return peer
