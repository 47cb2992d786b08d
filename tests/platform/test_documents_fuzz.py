"""Compare what is accepted of an operator's configuration with the rules, whatever is sent."""

import copy
import json
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from cranberrywall.configuration import ConfigurationMachine, make_configuration_machine
from cranberrywall.configuration._edits import edits_between
from cranberrywall.configuration._host import make_host_configuration
from cranberrywall.configuration._packing import pack, unpack
from cranberrywall.configuration.messages import (
    CONFIGURATION_CODEC,
    GetPublished,
    Pack,
    PublishedSource,
    PublishNumbered,
    PublishPacked,
)
from cranberrywall.forwarding._routes import map_routes_by_prefix
from cranberrywall.platform._documents import NumberedDocument, decode_document
from tests.fakes.clock import run_virtual
from tests.platform.test_documents import REGIONS, body

SERVICES = ("engines", "ledger", "none")
HOSTS = ("a.example", "b.example")
PREFIXES = ("/", "/a/", "/a/b/")
KEYS = ("k-1", "k-2", "k-3", "k-4")

weights = st.integers(min_value=-1, max_value=2)
services = st.sampled_from(SERVICES)
shares = st.lists(st.fixed_dictionaries({"service": services, "weight": weights}), max_size=3)
routes = st.fixed_dictionaries(
    {
        "name": st.text(max_size=4),
        "host": st.sampled_from(HOSTS),
        "path_prefix": st.sampled_from(PREFIXES),
        "kind": st.sampled_from(["idempotent", "non_idempotent", "stream"]),
        "timeout_ms": st.sampled_from([0, 0.0, 1, 0.5, 6000]),
    },
    optional={"service": st.one_of(st.none(), services), "split": shares, "new": st.text()},
)
tenants = st.fixed_dictionaries(
    {"api_keys": st.lists(st.sampled_from(KEYS), max_size=2)},
    optional={"priority": st.integers(0, 12), "prepaid": st.integers(0, 10**12)},
)
bodies = st.fixed_dictionaries(
    {
        "version": st.integers(1, 10**12),
        "routes": st.lists(routes, max_size=3),
        "services": st.just([{"name": "engines"}, {"name": "ledger"}]),
        "tenants": st.lists(tenants, max_size=3).map(
            lambda made: [{"name": f"tenant-{number}", **one} for number, one in enumerate(made)]
        ),
    },
    optional={"limits": st.just({}), "new": st.lists(st.integers(), max_size=2)},
)
values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**62), 2**62),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=6),
    st.sampled_from([[], {}, [[]], [{}], 0, -1, *SERVICES, *HOSTS, "/letters/"]),
)


BEFORE = {
    **body(),
    "version": 1,
    "routes": [{**body()["routes"][0], "name": "r-0", "path_prefix": "/before/"}],
    "tenants": [{"name": "office", "api_keys": ["key-1"]}, {"name": "gone", "api_keys": ["key-3"]}],
}


def breaks_a_rule(fields: dict[str, Any]) -> bool:
    """Say whether the operator's rules call a configuration of the right shape invalid."""
    known = {service["name"] for service in fields["services"]}
    places = [(route["host"], route["path_prefix"]) for route in fields["routes"]]
    owner_by_key: dict[str, str] = {}
    for tenant in fields.get("tenants", []):
        for key in tenant["api_keys"]:
            if owner_by_key.setdefault(key, tenant["name"]) != tenant["name"]:
                return True
    return len(set(places)) < len(places) or any(
        _is_bad_route(route, known) for route in fields["routes"]
    )


def _is_bad_route(route: dict[str, Any], known: set[str]) -> bool:
    service, split = route.get("service"), route.get("split", [])
    named = {share["service"] for share in split} | ({service} - {None})
    total = sum(share["weight"] for share in split)
    has_no_weight = total <= 0 if split else service is None
    is_negative = any(share["weight"] < 0 for share in split)
    return not named <= known or has_no_weight or is_negative or route["timeout_ms"] <= 0


@settings(derandomize=True, max_examples=1000, deadline=None)
@given(fields=bodies)
def test_a_configuration_is_accepted_exactly_where_it_breaks_no_rule(
    fields: dict[str, Any],
) -> None:
    """An invalid configuration is confirmed, or a proper change is refused."""
    decoded = decode_document(json.dumps(fields).encode(), REGIONS)
    assert isinstance(decoded, Err) == breaks_a_rule(fields)


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    entries: list[tuple[Any, Any]] = []
    if isinstance(value, dict):
        entries = list(value.items())
    if isinstance(value, list):
        entries = list(enumerate(value))
    return [path] + [found for key, entry in entries for found in paths_of(entry, (*path, key))]


def publish(machine: ConfigurationMachine, data: bytes) -> NumberedDocument:
    """Publish a body as a control host does, and return what it says."""
    decoded: NumberedDocument = decode_document(data, REGIONS).unwrap()
    command = PublishNumbered(decoded.number, dict(decoded.document), data, 1.0)
    machine.apply(CONFIGURATION_CODEC.encode(PublishPacked(pack(command))))
    return decoded


async def assert_in_force_as_sent(first: bytes, next_: bytes) -> None:
    """Publish two bodies, and let hosts take the second as a delta and as a whole."""
    machine, restored = make_configuration_machine(), make_configuration_machine()
    publish(machine, first)
    number, document = publish(machine, next_)
    restored.restore(machine.snapshot())
    by_delta, by_whole = make_host_configuration(None), make_host_configuration(None)
    deltas, whole = machine.deltas_after(0, 10), machine.document_at()
    sent = unpack(pack(Pack(deltas or (), whole)), Pack).unwrap()
    assert sent.snapshot is not None
    await by_delta.apply_deltas(sent.deltas)
    await by_whole.apply_snapshot(sent.snapshot)
    for host in (by_delta, by_whole):
        assert host.revision == machine.revision
        assert edits_between(cast(dict[str, Any], host.document), document) == ()
        assert len(map_routes_by_prefix(host.document)) == len(json.loads(next_)["routes"])
    held = CONFIGURATION_CODEC.decode(restored.query(CONFIGURATION_CODEC.encode(GetPublished())))
    assert held == PublishedSource(number, next_)


@settings(derandomize=True, max_examples=1000, deadline=None)
@given(path=st.sampled_from(paths_of(body())[1:]), value=values, is_removed=st.booleans())
def test_anything_anywhere_is_refused_or_in_force_as_sent(
    path: tuple[Any, ...], value: Any, is_removed: bool
) -> None:
    """A host fails on a configuration that was confirmed, and stays at the one before."""
    fields = copy.deepcopy(body())
    place: Any = fields
    for key in path[:-1]:
        place = place[key]
    if is_removed:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    data = json.dumps(fields).encode()
    decoded = decode_document(data, REGIONS)
    if isinstance(decoded, Err):
        assert decoded.err_value.field
        return
    assert not breaks_a_rule(fields)
    if decoded.ok_value.number > BEFORE["version"]:
        run_virtual(assert_in_force_as_sent(json.dumps(BEFORE).encode(), data))


@pytest.mark.parametrize("sent", [body(), {**body(), "limits": {}, "tenants": []}])
def test_a_configuration_that_is_cut_anywhere_is_refused(sent: dict[str, Any]) -> None:
    """The connection breaks, or a proxy cuts the body, and a part of it is taken for the whole."""
    data = json.dumps(sent).encode()
    for length in range(len(data)):
        assert decode_document(data[:length], REGIONS).is_err()
