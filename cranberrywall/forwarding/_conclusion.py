"""Conclude an attempt the same way for calls and streams, however it ends."""

from collections.abc import Iterator
from contextlib import contextmanager

from cranberrywall.forwarding._attempts import outcome_of
from cranberrywall.forwarding._client import DID_NOT_RUN, AttemptFailedError, FailureKind
from cranberrywall.forwarding._interfaces import Attempt
from cranberrywall.forwarding._money import Purse
from cranberrywall.routing import Outcome, OutcomeKind, Slot
from cranberrywall.runtime import Clock


class Conclusion:
    """Hold what the router should learn from an attempt; cancelled until it is said."""

    def __init__(self) -> None:
        self.outcome = Outcome(OutcomeKind.CANCELLED)


@contextmanager
def concluding(slot: Slot, attempt: Attempt, purse: Purse, clock: Clock) -> Iterator[Conclusion]:
    """Free the slot at the end, with the outcome; count the request's input from now on.

    A timeout in the block becomes an ``AttemptFailedError``. Where the target did not run the
    request, its input does not count after all.
    """
    conclusion = Conclusion()
    purse.note_sent()
    try:
        yield conclusion
    except TimeoutError as error:
        failure = AttemptFailedError(FailureKind.LATE, f"no end in {attempt.left_s:.3f} s")
        conclusion.outcome = outcome_of(failure)
        raise failure from error
    except AttemptFailedError as failure:
        if failure.kind in DID_NOT_RUN:
            purse.note_not_run()
        conclusion.outcome = outcome_of(failure)
        raise
    finally:
        slot.finish(conclusion.outcome, clock.now())
