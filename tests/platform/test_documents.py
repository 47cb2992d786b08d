"""Decode operators' configurations: valid ones whole, invalid ones refused by their field."""

import json
from typing import Any

import pytest
from result import Ok

from cranberrywall.configuration import check_document, make_fixed_configuration
from cranberrywall.platform._documents import decode_document

REGIONS = {"town-hall": "colombo"}


def body(**changes: Any) -> dict[str, Any]:
    route = {
        "name": "r-1",
        "host": "a.example",
        "path_prefix": "/letters/",
        "kind": "stream",
        "timeout_ms": 6000,
        "goal_ms": 800,
        "priority": 1,
        "split": [{"service": "engines", "weight": 90}, {"service": "ledger", "weight": 10}],
        "attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gap_goal_ms": 500,
    }
    made = {
        "version": 7,
        "routes": [route],
        "services": [
            {
                "name": "engines",
                "health_path": "/health",
                "max_conns": 360,
                "engine": {"slots": 64, "kv_capacity": 344_277, "stride": 4},
            },
            {"name": "ledger", "health_path": "/health", "max_conns": 100},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304},
        "tenants": [
            {"name": "desk", "api_keys": ["key-1", "key-2"], "priority": 1, "prepaid": 1000},
            {"name": "office", "api_keys": ["key-3"]},
        ],
    }
    return {**made, **changes}


def decode(fields: dict[str, Any]) -> Any:
    return decode_document(json.dumps(fields).encode(), REGIONS)


def test_a_configuration_becomes_a_document_that_the_project_accepts() -> None:
    number, document = decode(body()).unwrap()
    assert number == 7
    assert check_document(document) == []
    assert document["budgets"] == {
        "desk": {"unit": "tokens", "total": 1000},
        "office": {"unit": "tokens"},
    }
    [route] = document["routes"].values()
    assert (route["prefix"], route["timeout_s"], route["is_resumable"]) == ("/letters/", 6.0, True)
    assert document["services"]["engines"]["engine"]["tokens_per_event"] == 4


def test_each_key_leads_to_its_workspace() -> None:
    configuration = make_fixed_configuration(decode(body()).unwrap().document)
    named = configuration.workspace_by_key("key-2")
    assert named is not None
    assert named.name == "desk"
    assert configuration.workspace_by_key("unknown") is None


def test_fields_that_are_not_known_are_ignored() -> None:
    fields = body()
    fields["routes"][0]["from_next_year"] = {"deep": [1]}
    assert isinstance(decode({**fields, "also": 1}), Ok)


def test_a_kind_that_is_not_known_is_never_repeated() -> None:
    fields = body()
    fields["routes"][0]["kind"] = "keyed"
    [route] = decode(fields).unwrap().document["routes"].values()
    assert route["kind"] == "non_idempotent"


def with_route(**changes: Any) -> dict[str, Any]:
    fields = body()
    fields["routes"][0].update(changes)
    return fields


SHARE = {"service": "engines", "weight": 1}


def with_two_routes() -> dict[str, Any]:
    fields = body()
    fields["routes"].append({**fields["routes"][0], "name": "r-2"})
    return fields


def with_shared_key() -> dict[str, Any]:
    fields = body()
    fields["tenants"][1]["api_keys"] = ["key-2"]
    return fields


@pytest.mark.parametrize(
    ("fields", "field"),
    [
        (with_route(split=[{"service": "none", "weight": 1}]), "routes[0].service"),
        (with_route(split=[{"service": "engines", "weight": 0}]), "routes[0].split"),
        (with_route(split=[]), "routes[0].split"),
        (with_route(service="none"), "routes[0].service"),
        (with_route(split=[SHARE, {"service": "none", "weight": 0}]), "routes[0].service"),
        (with_route(split=[SHARE, {"service": "ledger", "weight": -1}]), "routes[0].split"),
        (with_route(timeout_ms=0), "routes[0].timeout_ms"),
        (with_route(attempts=0), "routes[0].attempts"),
        (with_two_routes(), "routes[1].path_prefix"),
        (with_shared_key(), "tenants[1].api_keys"),
        ({"version": 3}, "body"),
        ({**body(), "version": "seven"}, "body"),
    ],
)
def test_an_invalid_configuration_is_refused_by_its_field(
    fields: dict[str, Any], field: str
) -> None:
    refusal = decode(fields).unwrap_err()
    assert refusal.field == field
    assert refusal.remedy


@pytest.mark.parametrize(
    ("split", "field"),
    [
        ([{"service": "none", "weight": 1}], "routes[0].service"),
        ([SHARE, {"service": "ledger", "weight": -1}], "routes[0].split"),
        ([{"service": "ledger", "weight": 0}], "routes[0].split"),
    ],
)
def test_a_split_beside_a_service_is_checked(split: list[dict[str, Any]], field: str) -> None:
    """An invalid split is confirmed where the route also names a service."""
    refusal = decode(with_route(service="engines", split=split)).unwrap_err()
    assert refusal.field == field


@pytest.mark.parametrize("split", [[], [SHARE, {"service": "ledger", "weight": 9}]])
def test_a_route_with_a_service_goes_there_whatever_its_split(split: list[dict[str, Any]]) -> None:
    [route] = decode(with_route(service="ledger", split=split)).unwrap().document["routes"].values()
    assert route["shares"] == [{"service": "ledger", "weight": 1}]


@pytest.mark.parametrize(
    ("name", "value"), [(b"note", b"caf\xe9"), (b"\xff", b""), (b"note", b"\xed\xa0\x80")]
)
def test_a_field_that_is_not_known_must_be_text_too(name: bytes, value: bytes) -> None:
    """A configuration that no reader can decode is confirmed, and given back as it was sent."""
    data = json.dumps(body()).encode()[:-1] + b', "%s": "%s"}' % (name, value)
    assert decode_document(data, REGIONS).unwrap_err().field == "body"


def test_a_body_that_is_nested_too_deeply_is_refused() -> None:
    """An operator gets 500 for an invalid configuration, and sends it without end."""
    data = json.dumps(body()).encode()[:-1] + b', "deep": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    assert decode_document(data, REGIONS).unwrap_err().field == "body"


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b'{"version": 1, "routes": [', b"\xff\xfe"])
def test_a_body_that_is_cut_or_no_json_is_refused(data: bytes) -> None:
    assert decode_document(data, REGIONS).unwrap_err().field == "body"
