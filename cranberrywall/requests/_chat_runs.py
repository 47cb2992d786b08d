"""Run chat completions: reserve, find a place, call, stream, settle."""

import asyncio
from typing import NamedTuple

import msgspec
from loguru import logger
from result import Err, Ok, Result

from cranberrywall.budgets import Allotments, Reservation, ReserveRequest
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.requests._attempts import AttemptEnd, Attempts
from cranberrywall.requests._background import Background
from cranberrywall.requests._chat import Bound, ChatBody
from cranberrywall.requests._identity import RequestName
from cranberrywall.requests._intents import other_request
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.requests._prefixes import prefix_hashes
from cranberrywall.requests._run import Run, RunState
from cranberrywall.requests._usage import total_tokens
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


class RunLimits(NamedTuple):
    """Limit what is kept of runs; seconds.

    A run whose callers all left goes on for ``linger_s`` where the caller named it, so that
    a retry can join; a finished one is kept for ``kept_s`` to answer retries.
    """

    linger_s: float = 3.0
    kept_s: float = 300.0
    kept_runs: int = 4096


class ChatRuns:
    """Start runs, let retries join them, and end them."""

    def __init__(
        self,
        allotments: Allotments,
        attempts: Attempts,
        clock: Clock,
        metrics: RequestMetrics,
        limits: RunLimits,
        background: Background,
    ) -> None:
        self._allotments = allotments
        self._attempts = attempts
        self._clock = clock
        self._metrics = metrics
        self._limits = limits
        self._run_by_key: dict[tuple[str, str], Run] = {}
        self._task_by_run: dict[Run, asyncio.Task[None]] = {}
        self._background = background

    @property
    def running(self) -> int:
        """Return how many runs are in progress."""
        return len(self._task_by_run)

    async def start_or_join(self, request: ChatRequest, now: float) -> Result[Run, Refusal]:
        """Return a run of ``request``, which the caller must ``leave``."""
        self._forget_old(now)
        known = self._run_by_key.get(request.name.key)
        if known is not None and known.state is not RunState.FAILED:
            return self._join(known, request)
        run = Run(request.name, request.fingerprint, now)
        run.listeners = 1
        if request.name.named_by_caller:
            self._run_by_key[request.name.key] = run
        self._task_by_run[run] = asyncio.create_task(self._drive(run, request))
        return Ok(run)

    def leave(self, run: Run) -> None:
        """Stop listening; a run that nobody listens to is cancelled."""
        run.listeners -= 1
        if run.listeners > 0 or run.state is not RunState.RUNNING:
            return
        if run.name.named_by_caller:
            self._background.spawn(self._cancel_unless_joined(run))
        else:
            self._cancel(run)

    async def wait_idle(self) -> None:
        """Return once no run is in progress and all that they left is wound up."""
        while self._task_by_run or not self._background.empty:
            if self._task_by_run:
                await asyncio.wait(list(self._task_by_run.values()))
            await self._background.wait_empty()

    def abort(self) -> None:
        """Cancel all runs."""
        for task in list(self._task_by_run.values()):
            task.cancel()

    def _join(self, run: Run, request: ChatRequest) -> Result[Run, Refusal]:
        if run.fingerprint != request.fingerprint:
            return Err(other_request())
        run.listeners += 1
        self._metrics.joined.labels("here").inc()
        return Ok(run)

    async def _cancel_unless_joined(self, run: Run) -> None:
        await self._clock.sleep(self._limits.linger_s)
        if run.listeners == 0:
            self._cancel(run)

    def _cancel(self, run: Run) -> None:
        task = self._task_by_run.get(run)
        if task is not None:
            task.cancel()

    async def _drive(self, run: Run, request: ChatRequest) -> None:
        self._metrics.running.inc()
        try:
            await self._reserve_and_serve(run, request)
        except asyncio.CancelledError:
            run.fail(Refusal(ErrorKind.CANCELLED, "the caller left"), self._clock.now())
        except Exception as error:
            logger.opt(exception=error).error("event=run_failed request={}", run.name.request_id)
            run.fail(Refusal(ErrorKind.INTERNAL, "the run failed"), self._clock.now())
        finally:
            self._task_by_run.pop(run, None)
            self._metrics.running.dec()

    async def _reserve_and_serve(self, run: Run, request: ChatRequest) -> None:
        now = self._clock.now()
        reserved = await self._allotments.reserve(_reserve_request(request), now)
        if isinstance(reserved, Err):
            run.fail(reserved.err_value, self._clock.now())
            return
        reservation = reserved.ok_value
        try:
            end = await self._attempts.serve(run, request, _demand(request), engine_body(request))
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
            logger.error(
                "event=settle_failed request={} cause={}",
                run.name.request_id,
                settled.err_value.kind,
            )
            refusal = Refusal(ErrorKind.ANSWER_CUT, "the charge could not be recorded")
            run.fail(refusal, self._clock.now())
            return
        run.answer(self._clock.now())
        self._metrics.answered.labels("chat").inc()

    async def _settle(self, reservation: Reservation, cost: int) -> Result[None, Refusal]:
        if cost > reservation.bound:
            self._metrics.over_bound.inc()
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
            logger.error("event=settle_failed request={}", run.name.request_id)

    def _forget_old(self, now: float) -> None:
        for key, run in list(self._run_by_key.items()):
            too_many = len(self._run_by_key) > self._limits.kept_runs
            ended = run.ended_at is not None
            old = ended and run.ended_at is not None and now - run.ended_at > self._limits.kept_s
            if not old and not (ended and too_many):
                break
            del self._run_by_key[key]


def engine_body(request: ChatRequest) -> bytes:
    """Return the body for the engine: always streamed, and limited to the bound.

    A stream can be checked, resumed and cancelled at any chunk, also for a caller who asked
    for one answer.
    """
    values = {
        **request.body.passed,
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
    )
