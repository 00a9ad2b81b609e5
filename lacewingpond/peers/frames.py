"""Frames: how calls, answers and one-way messages are laid out in a stream."""

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
HEADER = struct.Struct(">BI")


class FrameError(Exception):
    """The stream holds something that is not a frame; it can't be read further."""


class FrameKind(IntEnum):
    """What a frame asks for."""

    CALL = 1
    ANSWER = 2
    ERROR = 3
    ONE_WAY = 4


class Frame(Struct, frozen=True, array_like=True):
    """One unit of the stream.

    Parameters
    ----------
    kind : FrameKind
        Call, answer, error or one-way message.
    number : int
        Ties an answer to its call; unique on one connection.
    body : object
        A message, or the text of an error, or None.
    """

    kind: FrameKind
    number: int
    body: object = None


_ENCODER = msgspec.msgpack.Encoder()


def pack(value: Struct) -> bytes:
    """Return `value` as msgpack."""
    return _ENCODER.encode(value)


def encode(value: Struct) -> bytes:
    """Return `value` as it goes into a stream: msgpack within a msgpack ``bin 32``.

    The length at the front lets a reader refuse a long frame before it arrives, and
    wait for a whole one without a parser of its own for each connection.
    """
    data = pack(value)
    return HEADER.pack(BIN_32, len(data)) + data


class FrameReader:
    """Decodes a stream of frames with bounded memory.

    Parameters
    ----------
    max_frame_bytes : int
        Longest frame that is accepted.
    max_items : int
        Longest array or map within a frame.
    """

    __slots__ = ("_buffer", "_max_bytes", "_max_items")

    def __init__(self, max_frame_bytes: int, max_items: int) -> None:
        self._buffer = bytearray()
        self._max_bytes = max_frame_bytes
        self._max_items = max_items

    def feed(self, data: bytes) -> Iterator[tuple[object, int]]:
        """Yield the value of each complete frame with its length in bytes.

        Raises
        ------
        FrameError
            When the stream does not hold frames or one is too long.
        """
        self._buffer += data
        while (end := self._frame_end()) is not None:
            payload = bytes(self._buffer[HEADER.size : end])
            del self._buffer[:end]
            yield self._unpacked(payload), end

    @property
    def missing(self) -> int:
        """Bytes that the next frame still lacks, as far as is known; at least one."""
        if len(self._buffer) < HEADER.size:
            return HEADER.size - len(self._buffer)
        _, length = HEADER.unpack_from(self._buffer)
        return HEADER.size + length - len(self._buffer)

    def _frame_end(self) -> int | None:
        if self._buffer and self._buffer[0] != BIN_32:
            raise FrameError("not a frame")
        if len(self._buffer) < HEADER.size:
            return None
        _, length = HEADER.unpack_from(self._buffer)
        end = HEADER.size + length
        if end > self._max_bytes:
            raise FrameError(f"frame longer than {self._max_bytes} bytes")
        return end if len(self._buffer) >= end else None

    def _unpacked(self, payload: bytes) -> object:
        try:
            return msgpack.unpackb(
                payload,
                raw=False,
                max_array_len=self._max_items,
                max_map_len=self._max_items,
            )
        except (ValueError, msgpack.UnpackException) as exc:
            raise FrameError(f"not msgpack: {exc}") from exc


def to_frame(value: object) -> Frame:
    """Return the frame in `value`, or raise `FrameError`."""
    return _convert(value, Frame)


def to_message(body: object, kind: type[Message] | None = None) -> Message:
    """Return the typed message in `body`, or raise `FrameError`.

    Parameters
    ----------
    body : object
        The decoded body of a frame.
    kind : type or None
        Class of the message; None finds it by the name in the body.
    """
    return _convert(body, kind or message_type(kind_name(body)))


def kind_name(body: object) -> str:
    """Return the class name that a message's body starts with."""
    if isinstance(body, list) and body and isinstance(body[0], str):
        return body[0]
    raise FrameError("a message without its kind")


def message_type(name: str) -> type[Message]:
    """Return the message class called `name`, or raise `FrameError`."""
    kind = _TYPES.get(name)
    if kind is None:
        _collect(Message)
        kind = _TYPES.get(name)
    if kind is None:
        raise FrameError(f"unknown kind of message {name[:40]!r}")
    return kind


_TYPES: dict[str, type[Message]] = {}


def _collect(base: type[Message]) -> None:
    for kind in base.__subclasses__():
        _TYPES[kind.__name__] = kind
        _collect(kind)


def _convert(value: object, kind: type) -> object:
    try:
        return msgspec.convert(value, kind, builtin_types=(bytes,))
    except msgspec.ValidationError as exc:
        raise FrameError(f"not a {kind.__name__}: {exc}") from exc
