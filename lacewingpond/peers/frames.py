"""Frames: how calls, answers and one-way messages are laid out in a stream."""

from collections.abc import Iterator
from enum import IntEnum

import msgpack
import msgspec
from msgspec import Struct

from lacewingpond.peers.base import Message

RECEIVE_BYTES = 65_536
FIRST_BUFFER_BYTES = 4_096
"""A reader's buffer at first; the library's default is a megabyte a connection."""


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


def encode(frame: Struct) -> bytes:
    """Return `frame` as msgpack."""
    return _ENCODER.encode(frame)


class FrameReader:
    """Decodes a stream of msgpack values with bounded memory.

    Parameters
    ----------
    max_frame_bytes : int
        Longest value that is accepted.
    max_items : int
        Longest array or map within a value.
    """

    __slots__ = ("_unpacker", "_max_bytes", "_fed")

    def __init__(self, max_frame_bytes: int, max_items: int) -> None:
        self._max_bytes = max_frame_bytes
        self._fed = 0
        self._unpacker = msgpack.Unpacker(
            raw=False,
            read_size=FIRST_BUFFER_BYTES,
            max_buffer_size=max_frame_bytes + RECEIVE_BYTES,
            max_array_len=max_items,
            max_map_len=max_items,
        )

    def feed(self, data: bytes) -> Iterator[tuple[object, int]]:
        """Yield each complete value in the stream so far with its length in bytes.

        Raises
        ------
        FrameError
            When the stream is not msgpack or a value is too long.
        """
        try:
            self._unpacker.feed(data)
            self._fed += len(data)
            yield from self._values()
        except msgpack.OutOfData:
            return
        except (ValueError, msgpack.UnpackException) as exc:
            raise FrameError(f"not a frame: {exc}") from exc

    def _values(self) -> Iterator[tuple[object, int]]:
        start = self._unpacker.tell()
        for value in self._unpacker:
            end = self._unpacker.tell()
            self._check(end - start)
            yield value, end - start
            start = end
        self._check(self._fed - start)

    def _check(self, size: int) -> None:
        if size > self._max_bytes:
            raise FrameError(f"frame longer than {self._max_bytes} bytes")


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
