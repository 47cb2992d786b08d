"""Codec that encodes a fixed set of message types as tagged msgpack arrays."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec


class MalformedMessageError(ValueError):
    """The bytes are not a message of one of the codec's types."""


class _Tagged(NamedTuple):
    tag: str
    body: msgspec.Raw


class MessageCodec:
    """Encodes and decodes the ``NamedTuple`` types with which it was created.

    >>> class Ping(NamedTuple):
    ...     number: int
    >>> codec = MessageCodec([Ping])
    >>> codec.decode(codec.encode(Ping(3)))
    Ping(number=3)
    """

    def __init__(self, types: Iterable[type]) -> None:
        self._decoder_by_tag: dict[str, msgspec.msgpack.Decoder[Any]] = {}
        for message_type in types:
            tag = message_type.__name__
            if tag in self._decoder_by_tag:
                raise ValueError(f"two message types are named {tag}")
            self._decoder_by_tag[tag] = msgspec.msgpack.Decoder(message_type)
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope = msgspec.msgpack.Decoder(_Tagged)

    def encode(self, message: Any) -> bytes:
        """Return the bytes of ``message``.

        Raises:
            ValueError: the codec does not include the message's type.
        """
        tag = type(message).__name__
        if tag not in self._decoder_by_tag:
            raise ValueError(f"{tag} is not a message type of this codec")
        return self._encoder.encode([tag, message])

    def decode(self, data: bytes) -> Any:
        """Return the message in ``data``.

        Raises:
            MalformedMessageError: the bytes are not a valid message of the codec.
        """
        try:
            tagged = self._envelope.decode(data)
            return self._decoder_by_tag[tagged.tag].decode(tagged.body)
        except KeyError as error:
            raise MalformedMessageError(f"unknown message type {error}") from error
        except msgspec.MsgspecError as error:
            raise MalformedMessageError(str(error)) from error
