"""Mutual authentication of a connection with the fleet's shared secret.

Each end sends a hello with a fresh nonce, then an HMAC over both hellos. The HMAC
covers the role of its sender, so that it can't be reflected to its author.
"""

import hashlib
import hmac
import secrets

import msgspec
from gevent import socket
from msgspec import Struct

from lacewingpond.peers.frames import FrameError, FrameReader, encode

PROTOCOL = "lacewingpond"
OLDEST_VERSION = 1
NEWEST_VERSION = 1
NONCE_BYTES = 32
MAX_HELLO_BYTES = 512
MAX_HELLO_ITEMS = 8
DIALER = b"dialer"
ACCEPTOR = b"acceptor"


class HandshakeError(Exception):
    """The other end is no VM of this fleet, or not the intended one."""


class Hello(Struct, frozen=True, array_like=True):
    """First frame on a connection, in both directions.

    Parameters
    ----------
    protocol : str
        Always `PROTOCOL`.
    oldest, newest : int
        Range of protocol versions that the sender supports.
    vm_id, incarnation : str
        The sender.
    receiver : str
        Id of the VM that the sender intends to reach; empty from the accepting end.
    nonce : bytes
        Random bytes, new for each connection.
    """

    protocol: str
    oldest: int
    newest: int
    vm_id: str
    incarnation: str
    receiver: str
    nonce: bytes


class HandshakeMac(Struct, frozen=True, array_like=True):
    """Second frame on a connection, in both directions: an HMAC over both hellos."""

    mac: bytes


class Session(Struct, frozen=True):
    """The authenticated other end and the negotiated protocol version."""

    vm_id: str
    incarnation: str
    version: int


class Handshake:
    """Performs handshakes on behalf of one VM.

    Parameters
    ----------
    vm_id, incarnation : str
        This process.
    secret : bytes
        Secret shared by the whole fleet.
    timeout_s : float
        Timeout of each read and write, in seconds.

    Raises
    ------
    ValueError
        If the secret is empty.
    """

    __slots__ = ("_vm_id", "_incarnation", "_secret", "_timeout_s")

    def __init__(
        self, vm_id: str, incarnation: str, secret: bytes, timeout_s: float
    ) -> None:
        if not secret:
            raise ValueError("the fleet's secret is empty")
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._secret = secret
        self._timeout_s = timeout_s

    def dial(self, sock: socket.socket, receiver: str) -> Session:
        """Authenticate as the end that opened the connection.

        Parameters
        ----------
        sock : socket
            The connection; it has no timeout afterwards.
        receiver : str
            Id of the VM that the connection is meant for.

        Returns
        -------
        Session
            The other end.

        Raises
        ------
        HandshakeError, FrameError, OSError
            If the other end can't be authenticated or the connection fails.
        """
        return self._run(sock, DIALER, ACCEPTOR, receiver)

    def accept(self, sock: socket.socket) -> Session:
        """Authenticate as the end that accepted the connection.

        Returns and raises the same as `dial`.
        """
        return self._run(sock, ACCEPTOR, DIALER, "")

    def _run(
        self, sock: socket.socket, role: bytes, other_role: bytes, receiver: str
    ) -> Session:
        sock.settimeout(self._timeout_s)
        reader = _HandshakeReader(sock)
        local = self._hello(receiver)
        sock.sendall(encode(local))
        remote = reader.next(Hello)
        version = self._check_hello(remote, receiver, role)
        dialer_hello, acceptor_hello = (
            (local, remote) if role == DIALER else (remote, local)
        )
        transcript = encode(dialer_hello) + encode(acceptor_hello)
        sock.sendall(encode(HandshakeMac(self._mac(role, transcript))))
        received = reader.next(HandshakeMac)
        if not hmac.compare_digest(received.mac, self._mac(other_role, transcript)):
            raise HandshakeError("wrong fleet secret")
        sock.settimeout(None)
        return Session(remote.vm_id, remote.incarnation, version)

    def _hello(self, receiver: str) -> Hello:
        return Hello(
            PROTOCOL,
            OLDEST_VERSION,
            NEWEST_VERSION,
            self._vm_id,
            self._incarnation,
            receiver,
            secrets.token_bytes(NONCE_BYTES),
        )

    def _check_hello(self, remote: Hello, receiver: str, role: bytes) -> int:
        if remote.protocol != PROTOCOL:
            raise HandshakeError("the peer uses an unknown protocol")
        if len(remote.nonce) != NONCE_BYTES:
            raise HandshakeError("the peer's nonce has the wrong length")
        version = min(NEWEST_VERSION, remote.newest)
        if version < max(OLDEST_VERSION, remote.oldest):
            raise HandshakeError(
                f"no common version: peer supports {remote.oldest} to {remote.newest},"
                f" this VM {OLDEST_VERSION} to {NEWEST_VERSION}"
            )
        if role == DIALER and remote.vm_id != receiver:
            raise HandshakeError(
                f"reached VM {remote.vm_id!r} instead of VM {receiver!r}"
            )
        if role == ACCEPTOR and remote.receiver != self._vm_id:
            raise HandshakeError(f"the peer meant to reach VM {remote.receiver!r}")
        return version

    def _mac(self, role: bytes, transcript: bytes) -> bytes:
        return hmac.digest(self._secret, role + b"\x00" + transcript, hashlib.sha256)


class _HandshakeReader:
    """Reads the frames of a handshake without consuming any bytes after them."""

    __slots__ = ("_sock", "_reader")

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._reader = FrameReader(MAX_HELLO_BYTES, MAX_HELLO_ITEMS)

    def next(self, kind: type) -> Struct:
        while True:
            # Read at most this frame, so that later bytes stay in the socket.
            data = self._sock.recv(self._reader.missing_bytes)
            if not data:
                raise HandshakeError("connection closed during the handshake")
            for value, _ in self._reader.feed(data):
                return _convert_to(value, kind)


def _convert_to(value: object, kind: type) -> Struct:
    try:
        return msgspec.convert(value, kind, builtin_types=(bytes,))
    except msgspec.ValidationError as exc:
        raise FrameError(f"invalid {kind.__name__}: {exc}") from exc
