"""Framing of calls, responses and one-way messages in a byte stream."""

import struct
from collections.abc import Iterator
from enum import IntEnum

import msgpack
import msgspec
from msgspec import Struct

from lacewingpond.peers.base import Message

RECEIVE_BYTES = 65_536
BIN_32 = 0xC6
"""First byte of a msgpack ``bin 32``."""
HEADER = struct.Struct(">BI")  # BIN_32 and the payload length in bytes


class FrameError(Exception):
    """The stream is malformed and can't be read any further."""


class FrameKind(IntEnum):
    """Type of a frame."""

    CALL = 1
    RESPONSE = 2
    ERROR = 3
    ONE_WAY = 4


class Frame(Struct, frozen=True, array_like=True):
    """One unit of the stream.

    Parameters
    ----------
    kind : FrameKind
        Call, response, error or one-way message.
    number : int
        Correlates a response with its call; unique on one connection.
    body : object
        A message, an error text, or None.
    """

    kind: FrameKind
    number: int
    body: object = None


_ENCODER = msgspec.msgpack.Encoder()


def pack(value: Struct) -> bytes:
    """Return `value` encoded as msgpack, without a frame header."""
    return _ENCODER.encode(value)


def encode(value: Struct) -> bytes:
    """Return `value` as a frame: msgpack within a msgpack ``bin 32``.

    The length prefix lets a reader refuse an oversized frame before it arrives, and
    wait for a complete one without a streaming parser for each connection.
    """
    data = pack(value)
    return HEADER.pack(BIN_32, len(data)) + data


class FrameReader:
    """Decodes a stream of frames with bounded memory.

    Parameters
    ----------
    max_frame_bytes : int
        Maximum size of a frame, including its header.
    max_items : int
        Maximum length of an array or map within a frame.
    """

    __slots__ = ("_buffer", "_max_bytes", "_max_items")

    def __init__(self, max_frame_bytes: int, max_items: int) -> None:
        self._buffer = bytearray()
        self._max_bytes = max_frame_bytes
        self._max_items = max_items

    def feed(self, data: bytes) -> Iterator[tuple[object, int]]:
        """Yield the value of each complete frame and its size in bytes.

        Raises
        ------
        FrameError
            If the stream is malformed or a frame is too long.
        """
        self._buffer += data
        while (end := self._frame_end()) is not None:
            payload = bytes(self._buffer[HEADER.size : end])
            del self._buffer[:end]
            yield self._unpack(payload), end

    @property
    def missing_bytes(self) -> int:
        """Number of bytes to read next, at least one.

        The rest of the header, or of the frame once its header is complete.
        """
        if len(self._buffer) < HEADER.size:
            return HEADER.size - len(self._buffer)
        _, length = HEADER.unpack_from(self._buffer)
        return HEADER.size + length - len(self._buffer)

    def _frame_end(self) -> int | None:
        if self._buffer and self._buffer[0] != BIN_32:
            raise FrameError("invalid frame header")
        if len(self._buffer) < HEADER.size:
            return None
        _, length = HEADER.unpack_from(self._buffer)
        end = HEADER.size + length
        if end > self._max_bytes:
            raise FrameError(f"frame longer than {self._max_bytes} bytes")
        return end if len(self._buffer) >= end else None

    def _unpack(self, payload: bytes) -> object:
        try:
            return msgpack.unpackb(
                payload,
                raw=False,
                max_array_len=self._max_items,
                max_map_len=self._max_items,
            )
        except (ValueError, msgpack.UnpackException) as exc:
            raise FrameError(f"invalid msgpack: {exc}") from exc


def to_frame(value: object) -> Frame:
    """Return `value` as a `Frame`; raise `FrameError` if it isn't one."""
    return _convert(value, Frame)


def to_message(body: object, kind: type[Message] | None = None) -> Message:
    """Return the typed message in `body`.

    Parameters
    ----------
    body : object
        The decoded body of a frame.
    kind : type or None
        Class of the message; None looks it up by the name in the body.

    Raises
    ------
    FrameError
        If the class is unknown or `body` does not match it.
    """
    return _convert(body, kind or message_type(message_name(body)))


def message_name(body: object) -> str:
    """Return the class name at the start of `body`; raise `FrameError` if none."""
    if isinstance(body, list) and body and isinstance(body[0], str):
        return body[0]
    raise FrameError("message without a class name")


def message_type(name: str) -> type[Message]:
    """Return the message class named `name`; raise `FrameError` if there is none."""
    kind = _MESSAGE_TYPES.get(name)
    if kind is None:
        _collect_types(Message)
        kind = _MESSAGE_TYPES.get(name)
    if kind is None:
        raise FrameError(f"unknown message class {name[:40]!r}")
    return kind


_MESSAGE_TYPES: dict[str, type[Message]] = {}


def _collect_types(base: type[Message]) -> None:
    for kind in base.__subclasses__():
        _MESSAGE_TYPES[kind.__name__] = kind
        _collect_types(kind)


def _convert(value: object, kind: type) -> object:
    try:
        return msgspec.convert(value, kind, builtin_types=(bytes,))
    except msgspec.ValidationError as exc:
        raise FrameError(f"invalid {kind.__name__}: {exc}") from exc
