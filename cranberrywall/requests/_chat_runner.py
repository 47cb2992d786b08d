"""Run one chat completion: reserve, let the attempts serve it, settle."""

import asyncio
from typing import NamedTuple

import msgspec
from result import Err, Result

from cranberrywall.budgets import Allotments, InputBounds, Reservation, ReserveRequest
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.quarantine import Quarantine
from cranberrywall.requests._attempts import AttemptEnd, Attempts, OnAttempt
from cranberrywall.requests._background import BackgroundTasks
from cranberrywall.requests._chat import Bound, ChatBody
from cranberrywall.requests._identity import RequestName
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.requests._prefixes import prefix_hashes
from cranberrywall.requests._registry import NOTHING_ATTEMPTED
from cranberrywall.requests._run import Run
from cranberrywall.requests._usage import total_tokens
from cranberrywall.requests._watching import fingerprint_of_request
from cranberrywall.requests.messages import Attempted
from cranberrywall.routing import Demand
from cranberrywall.runtime import Clock

TOKENS = "tokens"


class ChatRequest(NamedTuple):
    """Describe one admitted chat completion.

    ``start_by`` is when the first chunk must have come; ``end_by`` ends the whole answer,
    ``None`` where the caller set no time. Both are monotonic seconds. ``unit`` is the
    budget's.
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

    @property
    def output_limit(self) -> int:
        """Return the most tokens that the engine may generate."""
        return self.bound.output_tokens


class ChatRunner:
    """Run chat completions against this host's allotments."""

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
        self, run: Run, request: ChatRequest, begun: Attempted, on_attempt: OnAttempt
    ) -> None:
        """End ``run`` with the whole answer, charged, or with a refusal.

        ``begun`` is the attempt of a lost host to go on with.
        """
        now = self._clock.now()
        held = self._quarantine.check(
            fingerprint_of_request(request.name, request.fingerprint), now
        )
        if held is not None:
            run.fail(_after(begun, held), now)
            return
        reserved = await self._allotments.reserve(_reserve_request(request), now)
        if isinstance(reserved, Err):
            run.fail(_after(begun, reserved.err_value), self._clock.now())
            return
        reservation = reserved.ok_value
        try:
            end = await self._attempts.serve(
                run, request, _demand(request), engine_body(request), begun, on_attempt
            )
        except BaseException:
            # A cancelled caller pays for what was generated; nothing else does.
            self._background.spawn(self._settle_cancelled(reservation, run, request))
            raise
        await self._end(run, request, reservation, end)

    async def _end(
        self, run: Run, request: ChatRequest, reservation: Reservation, end: AttemptEnd
    ) -> None:
        if end.refusal is not None:
            reservation.release(self._clock.now())
            run.fail(end.refusal, self._clock.now())
            return
        # The charge is durable before the last frame goes out, so that a whole answer
        # is billed also where this host dies right after it.
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
        run.answer(self._clock.now())
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


def engine_body(request: ChatRequest) -> bytes:
    """Return the body for the engine: always streamed, and limited to the bound.

    A stream can be checked, resumed and cancelled at any chunk, also for a caller who asked
    for one answer.
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


def _after(begun: Attempted, refusal: Refusal) -> Refusal:
    # An attempt of a lost host ran: the refusal of this arrival must not say "not run".
    if begun == NOTHING_ATTEMPTED:
        return refusal
    return Refusal(ErrorKind.TARGET_FAILED, f"an earlier arrival was lost; now: {refusal.kind}")
