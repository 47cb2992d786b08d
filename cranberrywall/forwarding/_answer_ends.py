"""Decision whether a target's answer is complete, after its last byte."""

from cranberrywall.forwarding._client import AttemptFailedError, FailureKind, TargetAnswer
from cranberrywall.forwarding._responses import BodyEnd
from cranberrywall.forwarding._target_checks import CheckedTarget, TargetChecks, TargetState
from cranberrywall.observability import log_event
from cranberrywall.routing import RetryBudget, RetryLimits, Slot
from cranberrywall.runtime import Clock

VERIFICATION_LIMITS = RetryLimits(share=0.1, max_saved=10.0, interval_s=5.0)
"""Limits of the attempts that verify the end of a stream, as a share of streams with such ends.

They spend from the router's retry budget as well, and leave its last one to other streams."""

VERIFICATION_TIMEOUT_S = 0.5
"""Time limit of an attempt that verifies an end, in seconds: the caller waits for the end."""

SLOT_TIMEOUT_S = 0.1
"""Time that such an attempt may wait for a slot, in seconds."""

EARLY_END_RETENTION_S = 60.0
"""Time for which the ends of a target's streams need verification after it ended one early, in
seconds."""


class AnswerEnds:
    """Confirm the ends of answers.

    Only a framing marks the end of a body for certain. The end of a body without framing is
    confirmed by its target: a process that still runs has closed the connection itself. It may have
    closed it early by a fault of its own, which only another attempt shows: it brings the events
    that are missing.
    """

    def __init__(self, checks: TargetChecks, clock: Clock) -> None:
        self._checks = checks
        self._clock = clock
        self._budget = RetryBudget(clock.now(), VERIFICATION_LIMITS)
        self._early_end_at_by_target: dict[str, float] = {}

    async def confirm(self, answer: TargetAnswer, slot: Slot, health_path: str) -> None:
        """Raise ``AttemptFailedError`` if the target may have ended before its answer."""
        if answer.response.body_end is not BodyEnd.CLOSED:
            return
        target = CheckedTarget(slot.target_incarnation, slot.url, health_path)
        state, backoff = await self._checks.check(target)
        if state is TargetState.RUNNING:
            slot.record_backoff(backoff, answer.head.request_id, self._clock.now())
            return
        failure = AttemptFailedError(
            FailureKind.BROKEN,
            f"the connection was closed, nothing marks the end, and the target is {state}",
        )
        failure.is_connection_lost = True
        raise failure

    def spend_verification(self, target: str, now: float) -> bool:
        """Spend an attempt that verifies the end of a stream; return whether there is one.

        Those that are needed have no limit of their own.
        """
        if self.needs_verification(target, now):
            return True
        self._budget.record_first_attempt(now)
        if not self._budget.allows(now):
            return False
        self._budget.spend(now)
        return True

    def needs_verification(self, target: str, now: float) -> bool:
        """Return whether a target has lately ended a stream early while it ran."""
        early_end_at = self._early_end_at_by_target.get(target, float("-inf"))
        return now - early_end_at < EARLY_END_RETENTION_S

    def record_early_end(self, target: str, now: float) -> None:
        """Record that a target that runs ended a stream before its last event."""
        log_event("WARNING", "stream_ended_early", target=target)
        ended = self._early_end_at_by_target
        for other in [name for name in ended if not self.needs_verification(name, now)]:
            del ended[other]
        ended[target] = now
