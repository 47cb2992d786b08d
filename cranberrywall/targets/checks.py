"""Validation of announcements that targets send."""

import re

import msgspec
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.targets.messages import AnnounceBody, Announcement, CacheEvent, Load

_DECODER = msgspec.json.Decoder(AnnounceBody)
_MISSING_FIELD = re.compile(r"missing required field `(\w+)`")
_PATH = re.compile(r" - at `\$\.?([^`]*)`$")
_REMEDY = "send the fields of an announcement as the targets' HTTP contract lists them"


def read_announcement(body: bytes) -> Result[Announcement, Refusal]:
    """Return the announcement in a JSON body, or a refusal that names the invalid field.

    >>> read_announcement(b'{"target": 5}').unwrap_err().field
    'target'
    """
    try:
        fields = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(_refusal(str(error)))
    refusal = _check_models(fields)
    if refusal is not None:
        return Err(refusal)
    return Ok(_announcement(fields))


def _check_models(fields: AnnounceBody) -> Refusal | None:
    models = fields.get("models")
    if fields["kind"] == "service" and (models is not None or "slots" in fields):
        field = "models" if models is not None else "slots"
        return _bad_request(field, "a service has no models", "leave out models and slots")
    if models is not None and fields["name"] not in models:
        remedy = f"list {fields['name']} too, or leave out models if it loads no other"
        return _bad_request(
            "models", "models must contain the model that the engine announces", remedy
        )
    versions = len(fields.get("versions", []))
    if fields.get("slots", versions) < versions:
        remedy = f"send at least {versions}, or leave out slots"
        return _bad_request("slots", f"the engine announces {versions} versions", remedy)
    return None


def _bad_request(field: str, message: str, remedy: str) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, message, field, remedy)


def _refusal(text: str) -> Refusal:
    path = _PATH.search(text)
    missing = _MISSING_FIELD.search(text)
    field = path.group(1) if path else ""
    if missing:
        field = f"{field}.{missing.group(1)}" if field else missing.group(1)
    return Refusal(ErrorKind.BAD_REQUEST, _PATH.sub("", text), field or "body", _REMEDY)


def _announcement(fields: AnnounceBody) -> Announcement:
    return Announcement(
        target=fields["target"],
        incarnation=fields["incarnation"],
        counter=fields["counter"],
        kind=fields["kind"],
        name=fields["name"],
        place=fields["place"],
        url=fields["url"],
        capacity=fields["capacity"],
        versions=tuple(fields.get("versions", ())),
        adapters=tuple(fields.get("adapters", ())),
        checks_fencing=fields.get("checks_fencing", False),
        leaving=fields.get("leaving", False),
        load=_load(fields),
        cache_events=_cache_events(fields),
        models=tuple(fields.get("models", ())),
        slots=fields.get("slots", 0),
    )


def _load(fields: AnnounceBody) -> Load | None:
    load = fields.get("load")
    if load is None:
        return None
    return Load(load["running"], load["waiting"], load["at"])


def _cache_events(fields: AnnounceBody) -> tuple[CacheEvent, ...]:
    events = fields.get("cache_events", [])
    return tuple(
        CacheEvent(event["seq"], event["op"], bytes.fromhex(event["prefix"])) for event in events
    )
