"""Check that bad profiles are named and that a plan follows from its seed alone."""

import copy
from typing import Any

import msgspec
import pytest
import yaml
from result import Err, Ok

from cranberrywall.load import make_plan, read_profile

GOOD: dict[str, Any] = {
    "seed": 7,
    "duration_s": 4.0,
    "arrivals": {"process": "poisson", "rate": 100.0},
    "in_flight": 32,
    "callers": 4,
    "timeout_s": 5.0,
    "entries": ["http://127.0.0.1:7001"],
    "workspaces": {"large": {"key": "a", "weight": 3.0}, "small": {"key": "b", "weight": 1.0}},
    "chats": {
        "letters": {
            "weight": 1.0,
            "model": "drafting-llm",
            "stream": True,
            "prompt_characters": {"low": 20, "high": 60},
            "max_tokens": {"low": 8, "high": 16},
            "prefixes": 2,
            "prefix_characters": 512,
            "repeat": 0.5,
        }
    },
    "services": {
        "lookups": {
            "weight": 3.0,
            "service": "deposit-ledger-api",
            "method": "GET",
            "path": "/deposits/{number}",
        }
    },
    "retries": {"most": 5, "wait_s": 0.01, "longest_wait_s": 2.0},
}


def profile(**changes: Any) -> Any:
    document = {**copy.deepcopy(GOOD), **changes}
    return read_profile(yaml.safe_dump(document))


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"duration_s": -1.0}, "duration_s"),
        ({"arrivals": {"process": "sine", "rate": 1.0}}, "arrivals.process"),
        ({"entries": ["localhost"]}, "entries[0]"),
        ({"entries": []}, "entries"),
        ({"workspaces": {}}, "workspaces"),
        ({"chats": {}, "services": {}}, "chats"),
        ({"duration_s": 3600.0, "arrivals": {"process": "poisson", "rate": 9e3}}, "arrivals.rate"),
    ],
)
def test_a_bad_profile_names_the_field(changes, field) -> None:
    result = profile(**changes)
    assert isinstance(result, Err)
    assert result.err_value.field == field
    assert result.err_value.remedy


def test_low_above_high_is_named() -> None:
    chats = copy.deepcopy(GOOD["chats"])
    chats["letters"]["max_tokens"] = {"low": 9, "high": 8}
    assert profile(chats=chats).err_value.field == "chats.letters.max_tokens"


def test_a_plan_follows_from_the_seed_and_keeps_the_mix() -> None:
    result = profile()
    assert isinstance(result, Ok)
    plan = make_plan(result.ok_value, "run")
    assert plan == make_plan(result.ok_value, "run")
    assert 300 < len(plan) < 500
    lookups = [planned for planned in plan if planned.mix == "lookups"]
    assert 0.65 < len(lookups) / len(plan) < 0.85
    assert len({planned.idempotency_key for planned in plan}) == len(plan)
    letters = [planned for planned in plan if planned.mix == "letters"]
    prompts = [msgspec.json.decode(planned.body)["messages"][0]["content"] for planned in letters]
    assert len({prompt[:512] for prompt in prompts}) == 2
    assert any(planned.repeat for planned in letters)


@pytest.mark.parametrize("process", ["constant", "bursts"])
def test_the_other_arrivals_keep_the_rate(process) -> None:
    arrivals = {"process": process, "rate": 100.0}
    times = [planned.at for planned in make_plan(profile(arrivals=arrivals).ok_value, "run")]
    assert 320 < len(times) < 480
    assert times == sorted(times)
    if process == "bursts":
        assert all(int(at) % 2 == 0 for at in times)
