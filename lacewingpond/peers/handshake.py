"""Authenticates both ends of a connection with the fleet's secret.

Each end sends a hello with a fresh nonce, then an HMAC over both hellos. The HMAC
starts with the role of its sender, so that it can't be sent back to its author.
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
    """The other end is not a VM of this fleet, or not the expected one."""


class Hello(Struct, frozen=True, array_like=True):
    """First value on a connection, in both directions.

    Parameters
    ----------
    protocol : str
        Always `PROTOCOL`.
    oldest, newest : int
        Versions that the sender speaks.
    vm_id, incarnation : str
        The sender.
    receiver : str
        VM id that the sender means to reach; empty from the accepting end.
    nonce : bytes
        Fresh random bytes.
    """

    protocol: str
    oldest: int
    newest: int
    vm_id: str
    incarnation: str
    receiver: str
    nonce: bytes


class Proof(Struct, frozen=True, array_like=True):
    """Second value on a connection, in both directions."""

    mac: bytes


class Session(Struct, frozen=True):
    """The authenticated other end and the version spoken with it."""

    vm_id: str
    incarnation: str
    version: int


class Handshake:
    """Runs the exchange for one VM.

    Parameters
    ----------
    vm_id, incarnation : str
        This process.
    secret : bytes
        Shared by the whole fleet.
    timeout_s : float
        Longest wait for each answer, in seconds.
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
        """Authenticate as the end that opened the connection."""
        return self._run(sock, DIALER, ACCEPTOR, receiver)

    def accept(self, sock: socket.socket) -> Session:
        """Authenticate as the end that accepted the connection."""
        return self._run(sock, ACCEPTOR, DIALER, "")

    def _run(
        self, sock: socket.socket, role: bytes, other_role: bytes, receiver: str
    ) -> Session:
        sock.settimeout(self._timeout_s)
        values = _Values(sock)
        mine = self._hello(receiver)
        sock.sendall(encode(mine))
        theirs = values.next(Hello)
        version = self._check(theirs, receiver, role)
        first, second = (mine, theirs) if role == DIALER else (theirs, mine)
        transcript = encode(first) + encode(second)
        sock.sendall(encode(Proof(self._mac(role, transcript))))
        proof = values.next(Proof)
        if not hmac.compare_digest(proof.mac, self._mac(other_role, transcript)):
            raise HandshakeError("wrong fleet secret")
        sock.settimeout(None)
        return Session(theirs.vm_id, theirs.incarnation, version)

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

    def _check(self, theirs: Hello, receiver: str, role: bytes) -> int:
        if theirs.protocol != PROTOCOL:
            raise HandshakeError("another protocol")
        if len(theirs.nonce) != NONCE_BYTES:
            raise HandshakeError("nonce of a wrong length")
        version = min(NEWEST_VERSION, theirs.newest)
        if version < max(OLDEST_VERSION, theirs.oldest):
            raise HandshakeError(
                f"no common version: {theirs.oldest} to {theirs.newest} there,"
                f" {OLDEST_VERSION} to {NEWEST_VERSION} here"
            )
        if role == DIALER and theirs.vm_id != receiver:
            raise HandshakeError(f"reached {theirs.vm_id!r} in place of {receiver!r}")
        if role == ACCEPTOR and theirs.receiver != self._vm_id:
            raise HandshakeError(f"meant for {theirs.receiver!r}")
        return version

    def _mac(self, role: bytes, transcript: bytes) -> bytes:
        return hmac.digest(self._secret, role + b"\x00" + transcript, hashlib.sha256)


class _Values:
    """Reads the few small values of a handshake, and not a byte more."""

    __slots__ = ("_sock", "_reader")

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._reader = FrameReader(MAX_HELLO_BYTES, MAX_HELLO_ITEMS)

    def next(self, kind: type) -> Struct:
        while True:
            # No more than this frame, so that what follows stays in the socket.
            data = self._sock.recv(self._reader.missing)
            if not data:
                raise HandshakeError("closed during the handshake")
            for value, _ in self._reader.feed(data):
                return _typed(value, kind)


def _typed(value: object, kind: type) -> Struct:
    try:
        return msgspec.convert(value, kind, builtin_types=(bytes,))
    except msgspec.ValidationError as exc:
        raise FrameError(f"not a {kind.__name__}: {exc}") from exc
