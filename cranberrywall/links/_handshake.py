"""Handshake of a new connection: both ends prove that they have the fleet's key.

Each end sends a fresh nonce and answers the other end's nonce with an HMAC over the version, both
nonces and both identities. A replayed proof fails because the nonce is new. A proof that is
reflected to its sender fails because the proof includes the role of its end. Over TLS, the host in
an identity must also be one of the hosts in that end's certificate.
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
    """Both ends of the handshake, for one key and one identity."""

    def __init__(self, key: bytes, identity: Peer, max_bytes: int, counters: LinkCounters) -> None:
        self._key = key
        self._identity = identity
        self._max_bytes = max_bytes
        self._counters = counters

    async def as_client(self, reader: Reader, writer: Writer) -> Peer:
        """Run the client's end and return the server's identity.

        Raises:
            BadFrameError: the server sent an invalid frame, proof or identity.
            ConnectionError: the connection ended.
        """
        nonce = secrets.token_bytes(_NONCE_BYTES)
        await self._send(writer, FrameKind.HELLO, _Hello(nonce, self._identity))
        challenge: _Challenge = await self._receive(reader, FrameKind.CHALLENGE, _Challenge)
        session = (nonce, challenge.nonce, self._identity, challenge.server)
        self._verify_proof(challenge.proof, "server", session)
        _check_certificate(writer, challenge.server)
        await self._send(writer, FrameKind.PROOF, _Proof(self._compute_proof("client", session)))
        await self._receive(reader, FrameKind.WELCOME, tuple)
        return challenge.server

    async def as_server(self, reader: Reader, writer: Writer) -> Peer:
        """Run the server's end and return the client's identity.

        Raises:
            BadFrameError: the client sent an invalid frame, proof or identity.
            ConnectionError: the connection ended.
        """
        hello: _Hello = await self._receive(reader, FrameKind.HELLO, _Hello)
        if len(hello.nonce) != _NONCE_BYTES:
            raise BadFrameError(DropReason.MALFORMED_FRAME)
        nonce = secrets.token_bytes(_NONCE_BYTES)
        session = (hello.nonce, nonce, hello.client, self._identity)
        challenge = _Challenge(nonce, self._identity, self._compute_proof("server", session))
        await self._send(writer, FrameKind.CHALLENGE, challenge)
        proof: _Proof = await self._receive(reader, FrameKind.PROOF, _Proof)
        self._verify_proof(proof.proof, "client", session)
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
        frame = await read_frame(reader, self._max_bytes, self._counters)
        if frame is None:
            raise ConnectionResetError("the peer closed the connection during the handshake")
        if frame[0] != kind:
            raise BadFrameError(DropReason.UNKNOWN_FRAME)
        return decode_body(body_type, frame[1])

    def _compute_proof(self, role: str, session: tuple[bytes, bytes, Peer, Peer]) -> bytes:
        text = msgspec.msgpack.encode([role, VERSION, *session])
        return hmac.digest(self._key, text, hashlib.sha256)

    def _verify_proof(
        self, proof: bytes, role: str, session: tuple[bytes, bytes, Peer, Peer]
    ) -> None:
        if not hmac.compare_digest(proof, self._compute_proof(role, session)):
            raise BadFrameError(DropReason.WRONG_PROOF)


def _check_certificate(writer: Writer, peer: Peer) -> None:
    # All hosts have the same fleet key, so a proof alone lets any of them impersonate another.
    hosts = writer.peer_hosts() if isinstance(writer, CertifiedWriter) else None
    if hosts is not None and peer.host not in hosts:
        raise BadFrameError(DropReason.WRONG_CERTIFICATE)
