"""Run of one chat completion: reserve the bound, make attempts, settle the charge."""

import asyncio
from typing import NamedTuple

import msgspec
from result import Err, Result

from cranberrywall.budgets import Allotments, InputBounds, Reservation, ReserveRequest
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.quarantine import NO_TRAITS, Quarantine, Traits
from cranberrywall.requests._attempts import Attempts, OnAttempt, ServeResult
from cranberrywall.requests._background import BackgroundTasks
from cranberrywall.requests._chat import Bound, ChatBody
from cranberrywall.requests._identity import RequestName
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.requests._prefixes import prefix_hashes
from cranberrywall.requests._registry import NO_ATTEMPT
from cranberrywall.requests._run import Run
from cranberrywall.requests._usage import total_tokens
from cranberrywall.requests._watching import fingerprint_of_request
from cranberrywall.requests.messages import AttemptLocation
from cranberrywall.routing import Demand
from cranberrywall.runtime import Clock

TOKENS = "tokens"


class ChatRequest(NamedTuple):
    """Admitted chat completion.

    ``start_by`` is the deadline of the first chunk. ``end_by`` is the deadline of the
    complete answer, or ``None`` if the caller set none. Both are in monotonic seconds.
    ``unit`` is the unit of the budget. ``traits`` has the messages that others may share.
    """

    name: RequestName
    fingerprint: str
    body: ChatBody
    bound: Bound
    budget: str
    unit: str
    version: str
    rank: int
    start_by: float
    end_by: float | None
    traits: Traits = NO_TRAITS

    @property
    def output_limit(self) -> int:
        """Return the maximum number of tokens that the engine may generate."""
        return self.bound.output_tokens


class ChatRunner:
    """Run chat completions, and charge them to this host's allotments."""

    def __init__(
        self,
        allotments: Allotments,
        attempts: Attempts,
        bounds: InputBounds,
        clock: Clock,
        metrics: RequestMetrics,
        background: BackgroundTasks,
        quarantine: Quarantine,
    ) -> None:
        self._quarantine = quarantine
        self._allotments = allotments
        self._attempts = attempts
        self._bounds = bounds
        self._clock = clock
        self._metrics = metrics
        self._background = background

    async def run(
        self, run: Run, request: ChatRequest, prior_attempt: AttemptLocation, on_attempt: OnAttempt
    ) -> None:
        """End ``run`` with a complete and charged answer, or with a refusal.

        ``prior_attempt`` is an attempt of a failed host, which is resumed first.
        """
        now = self._clock.now()
        refusal = self._quarantine.check(
            fingerprint_of_request(request.name, request.fingerprint), now, request.traits
        )
        if refusal is not None:
            run.fail(_refusal_after(prior_attempt, refusal), now)
            return
        reserved = await self._allotments.reserve(_reserve_request(request), now)
        if isinstance(reserved, Err):
            run.fail(_refusal_after(prior_attempt, reserved.err_value), self._clock.now())
            return
        reservation = reserved.ok_value
        try:
            result = await self._attempts.serve(
                run, request, _demand(request), make_engine_body(request), prior_attempt, on_attempt
            )
        except BaseException:
            # A cancelled request is charged for the tokens generated so far.
            self._background.spawn(self._settle_cancelled(reservation, run, request))
            raise
        await self._finish(run, request, reservation, result)

    async def _finish(
        self, run: Run, request: ChatRequest, reservation: Reservation, result: ServeResult
    ) -> None:
        if result.refusal is not None:
            reservation.release(self._clock.now())
            run.fail(result.refusal, self._clock.now())
            return
        # The charge is durable before the last frame is released. So a complete answer is
        # billed even if this host fails immediately after it.
        settled = await asyncio.shield(self._settle(reservation, self._cost(run, request)))
        if isinstance(settled, Err):
            log_event(
                "ERROR", "settle_failed", request=run.name.request_id, cause=settled.err_value
            )
            refusal = Refusal(ErrorKind.ANSWER_CUT, "the charge could not be recorded")
            run.fail(refusal, self._clock.now())
            return
        if run.usage is not None:
            self._bounds.record_usage(
                request.body.model,
                request.body.size,
                request.bound.input_tokens,
                run.usage["prompt_tokens"],
            )
        run.complete(self._clock.now())
        self._metrics.answered.labels("chat").inc()

    async def _settle(self, reservation: Reservation, cost: int) -> Result[None, Refusal]:
        if cost > reservation.bound:
            self._metrics.over_bound.labels().inc()
            cost = reservation.bound
        return await reservation.settle(cost, self._clock.now())

    def _cost(self, run: Run, request: ChatRequest) -> int:
        if request.unit != TOKENS:
            return 1
        if run.usage is None:
            return request.bound.input_tokens + len(run.frames)
        return total_tokens(run.usage)

    async def _settle_cancelled(
        self, reservation: Reservation, run: Run, request: ChatRequest
    ) -> None:
        if not run.frames:
            reservation.release(self._clock.now())
            return
        settled = await self._settle(reservation, self._cost(run, request))
        if isinstance(settled, Err):
            log_event(
                "ERROR", "settle_failed", request=run.name.request_id, cause=settled.err_value
            )


def make_engine_body(request: ChatRequest) -> bytes:
    """Return the body for the engine, which requests a stream limited to the bound.

    A stream can be checked, resumed and cancelled at any chunk. So the engine streams the
    answer even if the caller did not request a stream.
    """
    values = {
        **request.body.forwarded_fields,
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": request.bound.output_tokens,
    }
    if request.body.adapter:
        values["adapter"] = request.body.adapter
    return msgspec.json.encode(values)


def _reserve_request(request: ChatRequest) -> ReserveRequest:
    bound = request.bound.total if request.unit == TOKENS else 1
    name = request.name
    return ReserveRequest(name.workspace, request.budget, name.request_id, bound, request.start_by)


def _demand(request: ChatRequest) -> Demand:
    return Demand(
        workspace=request.name.workspace,
        kind="engine",
        name=request.body.model,
        version=request.version,
        adapter=request.body.adapter,
        rank=request.rank,
        deadline=request.start_by,
        bound_tokens=request.bound.total,
        prefix_hashes=prefix_hashes(request.body.texts),
        caller=request.name.workspace,
    )


def _refusal_after(prior_attempt: AttemptLocation, refusal: Refusal) -> Refusal:
    # An attempt of a failed host ran, so the refusal must not state that the request did not run.
    if prior_attempt == NO_ATTEMPT:
        return refusal
    return Refusal(
        ErrorKind.TARGET_FAILED,
        f"the host of an earlier attempt was lost; now refused: {refusal.kind}",
    )
