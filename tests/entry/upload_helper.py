"""Targets that respond during an upload and end the connection, and their callers."""

import socket

import gevent
from entry_helper import KEY
from gevent.socket import wait_read
from path_helper import WAIT_S, read_head, reset

BLOCK = b"u" * 65_536
UPLOAD_BLOCKS = 64
UPLOAD_BYTES = UPLOAD_BLOCKS * len(BLOCK)
PART = b"x" * 7_000
SIGNED = b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\n\r\n"


def close_unread(sock):
    """Close while bytes of the upload are unread, which resets the connection."""
    wait_read(sock.fileno(), timeout=WAIT_S)
    sock.close()


def reset_after_reading(sock):
    """Read a part of the upload, then reset the connection."""
    read_exactly(sock, len(BLOCK))
    reset(sock)


def reset_while_sending(sock):
    """Reset the connection just before its peer notices the response."""
    gevent.sleep(0.15)
    reset(sock)


def reset_while_reading(sock):
    """Reset the connection after the upload has been stopped."""
    gevent.sleep(0.5)
    reset(sock)


def half_close(sock):
    """End the response; the upload is never read."""
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(WAIT_S)


def half_close_and_read(sock):
    """End the response, then read what still comes of the upload."""
    sock.shutdown(socket.SHUT_WR)
    while sock.recv(65_536):
        pass


def close_all_read(sock):
    """Close while no byte that has come is unread."""
    sock.close()


RESETS_AT_ONCE = [reset, close_unread]
RESETS_LATER = [reset_after_reading, reset_while_sending, reset_while_reading]
RESETS = RESETS_AT_ONCE + RESETS_LATER
CLEAN_ENDS = [half_close, half_close_and_read]


def read_exactly(sock, size):
    while size > 0:
        block = sock.recv(min(size, 65_536))
        if not block:
            return
        size -= len(block)


def respond_early(end, head=SIGNED, part=PART):
    """Return a target that responds before it has read the upload."""

    def serve(sock):
        read_head(sock)
        sock.sendall(head + part)
        end(sock)

    return serve


def respond_after(read_bytes, end):
    """Return a target that reads `read_bytes` of the upload before it responds."""

    def serve(sock):
        _, _, begun = read_head(sock).partition(b"\r\n\r\n")
        read_exactly(sock, read_bytes - len(begun))
        sock.sendall(SIGNED + PART)
        end(sock)

    return serve


class Upload:
    """A long upload and what its caller gets.

    Attributes
    ----------
    raw : bytes
        All bytes received.
    was_reset : bool
        Whether the connection was reset before it was closed.
    """

    def __init__(self, address, version="1.1", method="POST", chunked=False, pauses=()):
        self.raw = b""
        self.was_reset = False
        self._pauses = set(pauses)
        self._chunked = chunked
        framing = f"Content-Length: {UPLOAD_BYTES}"
        if chunked:
            framing = "Transfer-Encoding: chunked"
        head = (
            f"{method} /a/x HTTP/{version}\r\nHost: shop.example\r\nX-Id: id-1\r\n"
            f"Authorization: Bearer {KEY}\r\n{framing}\r\n"
            "Connection: close\r\n\r\n"
        )
        with socket.create_connection(address, WAIT_S) as sock:
            sending = gevent.spawn(self._send, sock, head.encode())
            self._read(sock)
            sending.join()

    @property
    def status(self):
        return int(self.raw.split(b" ", 2)[1]) if self.raw else 0

    @property
    def body(self):
        """The body of a complete response, else None."""
        head, _, body = self.raw.partition(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
        )
        if b"transfer-encoding" in fields:
            return _unchunked(body)
        if b"content-length" in fields:
            return body if len(body) == int(fields[b"content-length"]) else None
        return None if self.was_reset else body

    def _send(self, sock, head):
        try:
            sock.sendall(head)
            for number in range(UPLOAD_BLOCKS):
                if number in self._pauses:
                    gevent.sleep(0.2)
                framed = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)
                sock.sendall(framed if self._chunked else BLOCK)
            if self._chunked:
                sock.sendall(b"0\r\n\r\n")
        except ConnectionResetError:
            # The reader then sees the end of the stream instead.
            self.was_reset = True
        except OSError:
            # The response was ended first.
            return

    def _read(self, sock):
        try:
            while block := sock.recv(65_536):
                self.raw += block
        except ConnectionResetError:
            self.was_reset = True


def _unchunked(body):
    """Return a chunked body decoded, None if its end is missing."""
    decoded = b""
    while body:
        line, _, body = body.partition(b"\r\n")
        size = int(line, 16)
        if size == 0:
            return decoded if body == b"\r\n" else None
        decoded, body = decoded + body[:size], body[size + 2 :]
    return None
