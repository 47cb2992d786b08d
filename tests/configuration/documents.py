"""Make small documents and changes for the tests."""

import copy
import hashlib
from typing import Any

from cranberrywall.configuration import Edit
from cranberrywall.configuration.messages import CONFIGURATION_CODEC, Change

KEY = "demo-key"

DOCUMENT: dict[str, Any] = {
    "workspaces": {
        "desk": {
            "keys": {"first": {"sha256": hashlib.sha256(KEY.encode()).hexdigest()}},
            "budget": "desk",
            "reach": {"models": ["drafting-llm"], "services": ["ledger-api"]},
            "priority": "letter",
            "priorities": ["letter", "status"],
            "policy": "strict",
            "concurrent": 4,
        }
    },
    "budgets": {"desk": {"unit": "tokens"}},
    "priorities": {
        "status": {"rank": 0, "deadline_s": 5.0},
        "letter": {"rank": 7, "deadline_s": 28800.0},
    },
    "models": {"drafting-llm": {"version": "v1", "output_limit": 100, "context_limit": 1000}},
    "services": {"ledger-api": {"not_repeatable": ["POST /renewals"], "cost": 1}},
    "places": {"town-hall": {"region": "colombo"}},
    "hosts": {
        "entry-1": {
            "place": "town-hall",
            "roles": ["entry"],
            "links": "127.0.0.1:7001",
            "http": "127.0.0.1:7002",
            "disk": False,
        }
    },
    "policies": {"strict": {"held_back": 0.1, "isolated": "refuse", "input_margin": 1.2}},
    "ledger_groups": 2,
}


def make_document() -> Any:
    """Return a valid document that a test may alter."""
    return copy.deepcopy(DOCUMENT)


def whole_document_edits(document: dict[str, Any]) -> tuple[Edit, ...]:
    """Return the edits of a first change that brings in ``document``."""
    return tuple(
        Edit(section, name, value)
        for section, entries in document.items()
        if section != "ledger_groups"
        for name, value in entries.items()
    ) + (
        Edit("ledger_groups", "", document["ledger_groups"]),
    )


def place_edit(name: str, region: str = "colombo") -> tuple[Edit, ...]:
    """Return edits that add one place."""
    return (Edit("places", name, {"region": region}),)


def encode_change(edits, based_on: int, change_id: str, operator: str = "ana", at: float = 1.0):
    """Return a change's bytes."""
    return CONFIGURATION_CODEC.encode(Change(tuple(edits), based_on, change_id, operator, at))
