"""Run one call to a plain service: with retries where it may be repeated, else once."""

import asyncio
from functools import partial
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.budgets import Allotments, Reservation, ReserveRequest
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.quarantine import Quarantine, stoppable
from cranberrywall.requests._attempts import BACKOFF_S, MAX_ATTEMPTS
from cranberrywall.requests._engine import Fault, FaultKind
from cranberrywall.requests._identity import RequestName, make_attempt_id
from cranberrywall.requests._intents import Intent, Intents
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.requests._service_client import ServiceAnswer, ServiceCall, ServiceClient
from cranberrywall.requests._watching import (
    STOPPED,
    fingerprint_of_request,
    note_answer,
    watching,
)
from cranberrywall.requests._witnesses import Witnesses
from cranberrywall.requests.messages import Attempted, RunKey
from cranberrywall.routing import Demand, Outcome, OutcomeKind, Router, Slot
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import while_offered

CallResult = Result[ServiceAnswer, Refusal]

_NOT_CHARGED_FROM_STATUS = 500


class ServiceRequest(NamedTuple):
    """Describe one admitted call; ``deadline`` is in monotonic seconds."""

    name: RequestName
    fingerprint: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    cost: int
    budget: str
    rank: int
    deadline: float


class Progress:
    """Say whether a byte of the call may have gone to a target."""

    def __init__(self) -> None:
        self.sent = False


class _Attempted(NamedTuple):
    """Hold the target that was tried and what came of it."""

    target_id: str
    result: ServiceAnswer | Fault


