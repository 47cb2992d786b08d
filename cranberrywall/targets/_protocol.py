"""HTTP protocol that limits how long the head of an answer may take to arrive."""

import asyncio
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage, BadStatusLine

from cranberrywall.runtime import reset_on_close

HEAD_TIMEOUT_S = 0.5
"""Maximum time from the first byte of an answer's head to its last one, in seconds."""

MAX_INTERIM_ANSWERS = 8
"""Maximum number of interim answers before a final one.

A target may send some to one request (RFC 9110, section 15.2), and has reason for a few: one that
confirms an upload, and some hints. As many heads may follow a final answer before the next
request."""

MAX_INTERIM_BYTES = 64 * 1024
"""Maximum size of all heads of one answer if any of them is interim, in bytes.

Common servers and proxies limit one head to 8 to 64 KiB."""

INTERIM_TIMEOUT_S = 1.0
"""Maximum time that the interim answers to one request may take to arrive, in seconds.

The time between them does not count, as the target may be at work. Each is sent in one piece, so
this is needed only while a link or the event loop of this host is late."""

PIECE_BYTES = 4 * 1024
"""Maximum size of what is parsed before the heads in it are counted, in bytes.

A read of the socket may have thousands of heads, each of which takes kilobytes when parsed."""

_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_MIN_STATUS = 100
_MAX_STATUS = 599


def is_valid_status(status: int) -> bool:
    """Return whether a status is one of HTTP (RFC 9110, section 15).

    >>> is_valid_status(0), is_valid_status(200), is_valid_status(600)
    (False, True, False)
    """
    return _MIN_STATUS <= status <= _MAX_STATUS


def _is_interim(status: int) -> bool:
    """Return whether another head follows one with this status.

    >>> _is_interim(100), _is_interim(101), _is_interim(103), _is_interim(200)
    (True, False, True, False)
    """
    return status < _FIRST_FINAL_STATUS and status != _SWITCHING_PROTOCOLS


