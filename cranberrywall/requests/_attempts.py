"""Attempts to serve one request: resume a truncated stream, or retry at another target.

A chat completion is repeatable, so another attempt may follow one that failed. The chunks
of the second attempt are compared with those that the caller already has. If they differ,
the run ends with an explicit error.
"""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple, Protocol

import aiohttp
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.quarantine import Quarantine, Traits, stoppable
from cranberrywall.quarantine import Run as WatchedRun
from cranberrywall.requests._background import BackgroundTasks
from cranberrywall.requests._engine import (
    EngineCall,
    EngineLimits,
    EngineStream,
    Fault,
    FaultKind,
    cancel_attempt,
)
from cranberrywall.requests._frames import Chunk, EndMark, delta_of, frame_for_caller
from cranberrywall.requests._identity import RequestName, make_attempt_id
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.requests._registry import NO_ATTEMPT
from cranberrywall.requests._run import Run
from cranberrywall.requests._watching import (
    STOPPED,
    fingerprint_of_request,
    record_notice,
    watch_attempt,
)
from cranberrywall.requests.messages import AttemptLocation
from cranberrywall.routing import Demand, Outcome, OutcomeKind, Router, Slot
from cranberrywall.runtime import Clock, Random, Timers
from cranberrywall.targets import ConnectionRequest, connecting_for

