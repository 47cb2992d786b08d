"""Check that the demo's proof finds each sort of disagreement."""

import pytest

from cranberrywall.budgets.messages import ReportRow, WorkspaceCharge
from cranberrywall.demo import SAVINGS_BOARD, Totals, demo_requests, prove, read_deployment
from cranberrywall.demo._targets import Ran
from cranberrywall.load import Outcome, OutcomeKind

DEPLOYMENT = read_deployment(SAVINGS_BOARD)
LETTER, LOOKUP = (demo_requests(DEPLOYMENT)[number].planned for number in (0, 3))
RAN = {"savings-board-1": Ran(1, 1, 70), "savings-board-4": Ran(1, 1, 0)}


def outcome(planned, kind: OutcomeKind = OutcomeKind.ANSWERED, code: str = "") -> Outcome:
    return Outcome(planned, kind, code, 1, "", 0.0, 0.0, 0.0, "", 0)


def row(budget: str, amount: int, credited: int = 1000) -> ReportRow:
    charge = WorkspaceCharge(budget, amount, 1)
    free = credited - amount
    return ReportRow(budget, "tokens", credited, credited, 0, amount, 0, 0, 0, free, (charge,))


def totals(letter: int = 70, lookup: int = 20, credited: int = 1000, duplicates: int = 0):
    rows = (row("counter-clerks", letter, credited), row("renewal-desk", lookup))
    return Totals(rows, duplicates)


BOTH = [outcome(LETTER), outcome(LOOKUP)]


def test_agreement_has_no_disagreements() -> None:
    proof = prove(DEPLOYMENT.document, [*BOTH, outcome(LOOKUP)], RAN, totals())
    assert proof.disagreements == ()
    assert (proof.requests, proof.answered, proof.billed, proof.duplicates) == (3, 3, 2, 1)


@pytest.mark.parametrize(
    ("outcomes", "ran", "bills", "found"),
    [
        (BOTH, RAN, totals(letter=71), "counter-clerks was billed 71"),
        (BOTH, RAN, totals(credited=60), "overspent by 10"),
        (BOTH, RAN, totals(duplicates=1), "1 charges twice"),
        (BOTH, {**RAN, "savings-board-4": Ran(2, 2, 0)}, totals(), "ran 2 times"),
        ([outcome(LETTER)], RAN, totals(), "renewal-desk was billed 20"),
        (
            [outcome(LETTER), outcome(LOOKUP, OutcomeKind.REFUSED, "not_run")],
            RAN,
            Totals((row("counter-clerks", 70),), 0),
            "savings-board-4 ran 1 times, not 0",
        ),
        (
            [*BOTH, outcome(LOOKUP, OutcomeKind.WRONG)],
            RAN,
            totals(),
            "savings-board-4 is wrong",
        ),
    ],
)
def test_each_disagreement_is_named(outcomes, ran, bills, found) -> None:
    proof = prove(DEPLOYMENT.document, outcomes, ran, bills)
    assert any(found in text for text in proof.disagreements), proof.disagreements
