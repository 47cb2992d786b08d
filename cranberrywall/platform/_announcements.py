"""Decode what targets tell control into announcements."""

from typing import Annotated, NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.targets import Announcement

UNKNOWN_VERSION = "unknown"
"""Version of a target whose heartbeats name none: it goes on with streams of such targets only."""

_READY = "ready"
_LEAVING = "draining"
_STATES = (_READY, _LEAVING)
_REMEDY = "send the fields of a heartbeat as they are listed"
_MOST = 2**63 - 1
_MILLISECONDS = 1000.0

_Number = Annotated[int, msgspec.Meta(ge=0, le=_MOST)]
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Label = Annotated[str, msgspec.Meta(max_length=256)]
_Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class _Model(msgspec.Struct):
    name: _Text


class _Heartbeat(msgspec.Struct):
    service: _Text
    addr: _Address
    call_seq: _Number  # rises with each call of one start of a target
    born: _Number = 0  # wall milliseconds of that start; a target may start again under its id
    zone: str = ""
    version: _Label = UNKNOWN_VERSION
    slots: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1
    state: str = _READY
    models: list[_Model] = []  # there for model engines only
    cold_left_ms: float = 0.0


class Heartbeat(NamedTuple):
    """Hold what a heartbeat says; the target is cold for ``cold_left_s`` more seconds."""

    announcement: Announcement
    cold_left_s: float


class _Leave(msgspec.Struct):
    born: _Number | None = None


_decoder = msgspec.json.Decoder(_Heartbeat)
_leave_decoder = msgspec.json.Decoder(_Leave)


def decode_heartbeat(instance: str, body: bytes) -> Result[Heartbeat, Refusal]:
    """Return what a heartbeat says of ``instance``, or a refusal.

    Others than targets may write heartbeats. One that lacks a field, or has a value that is
    not as listed, names no target to use.
    """
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(_unreadable(str(error)))
    if heartbeat.state not in _STATES:
        return Err(_unreadable(f"unknown state {heartbeat.state!r}"))
    announcement = Announcement(
        target=instance,
        incarnation=heartbeat.born,
        counter=heartbeat.call_seq,
        kind="engine" if heartbeat.models else "service",
        name=heartbeat.service,
        place=heartbeat.zone,
        url=f"http://{heartbeat.addr}",
        capacity=heartbeat.slots,
        versions=(heartbeat.version or UNKNOWN_VERSION,),
        leaving=heartbeat.state == _LEAVING,
    )
    return Ok(Heartbeat(announcement, max(0.0, heartbeat.cold_left_ms) / _MILLISECONDS))


def decode_leave(
    instance: str, body: bytes, known: Announcement | None
) -> Result[Announcement, Refusal]:
    """Return the announcement that ``instance`` leaves, which overtakes all others of its start.

    A call that does not tell its start is taken to be of the start that is ``known``.
    """
    try:
        leave = _leave_decoder.decode(body) if body else _Leave()
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(_unreadable(str(error)))
    if known is not None and leave.born in (None, known.incarnation):
        return Ok(known._replace(leaving=True, counter=known.counter + 1))
    return Ok(
        Announcement(
            target=instance,
            incarnation=leave.born or 0,
            counter=0,
            kind="service",
            name="",
            place="",
            url="",
            capacity=1,
            leaving=True,
        )
    )


def _unreadable(message: str) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, message, "body", _REMEDY)