MAX_ATTEMPTS = 4
MAX_RESUMES = 3
BACKOFF_S = 0.05
OnAttempt = Callable[[AttemptLocation], None]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""An answer is limited because it stays in memory for its callers and their retries."""

_SPARE_CHUNKS = 8
"""An engine may send this many chunks beyond its token limit, for role, finish and usage."""


class AttemptRequest(Protocol):
    """Properties of a request that attempts use."""

    @property
    def name(self) -> RequestName:
        """Return the workspace and id of the request."""
        ...

    @property
    def fingerprint(self) -> str:
        """Return a hash of the content of the request, which does not depend on its id."""
        ...

    @property
    def traits(self) -> Traits:
        """Return the parts of the prompt that the request shares with others."""
        ...

    @property
    def rank(self) -> int:
        """Return the rank of the priority class."""
        ...

    @property
    def start_by(self) -> float:
        """Return the deadline of the first chunk, in monotonic seconds."""
        ...

    @property
    def end_by(self) -> float | None:
        """Return the deadline of the complete answer, in monotonic seconds, if there is one."""
        ...

    @property
    def output_limit(self) -> int:
        """Return the maximum number of tokens that the engine may generate."""
        ...


class ServeResult(NamedTuple):
    """Result of all attempts; without a refusal the run has the complete answer."""

    refusal: Refusal | None


class Attempts:
    """Make attempts at targets that the router chooses."""

    def __init__(
        self,
        router: Router,
        session: aiohttp.ClientSession,
        clock: Clock,
        random: Random,
        metrics: RequestMetrics,
        limits: EngineLimits,
        background: BackgroundTasks,
        quarantine: Quarantine,
    ) -> None:
        self._quarantine = quarantine
        self._router = router
        self._session = session
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._limits = limits
        self._background = background
        self._timers = Timers(clock)

    async def serve(
        self,
        run: Run,
        request: AttemptRequest,
        demand: Demand,
        body: bytes,
        prior_attempt: AttemptLocation,
        on_attempt: OnAttempt,
    ) -> ServeResult:
        """Append the complete answer to ``run``, or return the refusal.

        ``prior_attempt`` is an attempt that a failed host started. It is resumed first.
        ``on_attempt`` is called with each new attempt immediately before it is sent.
        """
        served = self._serve(run, request, demand, body, prior_attempt, on_attempt)
        if request.end_by is None:
            return await served
        try:
            async with self._timers.limit(request.end_by - self._clock.now()):
                return await served
        except TimeoutError:
            return ServeResult(_deadline_refusal(run))

    async def _serve(
        self,
        run: Run,
        request: AttemptRequest,
        demand: Demand,
        body: bytes,
        prior_attempt: AttemptLocation,
        on_attempt: OnAttempt,
    ) -> ServeResult:
        if prior_attempt != NO_ATTEMPT and await self._resume_prior_attempt(
            run, request, prior_attempt
        ):
            return ServeResult(None)
        tried: frozenset[str] = frozenset()
        last_fault: Fault | None = None
        for number in range(1, MAX_ATTEMPTS + 1):
            if last_fault is not None:
                await self._back_off(number)
            acquired = await self._acquire(run, demand, tried)
            if isinstance(acquired, Err):
                return ServeResult(_refusal(run, last_fault, acquired.err_value))
            slot = acquired.ok_value
            refusal = self._check(request)
            if refusal is not None:
                slot.finish(Outcome(OutcomeKind.CANCELLED), self._clock.now())
                return ServeResult(_refusal(run, last_fault, refusal))
            last_fault = await self._attempt(run, request, slot, number, body, on_attempt)
            if last_fault is None:
                return ServeResult(None)
            self._record_fault(run, slot, last_fault)
            if last_fault.kind is FaultKind.REFUSED:
                break
            tried |= {slot.target_id}
        return ServeResult(_refusal(run, last_fault, None))

    def _check(self, request: AttemptRequest) -> Refusal | None:
        """Return a refusal if the request is quarantined.

        The previous attempt may have caused the quarantine.
        """
        fingerprint = fingerprint_of_request(request.name, request.fingerprint)
        return self._quarantine.check(fingerprint, self._clock.now(), request.traits)

    async def _acquire(
        self, run: Run, demand: Demand, tried: frozenset[str]
    ) -> Result[Slot, Refusal]:
        now = self._clock.now()
        if not tried:
            return await self._router.acquire(demand, now)
        other_target_deadline = min(demand.deadline, now + self._limits.other_target_wait_s)
        other_target_demand = demand._replace(
            exclude=tried, deadline=other_target_deadline, retry=True, excluded_may_serve=True
        )
        acquired = await self._router.acquire(other_target_demand, now)
        if isinstance(acquired, Ok) or run.frames:
            # A caller that already has part of the answer does not wait in the queue again.
            return acquired
        retry_demand = demand._replace(retry=True)
        return await self._router.acquire(retry_demand, self._clock.now())

    async def _resume_prior_attempt(
        self, run: Run, request: AttemptRequest, prior_attempt: AttemptLocation
    ) -> bool:
        """Resume an attempt of a failed host; return whether the answer is complete.

        The engine may still run the attempt or may have ended it.
        """
        run.sent = True
        name = request.name.request_id
        call = EngineCall(prior_attempt.url, prior_attempt.attempt_id, name, request.rank, "", b"")
        stream = self._make_stream(call, self._limits)
        stream.expect_chunk(len(run.frames))
        reader = _AttemptReader(run, request, stream, self._clock)
        if not await self._may_resume(request, prior_attempt.url):
            return False
        try:
            fault = await stream.resume()
            if fault is None:
                fault = await self._read_with_resumes(request, reader, stream, None)
        except BaseException:
            self._background.spawn(self._cancel(request, call))
            raise
        finally:
            stream.close()
        if fault is None:
            self._metrics.resumed.labels("after_lost_host").inc()
            return True
        self._metrics.faults.labels(str(fault.kind)).inc()
        return False

    async def _attempt(
        self,
        run: Run,
        request: AttemptRequest,
        slot: Slot,
        number: int,
        body: bytes,
        on_attempt: OnAttempt,
    ) -> Fault | None:
        granted_at = self._clock.now()
        call = EngineCall(
            slot.url,
            make_attempt_id(request.name.request_id, number, self._random),
            request.name.request_id,
            request.rank,
            slot.version,
            body,
        )
        stream = self._make_stream(call, self._limits_until(request.start_by))
        stream.on_notice = partial(record_notice, slot, request.name.request_id, self._clock)
        reader = _AttemptReader(run, request, stream, self._clock, slot)
        sent_before, run.sent = run.sent, True
        on_attempt(AttemptLocation(call.url, call.attempt_id))
        fault: Fault | None = Fault(FaultKind.CUT, "cancelled")
        cancelled = True
        try:
            fault = await self._watch(request, slot, reader, stream)
            cancelled = False
        finally:
            # A cancelled task runs this block, too. It releases the slot and stops the
            # engine, which would otherwise generate an answer without a reader.
            if fault is None:
                self._background.spawn(stream.release())
            else:
                stream.close()
            if fault is not None and fault.kind is FaultKind.UNSENT:
                run.sent = sent_before
            elif fault is not None:
                self._background.spawn(self._cancel(request, call))
            outcome = _outcome(fault, cancelled, reader, granted_at)
            slot.finish(outcome, self._clock.now())
        return fault

    async def _watch(
        self, request: AttemptRequest, slot: Slot, reader: "_AttemptReader", stream: EngineStream
    ) -> Fault | None:
        fingerprint = fingerprint_of_request(request.name, request.fingerprint)
        with watch_attempt(
            self._quarantine, request.name, slot, fingerprint, True, self._clock, request.traits
        ) as watched:
            fault: Fault | None = STOPPED
            try:
                async with stoppable(watched.run, None):
                    reader.watched = watched.run
                    connection = ConnectionRequest(
                        slot.target_incarnation,
                        request.name.request_id,
                        lambda: slot.is_offered,
                        may_repeat=True,
                    )
                    with connecting_for(connection):
                        open_fault = await stream.open()
                    fault = await self._read_with_resumes(request, reader, stream, open_fault)
            except TimeoutError:
                if not watched.run.is_stopped:
                    raise
            watched.record_end(fault)
            return fault

    async def _read_with_resumes(
        self,
        request: AttemptRequest,
        reader: "_AttemptReader",
        stream: EngineStream,
        open_fault: Fault | None,
    ) -> Fault | None:
        fault = await reader.read() if open_fault is None else open_fault
        resumes = 0
        while fault is not None and _is_resumable(fault, stream) and resumes < MAX_RESUMES:
            resumes += 1
            await self._back_off(resumes)
            if not await self._may_resume(request, stream.url):
                break
            resumed = await stream.resume()
            if resumed is None:
                self._metrics.resumed.labels("same_target").inc()
                fault = await reader.read()
            elif resumed.kind is FaultKind.UNKNOWN_ATTEMPT:
                break
        return fault

    async def _may_resume(self, request: AttemptRequest, url: str) -> bool:
        """Return whether the rest of an answer may be requested from an engine.

        Such a request counts against the engine's rate and backoff like any other call.
        """
        name = request.name
        if await self._router.may_send_again(url, request.rank, name.workspace):
            return True
        log_event("INFO", "attempt_not_resumed", request=name.request_id, url=url)
        return False

    async def _cancel(self, request: AttemptRequest, call: EngineCall) -> None:
        """Cancel an attempt at its engine, unless the engine accepts no further call now.

        In that case the engine ends the attempt by itself, some seconds after its stream
        has lost its reader.
        """
        name = request.name
        if await self._router.may_send_again(call.url, request.rank, name.workspace):
            await cancel_attempt(self._session, call)

    def _make_stream(self, call: EngineCall, limits: EngineLimits) -> EngineStream:
        return EngineStream(self._session, call, limits, self._metrics, self._clock, self._timers)

    def _limits_until(self, start_by: float) -> EngineLimits:
        left = max(0.0, start_by - self._clock.now())
        return self._limits._replace(
            first_chunk_timeout_s=min(left, self._limits.first_chunk_timeout_s)
        )

    async def _back_off(self, number: int) -> None:
        # Without jitter, all retries after one fault would reach another target at the same time.
        await self._clock.sleep(BACKOFF_S * number * self._random.uniform(0.5, 1.5))

    def _record_fault(self, run: Run, slot: Slot, fault: Fault) -> None:
        self._metrics.faults.labels(str(fault.kind)).inc()
        log_event(
            "WARNING",
            "attempt_failed",
            request=run.name.request_id,
            target=slot.target_id,
            fault=fault.kind,
            frames=len(run.frames),
            reason=fault.message,
        )


class _AttemptReader:
    """Append the chunks of one attempt to the run."""

    def __init__(
        self,
        run: Run,
        request: AttemptRequest,
        stream: EngineStream,
        clock: Clock,
        slot: Slot | None = None,
    ) -> None:
        self._run = run
        self._request = request
        self._stream = stream
        self._clock = clock
        self._slot = slot
        self.watched: WatchedRun | None = None
        self.first_chunk_at: float | None = None
        self.tokens = 0

    async def read(self) -> Fault | None:
        """Read until the end mark; return the fault if the stream fails before it."""
        while True:
            frame = await self._stream.next()
            if isinstance(frame, Fault):
                return frame
            if isinstance(frame, EndMark):
                return self._check_end()
            fault = self._deliver(frame)
            if fault is not None:
                return fault

    def _deliver(self, chunk: Chunk) -> Fault | None:
        run = self._run
        self.tokens += 1
        if self.first_chunk_at is None:
            self.first_chunk_at = self._clock.now()
            if self._slot is not None:
                self._slot.record_first_token(self.first_chunk_at)
            if self.watched is not None:
                # An engine may send the headers while the call is still queued there.
                self.watched.answered_at = self.first_chunk_at
        if self.watched is not None:
            self.watched.progress_at = self._clock.now()
        frame = frame_for_caller(chunk, run.name.request_id)
        if chunk.number < len(run.frames):
            return self._compare(chunk, frame)
        if chunk.number >= self._request.output_limit + _SPARE_CHUNKS:
            return Fault(FaultKind.REFUSED, "the engine exceeded its token limit")
        if run.frame_bytes + len(frame) > MAX_ANSWER_BYTES:
            return Fault(FaultKind.REFUSED, f"the answer is over {MAX_ANSWER_BYTES} bytes")
        run.append(frame, chunk.usage)
        return None

    def _compare(self, chunk: Chunk, frame: bytes) -> Fault | None:
        if delta_of(frame) == delta_of(self._run.frames[chunk.number]):
            return None
        # Continuing would join the beginning of one answer to the end of another. The
        # caller gets an explicit error instead.
        return Fault(
            FaultKind.REFUSED, "another attempt of the request returned a different answer"
        )

    def _check_end(self) -> Fault | None:
        if self._run.usage is None:
            return Fault(FaultKind.CUT, "the end mark came before the usage")
        return None


def _is_resumable(fault: Fault, stream: EngineStream) -> bool:
    if fault.kind is FaultKind.CUT:
        return True
    return fault.kind in (FaultKind.SILENT, FaultKind.CROSSED) and stream.next_index > 0


def _outcome(
    fault: Fault | None, cancelled: bool, reader: _AttemptReader, granted_at: float
) -> Outcome:
    first_token_s = None
    if reader.first_chunk_at is not None:
        first_token_s = reader.first_chunk_at - granted_at
    if cancelled or (fault is not None and fault.kind is FaultKind.REFUSED):
        kind = OutcomeKind.CANCELLED
    elif fault is None:
        kind = OutcomeKind.ANSWERED
    elif fault.kind is FaultKind.UNSENT:
        kind = OutcomeKind.FAILED_BEFORE
    else:
        kind = OutcomeKind.FAILED_AFTER
    return Outcome(kind, first_token_s, reader.tokens)


def _refusal(run: Run, last_fault: Fault | None, refused: Refusal | None) -> Refusal:
    message = last_fault.message if last_fault is not None else ""
    if run.frames:
        return Refusal(ErrorKind.ANSWER_CUT, message)
    if run.sent:
        return Refusal(ErrorKind.TARGET_FAILED, message)
    if refused is not None:
        return refused
    return Refusal(ErrorKind.NOT_RUN, message)


def _deadline_refusal(run: Run) -> Refusal:
    message = "the deadline passed before the answer was complete"
    if run.frames:
        return Refusal(ErrorKind.ANSWER_CUT, message)
    if run.sent:
        return Refusal(ErrorKind.TARGET_FAILED, message)
    return Refusal(ErrorKind.DEADLINE_PASSED, message)