class TargetProtocol(ResponseHandler):
    """Protocol of one connection to a target.

    A target sends the head of its answer in one piece. One that sends it byte by byte is faulty,
    and could hold its request until the deadline. If ``limits_head``, the connection is aborted
    ``HEAD_TIMEOUT_S`` after the first byte.

    A head whose status is not valid is no answer, and the connection is aborted. So are interim
    answers beyond ``MAX_INTERIM_ANSWERS``, ``MAX_INTERIM_BYTES`` or ``INTERIM_TIMEOUT_S``, whatever
    ``limits_head`` is: a target may send them until its connection is closed. Heads that nobody
    asked for are limited as well. They abort the connection, but do not fail the answer before
    them.

    A connection that is aborted is reset: a target that was out of reach must not receive the
    request once it has been sent to another one. An answer that is being read on it is broken:
    transports report an end that this host caused like one in order. ``loss`` is the error that
    ended the connection, if there was one, and ``cut_body`` the body that ended with it, if no
    framing had marked its end before.
    """

    def __init__(self, loop: Any, limits_head: bool) -> None:
        super().__init__(loop)
        self._limits_head = limits_head
        self._awaits_head = False
        self._is_aborted = False
        self.loss: BaseException | None = None
        self._body: aiohttp.StreamReader | None = None
        self.cut_body: aiohttp.StreamReader | None = None
        self._is_refused = False
        self._heads = 0
        self._interim_answers = 0
        self._unrequested_heads = 0
        self._received_bytes = 0
        self._interim_s = 0.0
        self._head_began_at: float | None = None
        self._head_timer: asyncio.TimerHandle | None = None

    def set_response_params(self, **options: Any) -> None:
        """Await the head of the answer to a request that is sent now."""
        self._awaits_head = True
        self._interim_answers = self._unrequested_heads = self._received_bytes = 0
        self._interim_s = 0.0
        self._head_began_at = None
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        now = self._loop.time()
        position = 0
        while not self._is_refused:
            end = len(data) if self._is_reading_body else position + PIECE_BYTES
            self._parse(data[position:end], now)
            position = end
            if self.exception() is not None:
                self._fail_body()
                return
            if position >= len(data):
                return

    def _fail_body(self) -> None:
        """Fail the body that is being read: the parser leaves its reader waiting after an error."""
        if self._body is not None and not self._body.is_eof() and self._body.exception() is None:
            self._body.set_exception(aiohttp.ClientPayloadError(str(self.exception())))

    @property
    def _is_reading_body(self) -> bool:
        return self._payload is not None and not self._payload.is_eof()

    def _parse(self, piece: bytes, now: float) -> None:
        heads_before = self._heads
        self._received_bytes += len(piece)
        super().data_received(piece)
        # After a 1xx status, the final head begins with later bytes.
        if self._heads > heads_before:
            if self._head_began_at is not None:
                self._interim_s += now - self._head_began_at
            self._head_began_at = None
        elif self._awaits_head:
            self._await_rest_of_head(now)
        if self._unrequested_heads > MAX_INTERIM_ANSWERS:
            self._is_refused = True
            self.abort()
        reason = self._find_excess()
        if reason:
            # The queue has interim heads, and at most a final one that came with too many of them.
            self._buffer.clear()
            self._awaits_head = False
            self._abort(BadHttpMessage(reason))

    def _await_rest_of_head(self, now: float) -> None:
        if self._head_began_at is None:
            self._head_began_at = now
        if self._limits_head and self._head_timer is None and self.is_connected():
            self._head_timer = self._loop.call_later(HEAD_TIMEOUT_S, self._abort_head)

    def _find_excess(self) -> str:
        """Return what of the interim answers is over its limit; empty if nothing is."""
        if self._is_refused or not self._interim_answers:
            return ""
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            return f"more than {MAX_INTERIM_ANSWERS} interim answers"
        if not self._awaits_head:
            return ""
        if self._received_bytes > MAX_INTERIM_BYTES:
            return f"interim answers and no final one in {MAX_INTERIM_BYTES} bytes"
        if self._interim_s > INTERIM_TIMEOUT_S:
            return f"interim answers took more than {INTERIM_TIMEOUT_S} s to arrive"
        return ""

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a complete head."""
        if self._is_refused:
            return
        self._stop_head_timer()
        self._heads += 1
        message, self._body = data
        if not is_valid_status(message.code):
            self._awaits_head = False
            self._abort(BadStatusLine(f"status {message.code:03}"))
            return
        if self._awaits_head and _is_interim(message.code):
            self._interim_answers += 1
        elif self._awaits_head:
            self._awaits_head = False
        else:
            self._unrequested_heads += 1
        if max(self._interim_answers, self._unrequested_heads) <= MAX_INTERIM_ANSWERS:
            super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._awaits_head = False
        self._stop_head_timer()
        if exc is None and self._is_aborted:
            exc = ConnectionAbortedError("this host aborted the connection")
        self.loss = exc
        if self._body is not None and not self._body.is_eof():
            self.cut_body = self._body
        super().connection_lost(exc)

    def abort(self) -> None:
        """Reset the connection."""
        self._reset_on_close()
        # The inherited method forgets the body that is being read, whose reader would wait on.
        if self.transport is not None:
            self._is_aborted = True
            self.transport.abort()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _abort_head(self) -> None:
        self._head_timer = None
        self._awaits_head = False
        self._abort(
            aiohttp.ServerTimeoutError(
                f"the head of the answer was not complete {HEAD_TIMEOUT_S} s after its first byte"
            )
        )

    def _abort(self, error: Exception) -> None:
        self._is_refused = True
        self.set_exception(error)
        if self.transport is not None:
            self._reset_on_close()
            self.transport.abort()

    def _reset_on_close(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        # A connection through a neighbour has no socket here; the neighbour resets its own.
        connection = self.transport.get_extra_info("socket")
        if connection is not None:
            reset_on_close(connection)
