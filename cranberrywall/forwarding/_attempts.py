"""Find a target for each attempt of one request, and say when there may be another."""

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.forwarding._blocks import blocks_of
from cranberrywall.forwarding._client import (
    DID_NOT_RUN,
    AttemptFailedError,
    FailureKind,
)
from cranberrywall.forwarding._interfaces import Arrival, Attempt, TargetHead
from cranberrywall.forwarding._plan import Plan
from cranberrywall.observability import log_event
from cranberrywall.quarantine import Quarantine
from cranberrywall.routing import Demand, Outcome, OutcomeKind, Router, Slot
from cranberrywall.runtime import Clock

LEAST_LEFT_S = 0.03
"""An attempt that has less time than this is not begun, in seconds: no target answers in it."""

MOST_UNSENT = 3
"""Targets that may turn out to take no connection, besides the route's attempts.

More of them in a row are rather a fault of this host's own network."""

DEADLINE_MARGIN_S = 0.005
"""A target is given this much less than the caller waits, for the way back, in seconds."""


class Attempts:
    """Count the attempts of one request, over all targets.

    ``may_have_run`` says whether any of them may have run it: a refusal must then not promise
    that it did not. ``sent`` counts the targets that a byte may have gone to, ``targets`` names
    all that were tried.
    """

    def __init__(
        self, arrival: Arrival, plan: Plan, router: Router, quarantine: Quarantine, clock: Clock
    ) -> None:
        self.arrival = arrival
        self.plan = plan
        self.may_have_run = False
        self.sent = 0
        self.targets: list[str] = []
        self.last: AttemptFailedError | None = None
        self._router = router
        self._quarantine = quarantine
        self._clock = clock
        self._blocks = blocks_of(arrival.generation.parts) if arrival.generation else ()

    def may_go_on(self) -> bool:
        """Say whether another target may be tried after a failure."""
        if self.sent >= self.plan.route["attempts"] or self.remaining_s() < LEAST_LEFT_S:
            return False
        if len(self.targets) >= self.plan.route["attempts"] + MOST_UNSENT:
            return False
        return self.plan.repeats.may_run_again or not self.may_have_run

    def remaining_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.plan.deadline - self._clock.now()

    async def acquire(self) -> Result[Slot, Refusal]:
        """Wait for a place at a target that was not tried; refuse a request that is held back."""
        plan, generation = self.plan, self.arrival.generation
        demand = Demand(
            workspace="",
            kind=plan.kind,
            name=plan.service,
            version="",
            adapter="",
            rank=plan.rank,
            deadline=plan.deadline,
            bound_tokens=generation.bound if generation else 1,
            prefix_hashes=self._blocks,
            affinity_hash=self._blocks[-1] if self._blocks else b"",
            exclude=frozenset(self.targets),
            caller=plan.workspace,
            retry=self.sent > 0,
            is_resend=self.sent == 0 and bool(self.targets),
        )
        acquired = await self._router.acquire(demand, self._clock.now())
        # It may have been held back while it waited, or for what its last attempt did.
        now = self._clock.now()
        held = self._quarantine.check(plan.fingerprint, now)
        if held is None:
            return acquired
        if isinstance(acquired, Ok):
            acquired.ok_value.finish(Outcome(OutcomeKind.CANCELLED), now)
        return Err(held)

    def begin(self, slot: Slot, last_event: int | None) -> Attempt:
        """Note that the request goes to the slot's target now, and return the attempt."""
        self.sent += 1
        self.targets.append(slot.target_id)
        remaining_s = max(0.0, self.remaining_s() - DEADLINE_MARGIN_S)
        plan = self.plan
        return Attempt(
            self.arrival,
            slot.target_id,
            plan.workspace,
            remaining_s,
            plan.rank,
            last_event,
            plan.fingerprint,
            plan.repeats.is_stream,
        )

    def note_failure(self, failure: AttemptFailedError) -> None:
        """Take in how an attempt failed."""
        self.last = failure
        if failure.kind not in DID_NOT_RUN:
            self.may_have_run = True
        if failure.kind is FailureKind.UNSENT:
            # A target that takes no connection got nothing: a route with one attempt still has it.
            self.sent -= 1
        log_event(
            "WARNING",
            "attempt_failed",
            request=self.arrival.request_id,
            target=self.targets[-1],
            attempt=len(self.targets),
            fingerprint=self.plan.fingerprint.hex(),
            fault=failure.kind,
            answered_s="" if failure.answered_s is None else failure.answered_s,
            backoff="" if failure.head is None else failure.head.backoff,
            leaving="" if failure.head is None else failure.head.is_leaving,
            reason=failure.message,
        )

    def refusal(self, refused: Refusal | None = None) -> Refusal:
        """Return what is true to say where no attempt gave an answer."""
        message = str(self.last or "")
        if self.may_have_run and not self.plan.repeats.may_run_again:
            return Refusal(ErrorKind.OUTCOME_UNKNOWN, message)
        if self.may_have_run:
            late = self.last is not None and self.last.kind is FailureKind.LATE
            return Refusal(ErrorKind.TIMEOUT if late else ErrorKind.TARGET_FAILED, message)
        if refused is not None:
            return refused
        return Refusal(ErrorKind.NOT_RUN, message)


def note_head(slot: Slot, head: TargetHead, request_id: str, now: float) -> None:
    """Pass on what an answer's head says of its target."""
    load = head.load
    if load is not None:
        slot.record_load(load.running, load.waiting, now)
    slot.record_rate(head.rate, not head.not_run, request_id, now)
    slot.record_backoff(head.backoff, request_id, now)
    if head.is_leaving:
        slot.announced_leaving(request_id, now)


def outcome_of(failure: AttemptFailedError) -> Outcome:
    """Return what the router should learn from a failed attempt."""
    if failure.kind is FailureKind.UNSENT:
        return Outcome(OutcomeKind.FAILED_BEFORE)
    return Outcome(OutcomeKind.FAILED_AFTER)
