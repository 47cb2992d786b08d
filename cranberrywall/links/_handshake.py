"""Prove to each other, on a new connection, that both ends hold the fleet's key.

Each end sends a fresh nonce and answers the other's with an HMAC over the version, both
nonces and both identities. A recorded proof fails against a new nonce, and a proof sent back
to its maker fails because the two ends' proofs name their role. Over TLS, an identity's host must
also be one that the certificate at its end names.
"""

import hashlib
import hmac
import secrets
from typing import Any, NamedTuple

import msgspec

from cranberrywall.links._counters import DropReason, LinkCounters
from cranberrywall.links._frames import (
    VERSION,
    BadFrameError,
    FrameKind,
    decode_body,
    encode_frame,
    read_frame,
)
from cranberrywall.links._interfaces import Peer
from cranberrywall.runtime import CertifiedWriter, Reader, Writer

_NONCE_BYTES = 32


class _Hello(NamedTuple):
    nonce: bytes
    client: Peer


class _Challenge(NamedTuple):
    nonce: bytes
    server: Peer
    proof: bytes


class _Proof(NamedTuple):
    proof: bytes


class Handshake:
    """Run either end of the handshake, with what it needs."""

    def __init__(self, key: bytes, identity: Peer, most_bytes: int, counters: LinkCounters) -> None:
        self._key = key
        self._identity = identity
        self._most_bytes = most_bytes
        self._counters = counters

    async def as_client(self, reader: Reader, writer: Writer) -> Peer:
        """Return the server's identity, or raise ``BadFrameError`` or ``ConnectionError``."""
        nonce = secrets.token_bytes(_NONCE_BYTES)
        await self._send(writer, FrameKind.HELLO, _Hello(nonce, self._identity))
        challenge: _Challenge = await self._receive(reader, FrameKind.CHALLENGE, _Challenge)
        session = (nonce, challenge.nonce, self._identity, challenge.server)
        self._check(challenge.proof, "server", session)
        _check_certificate(writer, challenge.server)
        await self._send(writer, FrameKind.PROOF, _Proof(self._prove("client", session)))
        await self._receive(reader, FrameKind.WELCOME, tuple)
        return challenge.server

    async def as_server(self, reader: Reader, writer: Writer) -> Peer:
        """Return the client's identity, or raise ``BadFrameError`` or ``ConnectionError``."""
        hello: _Hello = await self._receive(reader, FrameKind.HELLO, _Hello)
        if len(hello.nonce) != _NONCE_BYTES:
            raise BadFrameError(DropReason.MALFORMED_FRAME)
        nonce = secrets.token_bytes(_NONCE_BYTES)
        session = (hello.nonce, nonce, hello.client, self._identity)
        challenge = _Challenge(nonce, self._identity, self._prove("server", session))
        await self._send(writer, FrameKind.CHALLENGE, challenge)
        proof: _Proof = await self._receive(reader, FrameKind.PROOF, _Proof)
        self._check(proof.proof, "client", session)
        _check_certificate(writer, hello.client)
        await self._send(writer, FrameKind.WELCOME, ())
        return hello.client

    async def _send(self, writer: Writer, kind: FrameKind, body: Any) -> None:
        frame = encode_frame(kind, body)
        writer.write(frame)
        self._counters.frames_out += 1
        self._counters.bytes_out += len(frame)
        await writer.drain()

    async def _receive(self, reader: Reader, kind: FrameKind, body_type: type) -> Any:
        frame = await read_frame(reader, self._most_bytes, self._counters)
        if frame is None:
            raise ConnectionResetError("the peer closed the connection in the handshake")
        if frame[0] != kind:
            raise BadFrameError(DropReason.UNKNOWN_FRAME)
        return decode_body(body_type, frame[1])

    def _prove(self, role: str, session: tuple[bytes, bytes, Peer, Peer]) -> bytes:
        text = msgspec.msgpack.encode([role, VERSION, *session])
        return hmac.digest(self._key, text, hashlib.sha256)

    def _check(self, proof: bytes, role: str, session: tuple[bytes, bytes, Peer, Peer]) -> None:
        if not hmac.compare_digest(proof, self._prove(role, session)):
            raise BadFrameError(DropReason.WRONG_PROOF)


def _check_certificate(writer: Writer, peer: Peer) -> None:
    # All hosts hold the one fleet key, so that its proof lets any of them pass for another.
    hosts = writer.peer_hosts() if isinstance(writer, CertifiedWriter) else None
    if hosts is not None and peer.host not in hosts:
        raise BadFrameError(DropReason.WRONG_CERTIFICATE)
