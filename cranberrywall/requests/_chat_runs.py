"""Keep the runs of chat completions: start them, let retries join, end them."""

import asyncio
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller
from cranberrywall.observability import log_event
from cranberrywall.requests._background import BackgroundTasks
from cranberrywall.requests._chat_runner import ChatRequest, ChatRunner
from cranberrywall.requests._following import follow
from cranberrywall.requests._intents import other_request
from cranberrywall.requests._kept import KeepLimits, KeptAnswers
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.requests._registry import NOTHING_ATTEMPTED, Registry
from cranberrywall.requests._run import Run, RunState
from cranberrywall.requests.messages import Attempted, RunKey
from cranberrywall.runtime import Clock


class RunLimits(NamedTuple):
    """Limit what is kept of runs; seconds.

    A run whose callers all left goes on for ``linger_s`` where the caller named it, so that
    a retry can join; a finished one is kept to answer retries.
    """

    linger_s: float = 3.0
    keep: KeepLimits = KeepLimits()


class ChatRuns:
    """Start runs, let retries join them, and end them."""

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
        """``registry`` and ``caller`` are ``None`` for a host that stands alone."""
        self._runner = runner
        self._registry = registry
        self._caller = caller
        self._clock = clock
        self._metrics = metrics
        self._limits = limits
        self._kept = KeptAnswers(limits.keep)
        self._run_by_key: dict[tuple[str, str], Run] = {}
        self._task_by_run: dict[Run, asyncio.Task[None]] = {}
        self._background = background

    @property
    def running(self) -> int:
        """Return how many runs are in progress."""
        return len(self._task_by_run)

    async def start_or_join(self, request: ChatRequest, now: float) -> Result[Run, Refusal]:
        """Return a run of ``request``, which the caller must ``leave``."""
        for key in self._kept.take_old(now):
            del self._run_by_key[key]
        known = self._run_by_key.get(request.name.key)
        if known is not None:
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
        left_at = self._clock.now()
        until = left_at + self._limits.linger_s
        while self._clock.now() < until and run.state is RunState.RUNNING:
            await self._clock.sleep(until - self._clock.now())
            until = max(until, run.followed_until)
        if run.listeners == 0:
            self._cancel(run)

    def _cancel(self, run: Run) -> None:
        task = self._task_by_run.get(run)
        if task is not None:
            task.cancel()

    async def _drive(self, run: Run, request: ChatRequest) -> None:
        self._metrics.running.labels().inc()
        try:
            if self._registry is not None and run.name.named_by_caller:
                await self._run_or_follow(run, request, self._registry)
            else:
                await self._runner.run(run, request, NOTHING_ATTEMPTED, _ignore)
        except asyncio.CancelledError:
            run.fail(Refusal(ErrorKind.CANCELLED, "the caller left"), self._clock.now())
        except Exception as error:
            log_event("ERROR", "run_failed", error, request=run.name.request_id)
            run.fail(Refusal(ErrorKind.INTERNAL, "the run failed"), self._clock.now())
        finally:
            self._task_by_run.pop(run, None)
            self._keep_or_forget(run)
            self._metrics.running.labels().dec()

    async def _run_or_follow(self, run: Run, request: ChatRequest, registry: Registry) -> None:
        key = RunKey(*request.name.key)
        claimed = await registry.claim(key, request.fingerprint)
        while claimed.owner != registry.own:
            if claimed.fingerprint != request.fingerprint:
                run.fail(other_request(), self._clock.now())
                return
            if await self._follow(run, key, claimed.owner.links):
                return
            # The owner is lost, or the registration is stale. Of several hosts that
            # find this out, the registry lets one take the run over.
            claimed = await registry.claim(key, request.fingerprint, claimed.owner)
        await self._run_as_owner(run, request, registry, claimed.attempted)

    async def _follow(self, run: Run, key: RunKey, links: str) -> bool:
        assert self._caller is not None
        run.is_followed = True
        self._metrics.joined.labels("elsewhere").inc()
        followed = await follow(run, key, links, self._caller, self._clock)
        run.is_followed = False
        return followed

    async def _run_as_owner(
        self, run: Run, request: ChatRequest, registry: Registry, begun: Attempted
    ) -> None:
        key = RunKey(*request.name.key)
        try:
            await self._runner.run(
                run, request, begun, lambda attempted: registry.note(key, attempted)
            )
        finally:
            if run.state is not RunState.ANSWERED:
                registry.note(key, NOTHING_ATTEMPTED, failed=True)

    def find(self, key: RunKey) -> Run | None:
        """Return the run of a named request at this host."""
        return self._run_by_key.get((key.workspace, key.request_id))

    def _keep_or_forget(self, run: Run) -> None:
        if not run.name.named_by_caller:
            return
        if run.state is RunState.ANSWERED:
            self._kept.add(run.name.key, run.bytes_held, self._clock.now())
        else:
            # A refusal is not the request's answer: its retry runs afresh.
            self._run_by_key.pop(run.name.key, None)


def _ignore(attempted: Attempted) -> None:
    """Tell nobody: the request has no name by which a retry could find its run."""
