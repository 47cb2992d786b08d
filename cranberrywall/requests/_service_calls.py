"""Calls to services; requests with the same id at this host share one run."""

import asyncio
from typing import NamedTuple

from result import Err, Ok

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.requests._background import BackgroundTasks
from cranberrywall.requests._identity import RequestName
from cranberrywall.requests._intents import reused_key_refusal
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.requests._retention import AnswerRetention, RetentionLimits
from cranberrywall.requests._service_runner import (
    CallResult,
    SendState,
    ServiceRequest,
    ServiceRunner,
)
from cranberrywall.runtime import Clock

_REFUSAL_GRACE_PERIOD_S = 0.5
"""After its deadline, a call that was not sent has this time to return its own refusal."""


class ServiceLimits(NamedTuple):
    """Limits on calls without callers and on retained answers.

    A named call whose callers have all disconnected continues for ``linger_s`` seconds. Its
    answer is retained for retries.
    """

    linger_s: float = 3.0
    retention: RetentionLimits = RetentionLimits()


class _SharedCall:
    def __init__(self, request: ServiceRequest) -> None:
        self.request = request
        self.send_state = SendState()
        self.task: asyncio.Task[CallResult] | None = None
        self.waiters = 0


class ServiceCalls:
    """Start calls to services, and let retries join them."""

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
        self._retention = AnswerRetention(limits.retention)
        self._background = background
        self._call_by_key: dict[tuple[str, str], _SharedCall] = {}
        self._tasks: set[asyncio.Task[CallResult]] = set()

    @property
    def running(self) -> int:
        """Return the number of calls in progress."""
        return len(self._tasks)

    async def call(self, request: ServiceRequest, now: float) -> CallResult:
        """Return the answer to ``request``; start its run, or join its run at this host."""
        for key in self._retention.pop_expired(now):
            del self._call_by_key[key]
        shared = self._call_by_key.get(request.name.key)
        if shared is None:
            shared = self._start(request)
        elif shared.request.fingerprint != request.fingerprint:
            return Err(reused_key_refusal())
        else:
            self._metrics.joined.labels("here").inc()
        return await self._wait(shared, request)

    async def wait_idle(self) -> None:
        """Return once no call is in progress."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def abort(self) -> None:
        """Cancel all calls."""
        for task in list(self._tasks):
            task.cancel()

    def _start(self, request: ServiceRequest) -> _SharedCall:
        shared = _SharedCall(request)
        shared.task = asyncio.create_task(self._run(shared))
        self._tasks.add(shared.task)
        shared.task.add_done_callback(self._tasks.discard)
        if request.name.named_by_caller:
            self._call_by_key[request.name.key] = shared
        return shared

    async def _run(self, shared: _SharedCall) -> CallResult:
        result: CallResult = Err(Refusal(ErrorKind.CANCELLED, "the caller disconnected"))
        try:
            result = await self._runner.run(shared.request, shared.send_state)
        except Exception as error:
            log_event("ERROR", "call_failed", error, request=shared.request.name.request_id)
            result = Err(Refusal(ErrorKind.INTERNAL, "the call failed"))
        finally:
            self._retain_or_remove(shared.request.name, result)
        return result

    def _retain_or_remove(self, name: RequestName, result: CallResult) -> None:
        if not name.named_by_caller:
            return
        if isinstance(result, Ok):
            self._retention.add(name.key, len(result.ok_value.body), self._clock.now())
        else:
            # A refusal is not an answer to the call. The next request with this id starts a
            # new run.
            self._call_by_key.pop(name.key, None)

    async def _wait(self, shared: _SharedCall, request: ServiceRequest) -> CallResult:
        task = shared.task
        assert task is not None
        shared.waiters += 1
        try:
            await asyncio.wait({task}, timeout=request.deadline - self._clock.now())
            if not task.done() and not shared.send_state.sent:
                await asyncio.wait({task}, timeout=_REFUSAL_GRACE_PERIOD_S)
        finally:
            shared.waiters -= 1
            if not task.done() and shared.waiters == 0:
                self._abandon(shared)
        if task.done() and not task.cancelled():
            return task.result()
        return Err(
            Refusal(ErrorKind.RUNNING, "the call is still running; its answer will be retained")
        )

    def _abandon(self, shared: _SharedCall) -> None:
        if shared.request.name.named_by_caller:
            self._background.spawn(self._cancel_unless_joined(shared))
        else:
            self._cancel(shared)

    async def _cancel_unless_joined(self, shared: _SharedCall) -> None:
        await self._clock.sleep(self._limits.linger_s)
        if shared.waiters == 0:
            self._cancel(shared)

    def _cancel(self, shared: _SharedCall) -> None:
        # A call that must run at most once is not cancelled after it was sent. Cancelling it
        # would discard an answer in flight and make the outcome unknown.
        if shared.task is not None and (shared.request.repeatable or not shared.send_state.sent):
            shared.task.cancel()
