"""Each request is planned with one revision, which is never older than the previous one."""

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
    """Return a document whose key, workspace and service of the route contain ``number``."""
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
    """A plan combines the service of one revision with the workspace of another.

    Each revision moves a key to another workspace and its route to another service. Revisions
    arrive as deltas and as full documents, out of order and twice, from peers with older
    revisions. A mixed plan would run a request at a service that neither revision allows.
    """
    configuration = make_host_configuration(None)
    planner = Planner(configuration, random.Random(1))
    random_source = random.Random(7)
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
    planned_revisions: list[int] = []
    for _ in range(400):
        newest_index = min(REVISIONS, 1 + len(planned_revisions) // 8)
        sent_index = random_source.randrange(max(0, newest_index - 6), newest_index)
        if random_source.random() < 0.2:
            await configuration.apply_snapshot(documents[sent_index])
        else:
            await configuration.apply_deltas(
                deltas[random_source.randrange(0, sent_index + 1) : sent_index + 1]
            )
        if not configuration.revision:
            continue
        plan = planner.plan(arrival(key="shared"), is_current=True).unwrap()
        assert plan.service == f"service-{plan.revision}"
        assert plan.workspace == f"desk-{plan.revision}"
        planned_revisions.append(plan.revision)
    assert planned_revisions == sorted(planned_revisions)
    assert len(set(planned_revisions)) > REVISIONS / 4
