"""Decode what targets tell control into announcements."""

import msgspec
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.targets import Announcement

_LEAVING = "draining"
_REMEDY = "send the fields of a heartbeat as they are listed"


class _Heartbeat(msgspec.Struct):
    service: str
    addr: str
    call_seq: int  # rises with each call of one instance, which is one start of a target
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    models: list[msgspec.Raw] = []  # there for model engines only


_decoder = msgspec.json.Decoder(_Heartbeat)


def decode_heartbeat(instance: str, body: bytes) -> Result[Announcement, Refusal]:
    """Return the announcement in a heartbeat of ``instance``.

    Each start of a target has an id of its own, so incarnations need not be told apart.
    """
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(Refusal(ErrorKind.BAD_REQUEST, str(error), "body", _REMEDY))
    return Ok(
        Announcement(
            target=instance,
            incarnation=0,
            counter=max(0, heartbeat.call_seq),
            kind="engine" if heartbeat.models else "service",
            name=heartbeat.service,
            place=heartbeat.zone,
            url=f"http://{heartbeat.addr}",
            capacity=max(1, heartbeat.slots),
            leaving=heartbeat.state == _LEAVING,
        )
    )


def leave_of(instance: str, known: Announcement | None) -> Announcement:
    """Return the announcement that ``instance`` leaves, which overtakes all others of it."""
    if known is not None:
        return known._replace(leaving=True, counter=known.counter + 1)
    return Announcement(
        target=instance,
        incarnation=0,
        counter=0,
        kind="service",
        name="",
        place="",
        url="",
        capacity=1,
        leaving=True,
    )
