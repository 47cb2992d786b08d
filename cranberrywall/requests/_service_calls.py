"""Let arrivals of one named call, at this host, share one run of it."""

import asyncio
from typing import NamedTuple

from result import Err, Ok

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.requests._background import BackgroundTasks
from cranberrywall.requests._identity import RequestName
from cranberrywall.requests._intents import other_request
from cranberrywall.requests._kept import KeepLimits, KeptAnswers
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.requests._service_runner import (
    CallResult,
    Progress,
    ServiceRequest,
    ServiceRunner,
)
from cranberrywall.runtime import Clock

_REFUSAL_GRACE_S = 0.5
"""How long after its deadline a call that was not sent is given to refuse by itself."""


class ServiceLimits(NamedTuple):
    """Limit what is kept of calls; seconds.

    A call whose callers all left goes on for ``linger_s``; its answer is kept for retries.
    """

    linger_s: float = 3.0
    keep: KeepLimits = KeepLimits()


class _NamedCall:
    def __init__(self, request: ServiceRequest) -> None:
        self.request = request
        self.progress = Progress()
        self.task: asyncio.Task[CallResult] | None = None
        self.waiters = 0


class ServiceCalls:
    """Make calls to services for callers."""

    def __init__(
        self,
        runner: ServiceRunner,
        clock: Clock,
        metrics: RequestMetrics,
        limits: ServiceLimits,
        background: BackgroundTasks,
    ) -> None:
        self._runner = runner
        self._clock = clock
        self._metrics = metrics
        self._limits = limits
        self._kept = KeptAnswers(limits.keep)
        self._background = background
        self._call_by_key: dict[tuple[str, str], _NamedCall] = {}
        self._tasks: set[asyncio.Task[CallResult]] = set()

    @property
    def running(self) -> int:
        """Return how many calls are in progress."""
        return len(self._tasks)

    async def call(self, request: ServiceRequest, now: float) -> CallResult:
        """Return the answer to ``request``, running it or joining its run here."""
        for key in self._kept.take_old(now):
            del self._call_by_key[key]
        named = self._call_by_key.get(request.name.key)
        if named is None:
            named = self._start(request)
        elif named.request.fingerprint != request.fingerprint:
            return Err(other_request())
        else:
            self._metrics.joined.labels("here").inc()
        return await self._wait(named, request)

    async def wait_idle(self) -> None:
        """Return once no call is in progress."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def abort(self) -> None:
        """Cancel all calls."""
        for task in list(self._tasks):
            task.cancel()

    def _start(self, request: ServiceRequest) -> _NamedCall:
        named = _NamedCall(request)
        named.task = asyncio.create_task(self._run(named))
        self._tasks.add(named.task)
        named.task.add_done_callback(self._tasks.discard)
        if request.name.named_by_caller:
            self._call_by_key[request.name.key] = named
        return named

    async def _run(self, named: _NamedCall) -> CallResult:
        result: CallResult = Err(Refusal(ErrorKind.CANCELLED, "the caller left"))
        try:
            result = await self._runner.run(named.request, named.progress)
        except Exception as error:
            log_event("ERROR", "call_failed", error, request=named.request.name.request_id)
            result = Err(Refusal(ErrorKind.INTERNAL, "the call failed"))
        finally:
            self._keep_or_forget(named.request.name, result)
        return result

    def _keep_or_forget(self, name: RequestName, result: CallResult) -> None:
        if not name.named_by_caller:
            return
        if isinstance(result, Ok):
            self._kept.add(name.key, len(result.ok_value.body), self._clock.now())
        else:
            # A refusal is not the call's answer: the next arrival asks afresh.
            self._call_by_key.pop(name.key, None)

    async def _wait(self, named: _NamedCall, request: ServiceRequest) -> CallResult:
        task = named.task
        assert task is not None
        named.waiters += 1
        try:
            await asyncio.wait({task}, timeout=request.deadline - self._clock.now())
            if not task.done() and not named.progress.sent:
                await asyncio.wait({task}, timeout=_REFUSAL_GRACE_S)
        finally:
            named.waiters -= 1
            if not task.done() and named.waiters == 0:
                self._abandon(named)
        if task.done() and not task.cancelled():
            return task.result()
        return Err(Refusal(ErrorKind.RUNNING, "the call still runs; its answer is kept"))

    def _abandon(self, named: _NamedCall) -> None:
        if named.request.name.named_by_caller:
            self._background.spawn(self._cancel_unless_joined(named))
        else:
            self._cancel(named)

    async def _cancel_unless_joined(self, named: _NamedCall) -> None:
        await self._clock.sleep(self._limits.linger_s)
        if named.waiters == 0:
            self._cancel(named)

    def _cancel(self, named: _NamedCall) -> None:
        # A call that may run at most once and was sent is left alone: cancelling it
        # would turn an answer that is on its way into an unknown outcome.
        if named.task is not None and (named.request.repeatable or not named.progress.sent):
            named.task.cancel()
