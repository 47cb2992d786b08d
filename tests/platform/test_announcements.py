"""Decode what targets, and others, tell control: late starts, and what names no target."""

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from cranberrywall.platform._announcements import decode_heartbeat, decode_leave
from cranberrywall.targets import Announcement, Change, make_targets

BEAT: dict[str, Any] = {
    "service": "engines",
    "addr": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "call_seq": 4,
    "cold_left_ms": 0,
    "born": 1_796_000_000_000,
}
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


def beat(**changes: Any) -> Announcement:
    return decode_heartbeat("i-7", json.dumps({**BEAT, **changes}).encode()).unwrap().announcement


def test_a_late_heartbeat_of_an_earlier_start_changes_nothing() -> None:
    """A target crashes and starts again under its id; a cut held a heartbeat of before.

    Its counts begin anew, so the late heartbeat has the higher one. Ordered by it alone, the
    target that is well now would be lost, or its address put back to the old one.
    """
    targets = make_targets()
    targets.apply(beat(call_seq=90), 1.0)
    restarted = beat(born=BEAT["born"] + 5_000, call_seq=1, addr="10.0.0.9:81")
    assert targets.apply(restarted, 2.0) is Change.CHANGED
    assert targets.apply(beat(call_seq=91), 3.0) is Change.STALE
    assert targets.apply(beat(call_seq=92, state="draining"), 4.0) is Change.STALE
    assert targets.by_id["i-7"].announcement.url == "http://10.0.0.9:81"


def test_the_leaving_of_an_earlier_start_does_not_remove_the_later_one() -> None:
    """The call by which a target left is late, and the target has started again meanwhile."""
    targets = make_targets()
    restarted = beat(born=BEAT["born"] + 5_000, call_seq=1)
    targets.apply(restarted, 1.0)
    late = decode_leave("i-7", json.dumps({"born": BEAT["born"]}).encode(), restarted).unwrap()
    assert targets.apply(late, 2.0) is Change.STALE
    assert "i-7" in targets.by_id
    own = decode_leave("i-7", b"", restarted).unwrap()
    assert targets.apply(own, 3.0) is Change.LEFT


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("born", 1.5),
        ("born", "1796000000000"),
        ("born", None),
        ("born", -1),
        ("call_seq", "4"),
        ("state", "asleep"),
        ("state", 1),
        ("slots", 0),
        ("addr", "somewhere"),
        ("addr", 80),
        ("service", ""),
        ("models", "m"),
        ("models", [{}]),
    ],
)
def test_a_heartbeat_with_a_wrong_value_names_no_target(field: str, value: Any) -> None:
    body = json.dumps({**BEAT, field: value}).encode()
    assert decode_heartbeat("i-7", body).unwrap_err().field == "body"


@pytest.mark.parametrize("field", ["service", "addr", "call_seq"])
def test_a_heartbeat_that_lacks_a_field_names_no_target(field: str) -> None:
    body = json.dumps({name: value for name, value in BEAT.items() if name != field}).encode()
    assert isinstance(decode_heartbeat("i-7", body), Err)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    changes=st.dictionaries(st.sampled_from(sorted(BEAT)), ANY_JSON, max_size=3),
    noise=st.binary(max_size=40),
)
def test_no_bytes_whatever_raise(changes: dict[str, Any], noise: bytes) -> None:
    whole = json.dumps({**BEAT, **changes}).encode()
    for body in (whole, noise, whole[: len(noise)], whole + noise):
        assert isinstance(decode_heartbeat("i-7", body), Ok | Err)
        assert isinstance(decode_leave("i-7", body, None), Ok | Err)


def test_the_software_version_of_a_heartbeat_is_announced() -> None:
    """No decision and no log line could tell apart targets of two versions."""
    assert beat(version="v1.1").versions == ("v1.1",)


@pytest.mark.parametrize("version", ["", None])
def test_a_heartbeat_without_a_version_has_a_version_of_its_own(version: str | None) -> None:
    """A missing version would otherwise match every other one."""
    without = {name: value for name, value in BEAT.items() if name != "version"}
    body = without if version is None else {**without, "version": version}
    announced = decode_heartbeat("i-7", json.dumps(body).encode()).unwrap().announcement
    assert announced.versions == ("unknown",)
