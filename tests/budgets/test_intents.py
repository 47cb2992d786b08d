"""A request that must not be repeated runs once, whichever messages are repeated, late or lost."""

from typing import Any

from cranberrywall.budgets import _ledger_intents
from cranberrywall.budgets.messages import (
    MAX_ANSWER_BYTES,
    ClosePeriod,
    Holder,
    IntentQuery,
    IntentResult,
    IntentState,
    RecordIntent,
    RecordOutcome,
    RegisterHolder,
)
from cranberrywall.errors import ErrorKind
from tests.budgets.ledgers import A1, A2, B1, NOW, Ledger


def start(ledger: Ledger, holder: Holder, attempt: str, request: str = "q") -> Any:
    return ledger.apply(RecordIntent("desk", "clerks", request, attempt, holder, NOW))


def finish(ledger: Ledger, attempt: str, state: IntentState, answer: bytes = b"") -> Any:
    return ledger.apply(RecordOutcome("desk", "clerks", "q", attempt, state, answer, NOW))


def recorded_state(ledger: Ledger, request: str = "q") -> IntentResult:
    result: IntentResult = ledger.query(IntentQuery("desk", "clerks", request))
    return result


def test_the_first_attempt_wins_and_the_second_gets_its_state():
    """The same request arrives at two hosts at the same time.

    Only one may send it to the service. The other is notified that it is running, and later gets
    the stored answer. If both sent it, the operation would run twice and need a manual reversal.
    """
    ledger = Ledger()
    assert recorded_state(ledger).state is IntentState.NONE
    assert start(ledger, A1, "a").state is IntentState.STARTED
    assert start(ledger, B1, "b").state is IntentState.RUNNING
    assert start(ledger, A1, "a").state is IntentState.STARTED
    ledger.restart()
    assert finish(ledger, "a", IntentState.DONE, b"confirmed").state is IntentState.DONE
    again = start(ledger, B1, "b")
    assert (again.state, again.answer) == (IntentState.DONE, b"confirmed")
    assert start(ledger, A1, "a").state is IntentState.DONE


def test_the_outcome_of_a_host_that_died_is_unknown_until_it_is_reported():
    """The host that sent the request dies, and restarts without a record of how it ended."""
    ledger = Ledger()
    start(ledger, A1, "a")
    ledger.apply(RegisterHolder(A2, False, NOW))
    ledger.restart()
    assert start(ledger, B1, "b").state is IntentState.UNKNOWN
    assert finish(ledger, "a", IntentState.DONE, b"late").state is IntentState.DONE
    assert recorded_state(ledger).answer == b"late"


def test_a_request_that_was_not_run_may_start_again_but_not_by_a_late_message():
    """The first attempt never reached the service, and its host reported that.

    A second attempt may run. A delayed copy of the first attempt's message must not start it again,
    because its host has notified the caller that nothing ran.
    """
    ledger = Ledger()
    start(ledger, A1, "a")
    assert finish(ledger, "a", IntentState.NOT_RUN).state is IntentState.NOT_RUN
    assert start(ledger, A1, "a").state is IntentState.NOT_RUN
    assert start(ledger, B1, "b").state is IntentState.STARTED
    finish(ledger, "b", IntentState.NOT_RUN)
    assert start(ledger, A1, "a").state is IntentState.NOT_RUN
    assert finish(ledger, "a", IntentState.DONE).kind == ErrorKind.CONFLICT


def test_a_final_outcome_stays():
    ledger = Ledger()
    start(ledger, A1, "a")
    finish(ledger, "a", IntentState.UNKNOWN)
    finish(ledger, "a", IntentState.DONE, b"one")
    assert finish(ledger, "a", IntentState.NOT_RUN).state is IntentState.DONE
    assert finish(ledger, "a", IntentState.DONE, b"two").answer == b"one"


def test_an_intent_of_a_superseded_holder_is_refused():
    ledger = Ledger()
    ledger.apply(RegisterHolder(A2, True, NOW))
    assert start(ledger, A1, "a").kind == ErrorKind.CONFLICT
    assert recorded_state(ledger).state is IntentState.NONE


def test_outcomes_that_cannot_be_are_refused():
    ledger = Ledger()
    assert finish(ledger, "a", IntentState.DONE).kind == ErrorKind.NOT_FOUND
    start(ledger, A1, "a")
    assert finish(ledger, "a", IntentState.RUNNING).kind == ErrorKind.BAD_REQUEST
    large = b"x" * (MAX_ANSWER_BYTES + 1)
    assert finish(ledger, "a", IntentState.DONE, large).kind == ErrorKind.TOO_LARGE


def test_intents_are_bounded_and_old_ones_are_removed_by_a_closing(monkeypatch):
    monkeypatch.setattr(_ledger_intents, "MAX_INTENTS", 2)
    ledger = Ledger()
    start(ledger, A1, "a", "q1")
    start(ledger, A1, "b", "q2")
    assert start(ledger, A1, "c", "q3").kind == ErrorKind.OVERLOADED
    through = NOW + _ledger_intents.RETENTION_S
    ledger.apply(ClosePeriod("short", through, "ann", through))
    assert recorded_state(ledger, "q1").state is IntentState.RUNNING
    ledger.apply(ClosePeriod("long", through + 1, "ann", through + 1))
    assert start(ledger, A1, "c", "q3").state is IntentState.STARTED


def test_the_oldest_answers_are_dropped_and_their_states_stay(monkeypatch):
    monkeypatch.setattr(_ledger_intents, "MAX_STORED_ANSWER_BYTES", 100)
    ledger = Ledger()
    for number in range(3):
        start(ledger, A1, "a", f"q{number}")
        outcome = RecordOutcome(
            "desk", "clerks", f"q{number}", "a", IntentState.DONE, b"x" * 45, NOW
        )
        ledger.apply(outcome)
    assert (recorded_state(ledger, "q0").state, recorded_state(ledger, "q0").answer) == (
        IntentState.DONE,
        b"",
    )
    assert len(recorded_state(ledger, "q2").answer) == 45
