"""Compare answers, bills and what the targets ran."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from cranberrywall.configuration import Document
from cranberrywall.demo._ledger import Billed, Totals
from cranberrywall.demo._targets import Ran
from cranberrywall.load import Outcome, OutcomeKind

CHAT_PATH = "/v1/chat/completions"


class Proof(NamedTuple):
    """Hold the sums over one fleet, and every disagreement between the three sides.

    ``duplicates`` are answers beyond the first of a request id: given again, without a
    second run or bill.
    """

    requests: int
    answered: int
    refused: int
    billed: int
    duplicates: int
    overspend: int
    disagreements: tuple[str, ...]


def sum_proofs(proofs: Sequence[Proof]) -> Proof:
    """Return the sums over several fleets."""
    return Proof(
        requests=sum(proof.requests for proof in proofs),
        answered=sum(proof.answered for proof in proofs),
        refused=sum(proof.refused for proof in proofs),
        billed=sum(proof.billed for proof in proofs),
        duplicates=sum(proof.duplicates for proof in proofs),
        overspend=sum(proof.overspend for proof in proofs),
        disagreements=tuple(text for proof in proofs for text in proof.disagreements),
    )


def prove(
    document: Document,
    outcomes: Sequence[Outcome],
    ran_by_request: Mapping[str, Ran],
    totals: Totals,
) -> Proof:
    """Return the sums, computed from the outcomes, the targets' counts and the ledger."""
    answered = [outcome for outcome in outcomes if outcome.kind is OutcomeKind.ANSWERED]
    refused = [outcome for outcome in outcomes if outcome.kind is OutcomeKind.REFUSED]
    answered_ids = {outcome.planned.idempotency_key for outcome in answered}
    disagreements = [
        *_wrong_outcomes(outcomes),
        *_wrong_runs(answered_ids, outcomes, ran_by_request),
        *_wrong_bills(document, answered, ran_by_request, totals),
    ]
    if totals.overspend:
        disagreements.append(f"budgets are overspent by {totals.overspend}")
    if totals.duplicates:
        disagreements.append(f"the ledger got {totals.duplicates} charges twice")
    return Proof(
        requests=len(outcomes),
        answered=len(answered),
        refused=len(refused),
        billed=totals.billed_requests,
        duplicates=len(answered) - len(answered_ids & ran_by_request.keys()),
        overspend=totals.overspend,
        disagreements=tuple(disagreements),
    )


def expected_cost(document: Document, outcome: Outcome, ran: Ran) -> int:
    """Return what an answered request costs, by the targets' counts."""
    planned = outcome.planned
    if planned.path != CHAT_PATH:
        service = planned.path.split("/")[3]
        return document["services"][service]["cost"]
    budget = document["workspaces"][planned.workspace]["budget"]
    return ran.tokens if document["budgets"][budget]["unit"] == "tokens" else 1


def _wrong_outcomes(outcomes: Sequence[Outcome]) -> list[str]:
    bad = (OutcomeKind.LOST, OutcomeKind.WRONG, OutcomeKind.UNKNOWN)
    return [
        f"{outcome.planned.idempotency_key} is {outcome.kind} {outcome.code}"
        for outcome in outcomes
        if outcome.kind in bad
    ]


def _wrong_runs(
    answered_ids: set[str], outcomes: Sequence[Outcome], ran_by_request: Mapping[str, Ran]
) -> list[str]:
    problems: list[str] = []
    for request_id in sorted({outcome.planned.idempotency_key for outcome in outcomes}):
        ran = ran_by_request.get(request_id, Ran(0, 0, 0))
        expected = 1 if request_id in answered_ids else 0
        if ran.executions != expected:
            problems.append(f"{request_id} ran {ran.executions} times, not {expected}")
    return problems


def _wrong_bills(
    document: Document,
    answered: Sequence[Outcome],
    ran_by_request: Mapping[str, Ran],
    totals: Totals,
) -> list[str]:
    expected: dict[str, dict[str, int]] = {}
    for outcome in answered:
        request_id = outcome.planned.idempotency_key
        ran = ran_by_request.get(request_id, Ran(0, 0, 0))
        bills = expected.setdefault(outcome.planned.workspace, {})
        bills[request_id] = expected_cost(document, outcome, ran)
    billed_by_workspace = totals.by_workspace()
    problems: list[str] = []
    for workspace in sorted(expected.keys() | billed_by_workspace.keys()):
        bills = expected.get(workspace, {})
        due = Billed(sum(bills.values()), len(bills))
        billed = billed_by_workspace.get(workspace, Billed())
        if billed != due:
            problems.append(
                f"{workspace} was billed {billed.amount} for {billed.requests} requests, "
                f"not {due.amount} for {due.requests}"
            )
    return problems
