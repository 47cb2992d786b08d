"""Runs of chat completions at this host."""

import asyncio
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller
from cranberrywall.observability import log_event
from cranberrywall.requests._background import BackgroundTasks
from cranberrywall.requests._chat_runner import ChatRequest, ChatRunner
from cranberrywall.requests._following import follow
from cranberrywall.requests._intents import reused_key_refusal
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.requests._registry import NO_ATTEMPT, Registry
from cranberrywall.requests._retention import AnswerRetention, RetentionLimits
from cranberrywall.requests._run import Run, RunState
from cranberrywall.requests.messages import AttemptLocation, RunKey
from cranberrywall.runtime import Clock


class RunLimits(NamedTuple):
    """Limits on runs without callers and on retained answers.

    A named run whose callers have all disconnected continues for ``linger_s`` seconds, so
    that a retry can join it. A run that was answered is retained to answer retries.
    """

    linger_s: float = 3.0
    retention: RetentionLimits = RetentionLimits()


class ChatRuns:
    """Start runs, let retries join them, and cancel runs without callers."""

    def __init__(
        self,
        runner: ChatRunner,
        registry: Registry | None,
        caller: Caller | None,
        clock: Clock,
        metrics: RequestMetrics,
        limits: RunLimits,
        background: BackgroundTasks,
    ) -> None:
        """``registry`` and ``caller`` are ``None`` for a standalone host."""
        self._runner = runner
        self._registry = registry
        self._caller = caller
        self._clock = clock
        self._metrics = metrics
        self._limits = limits
        self._retention = AnswerRetention(limits.retention)
        self._run_by_key: dict[tuple[str, str], Run] = {}
        self._task_by_run: dict[Run, asyncio.Task[None]] = {}
        self._background = background

    @property
    def running(self) -> int:
        """Return the number of runs in progress."""
        return len(self._task_by_run)

    async def start_or_join(self, request: ChatRequest, now: float) -> Result[Run, Refusal]:
        """Return a run of ``request``; the caller must pass it to ``leave`` at the end."""
        for key in self._retention.pop_expired(now):
            del self._run_by_key[key]
        existing = self._run_by_key.get(request.name.key)
        if existing is not None:
            return self._join(existing, request)
        run = Run(request.name, request.fingerprint, now)
        run.listeners = 1
        if request.name.named_by_caller:
            self._run_by_key[request.name.key] = run
        self._task_by_run[run] = asyncio.create_task(self._execute(run, request))
        return Ok(run)

    def leave(self, run: Run) -> None:
        """Stop listening to a run; cancel the run if it has no other listener.

        A named run is cancelled only if no retry joins it within ``linger_s``.
        """
        run.listeners -= 1
        if run.listeners > 0 or run.state is not RunState.RUNNING:
            return
        if run.name.named_by_caller:
            self._background.spawn(self._cancel_unless_joined(run))
        else:
            self._cancel(run)

    async def wait_idle(self) -> None:
        """Return once no run is in progress."""
        while self._task_by_run:
            await asyncio.wait(list(self._task_by_run.values()))

    def abort(self) -> None:
        """Cancel all runs."""
        for task in list(self._task_by_run.values()):
            task.cancel()

    def _join(self, run: Run, request: ChatRequest) -> Result[Run, Refusal]:
        if run.fingerprint != request.fingerprint:
            return Err(reused_key_refusal())
        run.listeners += 1
        self._metrics.joined.labels("here").inc()
        return Ok(run)

    async def _cancel_unless_joined(self, run: Run) -> None:
        left_at = self._clock.now()
        cancel_at = left_at + self._limits.linger_s
        while self._clock.now() < cancel_at and run.state is RunState.RUNNING:
            await self._clock.sleep(cancel_at - self._clock.now())
            cancel_at = max(cancel_at, run.followed_until)
        if run.listeners == 0:
            self._cancel(run)

    def _cancel(self, run: Run) -> None:
        task = self._task_by_run.get(run)
        if task is not None:
            task.cancel()

    async def _execute(self, run: Run, request: ChatRequest) -> None:
        self._metrics.running.labels().inc()
        try:
            if self._registry is not None and run.name.named_by_caller:
                await self._run_or_follow(run, request, self._registry)
            else:
                await self._runner.run(run, request, NO_ATTEMPT, _ignore_attempt)
        except asyncio.CancelledError:
            run.fail(Refusal(ErrorKind.CANCELLED, "the caller disconnected"), self._clock.now())
        except Exception as error:
            log_event("ERROR", "run_failed", error, request=run.name.request_id)
            run.fail(Refusal(ErrorKind.INTERNAL, "the run failed"), self._clock.now())
        finally:
            self._task_by_run.pop(run, None)
            self._retain_or_remove(run)
            self._metrics.running.labels().dec()

    async def _run_or_follow(self, run: Run, request: ChatRequest, registry: Registry) -> None:
        key = RunKey(*request.name.key)
        claimed = await registry.claim(key, request.fingerprint)
        while claimed.owner != registry.own:
            if claimed.fingerprint != request.fingerprint:
                run.fail(reused_key_refusal(), self._clock.now())
                return
            if await self._follow(run, key, claimed.owner.links):
                return
            # The owner failed, or the registration is stale. If several hosts detect this,
            # the registry makes one of them the new owner.
            claimed = await registry.claim(key, request.fingerprint, claimed.owner)
        await self._run_as_owner(run, request, registry, claimed.latest_attempt)

    async def _follow(self, run: Run, key: RunKey, links: str) -> bool:
        assert self._caller is not None
        run.is_followed = True
        self._metrics.joined.labels("elsewhere").inc()
        followed = await follow(run, key, links, self._caller, self._clock)
        run.is_followed = False
        return followed

    async def _run_as_owner(
        self, run: Run, request: ChatRequest, registry: Registry, prior_attempt: AttemptLocation
    ) -> None:
        key = RunKey(*request.name.key)
        try:
            await self._runner.run(
                run,
                request,
                prior_attempt,
                lambda attempt: registry.report_attempt(key, attempt),
            )
        finally:
            if run.state is not RunState.ANSWERED:
                registry.report_attempt(key, NO_ATTEMPT, failed=True)

    def find(self, key: RunKey) -> Run | None:
        """Return the run of a named request at this host."""
        return self._run_by_key.get((key.workspace, key.request_id))

    def _retain_or_remove(self, run: Run) -> None:
        if not run.name.named_by_caller:
            return
        if run.state is RunState.ANSWERED:
            self._retention.add(run.name.key, run.frame_bytes, self._clock.now())
        else:
            # A refusal is not an answer to the request. A retry starts a new run.
            self._run_by_key.pop(run.name.key, None)


def _ignore_attempt(attempt: AttemptLocation) -> None:
    """Ignore the attempt: no retry can join the run of a request without a caller's id."""
