"""Decode the operator's configuration into the project's document."""

import hashlib
from typing import Any, NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberrywall.configuration import RANK_OF_ROUTE, Document
from cranberrywall.errors import ErrorKind, Refusal

_POLICY = "default"
_UNIT = "tokens"
_ANY_NUMBER = 1_000_000_000
_HIGHEST_RANK = 9
_DEADLINE_S = 60.0
_MILLISECONDS = 1000.0
_HELD_BACK = 0.02
"""The share of what is left of a budget that stays at the ledger.

A cut keeps it from all hosts. Hosts without disks give back nearly all that they hold after any
loss, so that there is little to keep it for."""

_REMEDY = "correct the field and send the configuration again under the same number"


class _Share(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    service: str | None = None
    split: list[_Share] = []
    goal_ms: float = 0.0
    gap_goal_ms: float = 0.0
    priority: int = 0
    attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_capacity: int = 1
    stride: int = 1  # tokens in one event of a stream


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_conns: int = _ANY_NUMBER
    cold_s: float = 0.0  # 0 in either of the two: no bound
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: int | None = None
    prepaid: int | None = None  # the total for the day, not what is left


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Body(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_decoder = msgspec.json.Decoder(_Body)


class NumberedDocument(NamedTuple):
    """Pair a document with the operator's number for it; the highest number is in force."""

    number: int
    document: Document


def decode_document(
    body: bytes, region_by_place: dict[str, str]
) -> Result[NumberedDocument, Refusal]:
    """Return the document in a configuration's body, or a refusal that names the field."""
    try:
        # The decoder passes over fields that it does not know without decoding their text.
        read = _decoder.decode(body.decode("utf-8"))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(Refusal(ErrorKind.BAD_REQUEST, str(error), "body", _REMEDY))
    refusal = _check(read)
    if refusal is not None:
        return Err(refusal)
    return Ok(NumberedDocument(read.version, _document(read, region_by_place)))


def _check(body: _Body) -> Refusal | None:
    services = {service.name for service in body.services}
    if len(services) < len(body.services):
        return _bad("services", "two services have the same name")
    seen: set[tuple[str, str]] = set()
    for number, route in enumerate(body.routes):
        field = f"routes[{number}]"
        refusal = _check_route(route, field, services)
        if refusal is not None:
            return refusal
        if (route.host, route.path_prefix) in seen:
            return _bad(f"{field}.path_prefix", "another route has this host and prefix")
        seen.add((route.host, route.path_prefix))
    return _check_keys(body.tenants)


def _check_route(route: _Route, field: str, services: set[str]) -> Refusal | None:
    # A split is checked also where the route names a service, which goes before it.
    for name, _ in (*_shares(route), *_split(route)):
        if name not in services:
            return _bad(f"{field}.service", f"there is no service {name!r}")
    weights = [weight for _, weight in _split(route) or _shares(route)]
    if any(weight < 0 for weight in weights) or sum(weights) <= 0:
        return _bad(f"{field}.split", "the weights must add up to more than 0")
    if route.timeout_ms <= 0:
        return _bad(f"{field}.timeout_ms", "must be more than 0")
    if route.attempts < 1:
        return _bad(f"{field}.attempts", "must be at least 1")
    return None


def _check_keys(tenants: list[_Tenant]) -> Refusal | None:
    name_by_key: dict[str, str] = {}
    names: set[str] = set()
    for number, tenant in enumerate(tenants):
        if tenant.name in names:
            return _bad(f"tenants[{number}].name", "another tenant has this name")
        names.add(tenant.name)
        for key in tenant.api_keys:
            if name_by_key.setdefault(key, tenant.name) != tenant.name:
                message = f"is also a key of {name_by_key[key]!r}"
                return _bad(f"tenants[{number}].api_keys", message)
        if tenant.prepaid is not None and tenant.prepaid < 0:
            return _bad(f"tenants[{number}].prepaid", "must not be negative")
    return None


def _bad(field: str, message: str) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, message, field, _REMEDY)


def _shares(route: _Route) -> list[tuple[str, int]]:
    if route.service is not None:
        return [(route.service, 1)]
    return _split(route)


def _split(route: _Route) -> list[tuple[str, int]]:
    return [(share.service, share.weight) for share in route.split]


def _document(body: _Body, region_by_place: dict[str, str]) -> Document:
    rank_by_class = {_class_of(one): _rank(one.priority) for one in body.tenants}
    return {
        "workspaces": {one.name: _workspace(one) for one in body.tenants},
        "budgets": {one.name: _budget(one) for one in body.tenants},
        "priorities": {
            name: {"rank": rank, "deadline_s": _DEADLINE_S}
            for name, rank in sorted(rank_by_class.items())
        },
        "models": {},
        "services": {one.name: _service(one) for one in body.services},
        "places": {place: {"region": region} for place, region in region_by_place.items()},
        "hosts": {},
        "policies": {_POLICY: {"held_back": _HELD_BACK, "isolated": "refuse", "input_margin": 1.0}},
        "ledger_groups": 1,
        "routes": {f"{one.host}{one.path_prefix}": _route(one) for one in body.routes},
        "arrival_limits": {
            "header_bytes": max(1, body.limits.max_header_bytes),
            "body_bytes": max(1, body.limits.max_body_bytes),
            "header_timeout_s": max(1.0, body.limits.header_timeout_ms) / _MILLISECONDS,
            "idle_timeout_s": max(1.0, body.limits.idle_timeout_ms) / _MILLISECONDS,
        },
    }


def _workspace(tenant: _Tenant) -> Any:
    digests = (hashlib.sha256(key.encode()).hexdigest() for key in tenant.api_keys)
    rank_class = _class_of(tenant)
    return {
        "keys": {f"key-{number}": {"sha256": digest} for number, digest in enumerate(digests)},
        "budget": tenant.name,
        "reach": {"models": [], "services": []},
        "priority": rank_class,
        "priorities": [rank_class],
        "policy": _POLICY,
        "concurrent": _ANY_NUMBER,
    }


def _budget(tenant: _Tenant) -> Any:
    if tenant.prepaid is None:
        return {"unit": _UNIT}
    return {"unit": _UNIT, "total": tenant.prepaid}


def _service(service: _Service) -> Any:
    fields: dict[str, Any] = {
        "not_repeatable": [],
        "cost": 1,
        "health_path": service.health_path,
        "connections": max(1, service.max_conns),
    }
    if service.cold_s > 0 and service.cold_per_s > 0:
        fields["cold_start"] = {"duration_s": service.cold_s, "per_s": service.cold_per_s}
    if service.engine is not None:
        fields["engine"] = {
            "slots": max(1, service.engine.slots),
            "memory_tokens": max(1, service.engine.kv_capacity),
            "tokens_per_event": max(1, service.engine.stride),
        }
    return fields


def _route(route: _Route) -> Any:
    known = ("idempotent", "non_idempotent", "stream")
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.path_prefix,
        # A kind that this version does not know is served, and never sent twice.
        "kind": route.kind if route.kind in known else "non_idempotent",
        "shares": [{"service": name, "weight": weight} for name, weight in _shares(route)],
        "attempts": route.attempts,
        "timeout_s": route.timeout_ms / _MILLISECONDS,
        "goal_s": route.goal_ms / _MILLISECONDS,
        "gap_goal_s": route.gap_goal_ms / _MILLISECONDS,
        "rank": max(0, route.priority),
        "is_public": route.public,
        "is_resumable": route.resumable,
    }


def _rank(priority: int | None) -> int:
    return _HIGHEST_RANK if priority is None else min(_HIGHEST_RANK, max(0, priority))


def _class_of(tenant: _Tenant) -> str:
    return RANK_OF_ROUTE if tenant.priority is None else f"rank-{_rank(tenant.priority)}"
