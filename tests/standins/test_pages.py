"""Check that the stand-ins' and the load tool's pages name what there is."""

from pathlib import Path
from typing import get_type_hints

import pytest

from cranberrywall.commands.load import main
from cranberrywall.load import OutcomeKind
from cranberrywall.load._profile import Arrivals, ChatMix, LoadWorkspace, Profile, ServiceMix
from standins import Faults

DOCS = Path(__file__).parents[2] / "docs"
LOAD_PAGE = (DOCS / "reference" / "load-profiles.md").read_text("utf-8")
STAND_INS_PAGE = (DOCS / "topics" / "stand-ins.md").read_text("utf-8")
SHAPES = [Profile, Arrivals, LoadWorkspace, ChatMix, ServiceMix]


@pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: shape.__name__)
def test_each_field_of_a_profile_is_described(shape) -> None:
    missing = [
        field
        for field in get_type_hints(shape)
        if f"`{field}" not in LOAD_PAGE and f".{field}" not in LOAD_PAGE
    ]
    assert missing == []


def test_each_option_and_outcome_is_described() -> None:
    options = [option for parameter in main.params for option in parameter.opts]
    named = [option for option in options if option.startswith("--") and option != "--help"]
    assert [option for option in named if option not in LOAD_PAGE] == []
    assert [kind for kind in OutcomeKind if f"| `{kind}` |" not in LOAD_PAGE] == []


def test_each_fault_is_described() -> None:
    assert [fault for fault in Faults._fields if f"`{fault}`" not in STAND_INS_PAGE] == []
