"""Decide each request by one revision, and never by an older one than the request before."""

import hashlib
import random
from typing import Any

from cranberrywall.configuration import edits_between, make_host_configuration
from cranberrywall.configuration._machine import chain_after
from cranberrywall.configuration.messages import Delta, DocumentAt, Revision
from cranberrywall.forwarding._plan import Planner
from tests.configuration.documents import make_document
from tests.forwarding.scripted import arrival, route

REVISIONS = 40


def document_of(number: int) -> dict[str, Any]:
    """Return a document in which the key, its owner and the route's service go by the number."""
    document: dict[str, Any] = make_document()
    owner = f"desk-{number}"
    document["workspaces"] = {owner: document["workspaces"]["desk"]}
    document["workspaces"][owner]["budget"] = owner
    key = hashlib.sha256(f"key-{number}".encode()).hexdigest()
    document["workspaces"][owner]["keys"] = {
        "own": {"sha256": key},
        "shared": {"sha256": hashlib.sha256(b"shared").hexdigest()},
    }
    document["budgets"] = {owner: {"unit": "tokens"}}
    document["services"][f"service-{number}"] = {"not_repeatable": [], "cost": 1}
    shares = [{"service": f"service-{number}", "weight": 1}]
    document["routes"] = {"a.example/x/": route(shares=shares)}
    return document


async def test_the_parts_of_a_decision_are_of_one_revision_which_only_rises() -> None:
    """A key passes to another workspace as its route moves to another service.

    Revisions come as deltas and as whole documents, out of order and twice, from peers that are
    behind. A request that took its service from one and its workspace from another would be run
    where neither of them allows.
    """
    configuration = make_host_configuration(None)
    planner = Planner(configuration, random.Random(1))
    chance = random.Random(7)
    deltas: list[Delta] = []
    documents: list[DocumentAt] = []
    before: dict[str, Any] = {"ledger_groups": 1}
    for number in range(1, REVISIONS + 1):
        after = document_of(number)
        edits = edits_between(before, after)
        chain = chain_after(deltas[-1].chain if deltas else 0, edits)
        deltas.append(Delta(Revision(number, "ana", 0.0, f"change-{number}", ()), edits, chain))
        documents.append(DocumentAt(number, after, chain))
        before = after
    decided: list[int] = []
    for _ in range(400):
        newest = min(REVISIONS, 1 + len(decided) // 8)
        sent = chance.randrange(max(0, newest - 6), newest)
        if chance.random() < 0.2:
            await configuration.apply_snapshot(documents[sent])
        else:
            await configuration.apply_deltas(deltas[chance.randrange(0, sent + 1) : sent + 1])
        if not configuration.revision:
            continue
        plan = planner.plan(arrival(key="shared"), is_current=True).unwrap()
        assert plan.service == f"service-{plan.revision}"
        assert plan.workspace == f"desk-{plan.revision}"
        decided.append(plan.revision)
    assert decided == sorted(decided)
    assert len(set(decided)) > REVISIONS / 4