class ServiceRunner:
    """Reserve, find a place, call and settle."""

    def __init__(
        self,
        allotments: Allotments,
        router: Router,
        client: ServiceClient,
        intents: Intents,
        witnesses: Witnesses,
        clock: Clock,
        random: Random,
        metrics: RequestMetrics,
        answer_s: float,
        quarantine: Quarantine,
    ) -> None:
        """``answer_s`` is the longest wait, in seconds, for a call that runs at most once."""
        self._allotments = allotments
        self._router = router
        self._client = client
        self._intents = intents
        self._witnesses = witnesses
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._answer_s = answer_s
        self._quarantine = quarantine

    async def run(self, request: ServiceRequest, progress: Progress) -> CallResult:
        """Return the whole answer, or a refusal that is true of whether the call ran."""
        if request.repeatable:
            return await self._reserve_and_serve(request, progress)
        return await self._run_once(request, progress)

    async def _run_once(self, request: ServiceRequest, progress: Progress) -> CallResult:
        attempt_id = make_attempt_id(request.name.request_id, 0, self._random)
        intent = Intent(request.name, request.budget, attempt_id)
        key = RunKey(*request.name.key)
        # The ledger is asked before anything can refuse the call: a second arrival must
        # never hear "not run" of a call whose first arrival ran.
        try:
            won, is_first = await asyncio.gather(
                self._intents.win(intent, request.fingerprint),
                self._witnesses.claim(key, request.fingerprint),
            )
            if isinstance(won, Err):
                return Err(self._without_majority(request, won.err_value, is_first))
            if won.ok_value is not None:
                return Ok(won.ok_value)
            result = await self._reserve_and_serve(request, progress)
        except BaseException:
            self._note_end(intent, progress)
            raise
        if not progress.sent:
            self._witnesses.note_not_sent(key)
        if isinstance(result, Ok):
            self._intents.keep(intent, request.fingerprint, result.ok_value)
        else:
            self._note_end(intent, progress)
        return result

    def _without_majority(
        self, request: ServiceRequest, refusal: Refusal, is_first: bool
    ) -> Refusal:
        if refusal.kind is not ErrorKind.NOT_RUN:
            return refusal
        self._witnesses.note_not_sent(RunKey(*request.name.key))
        if is_first or not request.name.named_by_caller:
            return refusal
        # This arrival was not sent, but an earlier one may have been: its caller must
        # not take this answer as leave to send the call under another id.
        message = "the ledger cannot be reached, and an earlier arrival may have run"
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, message)

    def _note_end(self, intent: Intent, progress: Progress) -> None:
        if progress.sent:
            self._intents.lose(intent)
        else:
            self._intents.withdraw(intent)

    async def _reserve_and_serve(self, request: ServiceRequest, progress: Progress) -> CallResult:
        name = request.name
        held = self._check(request)
        if held is not None:
            return Err(held)
        wanted = ReserveRequest(
            name.workspace, request.budget, name.request_id, request.cost, request.deadline
        )
        reserved = await self._allotments.reserve(wanted, self._clock.now())
        if isinstance(reserved, Err):
            return reserved
        reservation = reserved.ok_value
        try:
            result = await self._serve(request, progress)
        except BaseException:
            reservation.release(self._clock.now())
            raise
        if isinstance(result, Err) or result.ok_value.status >= _NOT_CHARGED_FROM_STATUS:
            reservation.release(self._clock.now())
            return result
        return await asyncio.shield(self._settle(request, reservation, result.ok_value))

    async def _settle(
        self, request: ServiceRequest, reservation: Reservation, answer: ServiceAnswer
    ) -> CallResult:
        settled = await reservation.settle(request.cost, self._clock.now())
        if isinstance(settled, Ok):
            self._metrics.answered.labels("service").inc()
            return Ok(answer)
        log_event(
            "ERROR", "settle_failed", request=request.name.request_id, cause=settled.err_value
        )
        kind = ErrorKind.TARGET_FAILED if request.repeatable else ErrorKind.OUTCOME_UNKNOWN
        return Err(Refusal(kind, "the call ran, and its charge could not be recorded"))

    async def _serve(self, request: ServiceRequest, progress: Progress) -> CallResult:
        tried: frozenset[str] = frozenset()
        last: Fault | None = None
        for number in range(1, MAX_ATTEMPTS + 1):
            if last is not None:
                await self._back_off(number)
            acquired = await self._acquire(request, tried, retry=last is not None)
            if isinstance(acquired, Err):
                return Err(_refusal(request, progress, last, acquired.err_value))
            slot = acquired.ok_value
            held = self._check(request)
            if held is not None:
                slot.finish(Outcome(OutcomeKind.CANCELLED), self._clock.now())
                return Err(_refusal(request, progress, last, held))
            attempted = await self._attempt(request, slot, number, progress)
            if not isinstance(attempted.result, Fault):
                return Ok(attempted.result)
            last = attempted.result
            self._note_fault(request, attempted.target_id, last)
            if last.kind is FaultKind.REFUSED or (progress.sent and not request.repeatable):
                break
            tried |= {attempted.target_id}
        return Err(_refusal(request, progress, last, None))

    async def _acquire(
        self, request: ServiceRequest, tried: frozenset[str], retry: bool
    ) -> Result[Slot, Refusal]:
        demand = Demand(
            workspace=request.name.workspace,
            kind="service",
            name=request.service,
            version="",
            adapter="",
            rank=request.rank,
            deadline=request.deadline,
            bound_tokens=request.cost,
            exclude=tried,
            retry=retry,
            caller=request.name.workspace,
        )
        return await self._router.acquire(demand, self._clock.now())

    async def _attempt(
        self, request: ServiceRequest, slot: Slot, number: int, progress: Progress
    ) -> _Attempted:
        granted_at = self._clock.now()
        call = ServiceCall(
            slot.url,
            make_attempt_id(request.name.request_id, number, self._random),
            request.name.request_id,
            request.rank,
            request.method,
            request.path,
            request.headers,
            request.body,
        )
        sent_before, progress.sent = progress.sent, True
        if not request.repeatable:
            key = RunKey(*request.name.key)
            self._witnesses.note_sent(key, Attempted(call.url, call.attempt_id))
        kind = OutcomeKind.CANCELLED
        try:
            result = await self._watch(request, slot, call)
            kind = _outcome_kind(result)
        finally:
            now = self._clock.now()
            slot.finish(Outcome(kind, now - granted_at), now)
        if isinstance(result, Fault) and result.kind in (FaultKind.UNSENT, FaultKind.UNRUN):
            progress.sent = sent_before
        return _Attempted(slot.target_id, result)

    def _check(self, request: ServiceRequest) -> Refusal | None:
        """Return why the call must not go to a target now."""
        fingerprint = fingerprint_of_request(request.name, request.fingerprint)
        return self._quarantine.check(fingerprint, self._clock.now())

    async def _watch(
        self, request: ServiceRequest, slot: Slot, call: ServiceCall
    ) -> ServiceAnswer | Fault:
        fingerprint = fingerprint_of_request(request.name, request.fingerprint)
        with watching(
            self._quarantine, request.name, slot, fingerprint, False, self._clock
        ) as watched:
            result: ServiceAnswer | Fault = STOPPED
            try:
                async with stoppable(watched.run, None):
                    with while_offered(lambda: slot.is_offered):
                        result = await self._client.call(
                            call,
                            request.repeatable,
                            self._limit(request),
                            partial(note_answer, slot, request.name.request_id, self._clock),
                        )
            except TimeoutError:
                if not watched.run.is_stopped:
                    raise
            watched.ended(result if isinstance(result, Fault) else None)
            return result

    def _limit(self, request: ServiceRequest) -> float:
        # A call that runs at most once cannot be tried again, so its answer is worth
        # waiting for beyond the caller's deadline: the caller's retry gets it.
        left = max(0.0, request.deadline - self._clock.now())
        return left if request.repeatable else max(left, self._answer_s)

    async def _back_off(self, number: int) -> None:
        await self._clock.sleep(BACKOFF_S * number * self._random.uniform(0.5, 1.5))

    def _note_fault(self, request: ServiceRequest, target_id: str, fault: Fault) -> None:
        self._metrics.faults.labels(str(fault.kind)).inc()
        log_event(
            "WARNING",
            "attempt_failed",
            request=request.name.request_id,
            target=target_id,
            fault=fault.kind,
            reason=fault.message,
        )


def _outcome_kind(result: ServiceAnswer | Fault) -> OutcomeKind:
    if not isinstance(result, Fault):
        return OutcomeKind.ANSWERED
    if result.kind is FaultKind.UNSENT:
        return OutcomeKind.FAILED_BEFORE
    return OutcomeKind.FAILED_AFTER


def _refusal(
    request: ServiceRequest, progress: Progress, last: Fault | None, refused: Refusal | None
) -> Refusal:
    message = last.message if last is not None else ""
    if progress.sent and not request.repeatable:
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, message)
    if progress.sent:
        return Refusal(ErrorKind.TARGET_FAILED, message)
    return refused or Refusal(ErrorKind.NOT_RUN, message)
