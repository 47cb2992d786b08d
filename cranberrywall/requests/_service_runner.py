"""Run of one call to a service: with retries if it is repeatable, otherwise at most once."""

import asyncio
from functools import partial
from typing import Any, NamedTuple

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
    record_notice,
    watch_attempt,
)
from cranberrywall.requests._witnesses import Witnesses
from cranberrywall.requests.messages import AttemptLocation, RunKey
from cranberrywall.routing import Demand, Outcome, OutcomeKind, Router, Slot
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import ConnectionRequest, connecting_for

CallResult = Result[ServiceAnswer, Refusal]

MAX_DOUBTFUL_ATTEMPTS = 6
"""Number of times that the ledger is asked about a call that another host may have sent."""

DOUBTFUL_RETRY_DELAY_S = 0.3

_MIN_UNCHARGED_STATUS = 500


class ServiceRequest(NamedTuple):
    """Admitted call to a service; ``deadline`` is in monotonic seconds."""

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


class SendState:
    """Whether a byte of the call may have gone to a target."""

    def __init__(self) -> None:
        self.sent = False


class _AttemptResult(NamedTuple):
    """Target of an attempt, and its answer or fault."""

    target_id: str
    result: ServiceAnswer | Fault


class ServiceRunner:
    """Reserve the cost of calls, send them to targets and settle the charges."""

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
        max_answer_wait_s: float,
        quarantine: Quarantine,
    ) -> None:
        """Create a runner.

        ``max_answer_wait_s`` is how long to wait for the answer to a call that runs at most
        once, in seconds, also after the deadline of its caller.
        """
        self._allotments = allotments
        self._router = router
        self._client = client
        self._intents = intents
        self._witnesses = witnesses
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._max_answer_wait_s = max_answer_wait_s
        self._quarantine = quarantine

    async def run(self, request: ServiceRequest, send_state: SendState) -> CallResult:
        """Return the complete answer, or a refusal that states correctly whether the call ran."""
        if request.repeatable:
            return await self._reserve_and_serve(request, send_state)
        return await self._run_once(request, send_state)

    async def _run_once(self, request: ServiceRequest, send_state: SendState) -> CallResult:
        intent = self._make_intent(request, 0)
        key = RunKey(*request.name.key)
        # The intent is recorded before anything can refuse the call. Otherwise a second
        # request could get "not run" although the first one with the same id ran.
        try:
            acquired, is_first = await asyncio.gather(
                self._intents.acquire(intent, request.fingerprint),
                self._witnesses.claim(key, request.fingerprint),
            )
            for number in range(1, MAX_DOUBTFUL_ATTEMPTS):
                if not self._is_doubtful(request, acquired, is_first):
                    break
                await self._clock.sleep(DOUBTFUL_RETRY_DELAY_S)
                intent = self._make_intent(request, number)
                acquired = await self._intents.acquire(intent, request.fingerprint)
            if isinstance(acquired, Err):
                return Err(self._no_quorum_refusal(request, acquired.err_value, is_first))
            if acquired.ok_value is not None:
                return Ok(acquired.ok_value)
            result = await self._reserve_and_serve(request, send_state)
        except BaseException:
            self._record_no_answer(intent, send_state)
            raise
        if not send_state.sent:
            self._witnesses.record_not_sent(key)
        if isinstance(result, Ok):
            self._intents.record_answer(intent, request.fingerprint, result.ok_value)
        else:
            self._record_no_answer(intent, send_state)
        return result

    def _make_intent(self, request: ServiceRequest, number: int) -> Intent:
        attempt_id = make_attempt_id(request.name.request_id, number, self._random)
        return Intent(request.name, request.budget, attempt_id)

    def _is_doubtful(
        self, request: ServiceRequest, acquired: Result[Any, Refusal], is_first: bool
    ) -> bool:
        """Return whether only the ledger can tell if another host has sent this call.

        It may be electing a leader. An unknown outcome is final for the caller, so it is asked
        again for a short time.
        """
        if isinstance(acquired, Ok) or is_first or not request.name.named_by_caller:
            return False
        if acquired.err_value.kind is not ErrorKind.NOT_RUN:
            return False
        return self._clock.now() + DOUBTFUL_RETRY_DELAY_S < request.deadline

    def _no_quorum_refusal(
        self, request: ServiceRequest, refusal: Refusal, is_first: bool
    ) -> Refusal:
        if refusal.kind is not ErrorKind.NOT_RUN:
            return refusal
        self._witnesses.record_not_sent(RunKey(*request.name.key))
        if is_first or not request.name.named_by_caller:
            return refusal
        # This request was not sent, but an earlier one with the same id may have been. The
        # caller must not conclude that it may send the call under another id.
        message = "the ledger cannot be reached, and an earlier request with this id may have run"
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, message)

    def _record_no_answer(self, intent: Intent, send_state: SendState) -> None:
        if send_state.sent:
            self._intents.record_unknown(intent)
        else:
            self._intents.withdraw(intent)

    async def _reserve_and_serve(
        self, request: ServiceRequest, send_state: SendState
    ) -> CallResult:
        name = request.name
        refusal = self._check(request)
        if refusal is not None:
            return Err(refusal)
        reserve_request = ReserveRequest(
            name.workspace, request.budget, name.request_id, request.cost, request.deadline
        )
        reserved = await self._allotments.reserve(reserve_request, self._clock.now())
        if isinstance(reserved, Err):
            return reserved
        reservation = reserved.ok_value
        try:
            result = await self._serve(request, send_state)
        except BaseException:
            reservation.release(self._clock.now())
            raise
        if isinstance(result, Err) or result.ok_value.status >= _MIN_UNCHARGED_STATUS:
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
        return Err(Refusal(kind, "the call ran, but its charge could not be recorded"))

    async def _serve(self, request: ServiceRequest, send_state: SendState) -> CallResult:
        tried: frozenset[str] = frozenset()
        last_fault: Fault | None = None
        for number in range(1, MAX_ATTEMPTS + 1):
            if last_fault is not None:
                await self._back_off(number)
            acquired = await self._acquire(request, tried, retry=last_fault is not None)
            if isinstance(acquired, Err):
                return Err(_refusal(request, send_state, last_fault, acquired.err_value))
            slot = acquired.ok_value
            refusal = self._check(request)
            if refusal is not None:
                slot.finish(Outcome(OutcomeKind.CANCELLED), self._clock.now())
                return Err(_refusal(request, send_state, last_fault, refusal))
            attempt = await self._attempt(request, slot, number, send_state)
            if not isinstance(attempt.result, Fault):
                return Ok(attempt.result)
            last_fault = attempt.result
            self._record_fault(request, attempt.target_id, last_fault)
            if last_fault.kind is FaultKind.REFUSED or (send_state.sent and not request.repeatable):
                break
            tried |= {attempt.target_id}
        return Err(_refusal(request, send_state, last_fault, None))

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
        self, request: ServiceRequest, slot: Slot, number: int, send_state: SendState
    ) -> _AttemptResult:
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
        sent_before, send_state.sent = send_state.sent, True
        if not request.repeatable:
            key = RunKey(*request.name.key)
            self._witnesses.record_sent(key, AttemptLocation(call.url, call.attempt_id))
        kind = OutcomeKind.CANCELLED
        try:
            result = await self._watch(request, slot, call)
            kind = _outcome_kind(result)
        finally:
            now = self._clock.now()
            slot.finish(Outcome(kind, now - granted_at), now)
        if isinstance(result, Fault) and result.kind in (FaultKind.UNSENT, FaultKind.UNRUN):
            send_state.sent = sent_before
        return _AttemptResult(slot.target_id, result)

    def _check(self, request: ServiceRequest) -> Refusal | None:
        """Return a refusal if the call is quarantined."""
        fingerprint = fingerprint_of_request(request.name, request.fingerprint)
        return self._quarantine.check(fingerprint, self._clock.now())

    async def _watch(
        self, request: ServiceRequest, slot: Slot, call: ServiceCall
    ) -> ServiceAnswer | Fault:
        fingerprint = fingerprint_of_request(request.name, request.fingerprint)
        with watch_attempt(
            self._quarantine, request.name, slot, fingerprint, False, self._clock
        ) as watched:
            result: ServiceAnswer | Fault = STOPPED
            connection = ConnectionRequest(
                slot.target_incarnation,
                request.name.request_id,
                lambda: slot.is_offered,
                request.repeatable,
            )
            try:
                async with stoppable(watched.run, None):
                    with connecting_for(connection):
                        result = await self._client.call(
                            call,
                            request.repeatable,
                            self._timeout_s(request),
                            partial(record_notice, slot, request.name.request_id, self._clock),
                        )
            except TimeoutError:
                if not watched.run.is_stopped:
                    raise
            if isinstance(result, Fault) and not connection.may_be_sent:
                result = Fault(FaultKind.UNSENT, result.message)
            watched.record_end(result if isinstance(result, Fault) else None)
            return result

    def _timeout_s(self, request: ServiceRequest) -> float:
        # A call that runs at most once cannot be retried. So this host waits for its answer
        # beyond the caller's deadline, and a retry of the caller gets the answer.
        left = max(0.0, request.deadline - self._clock.now())
        return left if request.repeatable else max(left, self._max_answer_wait_s)

    async def _back_off(self, number: int) -> None:
        await self._clock.sleep(BACKOFF_S * number * self._random.uniform(0.5, 1.5))

    def _record_fault(self, request: ServiceRequest, target_id: str, fault: Fault) -> None:
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
    request: ServiceRequest,
    send_state: SendState,
    last_fault: Fault | None,
    refused: Refusal | None,
) -> Refusal:
    message = last_fault.message if last_fault is not None else ""
    if send_state.sent and not request.repeatable:
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, message)
    if send_state.sent:
        return Refusal(ErrorKind.TARGET_FAILED, message)
    return refused or Refusal(ErrorKind.NOT_RUN, message)
