"""Checks whether the process of a target still runs.

If a process is killed, its kernel closes its connections in order, behind the last byte that the
process wrote. An answer whose framing does not mark its end then looks complete.
"""

import asyncio
from enum import StrEnum
from typing import NamedTuple

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from cranberrywall.forwarding._client import UNSENT_ERRORS, ConnectionLostError
from cranberrywall.forwarding._interfaces import Dialect
from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Clock
from cranberrywall.targets import (
    ABSENT,
    ConnectionRequest,
    DecimalField,
    TargetIncarnation,
    connecting_for,
)

CHECK_TIMEOUT_S = 0.5
"""Time that a target has to answer a check, in seconds."""

CHECK_INTERVAL_S = 0.02
"""Minimum time between two checks of a target, in seconds. All answers that end meanwhile share
the next check."""

RESET_RETRY_DELAY_S = 0.03
"""Time after which a check whose connection broke is repeated, in seconds.

A target that has too many connections resets some; one that has ended refuses them by then."""

LATE_LOOP_S = 0.1
"""Delay of this host's own loop that makes a check without an answer void, in seconds."""


class TargetState(StrEnum):
    """What a check shows.

    ``RUNNING``: the target answered. ``ENDED``: it accepts no connection, or another target has its
    address. ``UNKNOWN``: a connection was accepted, and no answer came in time.
    """

    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"


class CheckResult(NamedTuple):
    """State of a target, and the backoff that it asked for in its answer, if it did."""

    state: TargetState
    backoff: DecimalField = ABSENT


class CheckedTarget(NamedTuple):
    """Target to check; ``health_path`` is where it answers questions about its health."""

    incarnation: TargetIncarnation
    url: str
    health_path: str


class TargetChecks:
    """Check targets on new connections."""

    def __init__(
        self, session: aiohttp.ClientSession, dialect: Dialect, clock: Clock, metrics: Metrics
    ) -> None:
        """``session`` must not reuse connections."""
        self._session = session
        self._dialect = dialect
        self._clock = clock
        self._next_by_target: dict[CheckedTarget, asyncio.Task[CheckResult]] = {}
        self._next_at_by_target: dict[CheckedTarget, float] = {}
        self._tasks: set[asyncio.Task[CheckResult]] = set()
        self._checks = metrics.counter(
            "target_checks",
            "Checks whether a target still runs after an answer whose end nothing marks.",
            ["state"],
        )

    async def check(self, target: CheckedTarget) -> CheckResult:
        """Return the result of a check that begins after this call.

        The answer to an earlier one may have been sent before the target ended. A later one may be
        answered by a process that started since.
        """
        task = self._next_by_target.get(target)
        if task is None:
            task = asyncio.create_task(self._check_next(target))
            self._next_by_target[target] = task
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    def close(self) -> None:
        """Stop the checks in progress."""
        for task in self._tasks:
            task.cancel()

    async def _check_next(self, target: CheckedTarget) -> CheckResult:
        await self._wait_for_turn(target)
        del self._next_by_target[target]
        result = await self._ask(target)
        self._checks.labels(result.state).inc()
        return result

    async def _wait_for_turn(self, target: CheckedTarget) -> None:
        now = self._clock.now()
        delay_s = self._next_at_by_target.get(target, now) - now
        if delay_s > 0.0:
            await self._clock.sleep(delay_s)
        now = self._clock.now()
        for other in [other for other, at in self._next_at_by_target.items() if at <= now]:
            del self._next_at_by_target[other]
        self._next_at_by_target[target] = now + CHECK_INTERVAL_S

    async def _ask(self, target: CheckedTarget) -> CheckResult:
        started_at = self._clock.now()
        try:
            result = await self._send_twice(target, started_at)
            reason = ""
        except UNSENT_ERRORS as error:
            result, reason = CheckResult(TargetState.ENDED), str(error)
        except (ConnectionLostError, aiohttp.ClientError, ConnectionError, TimeoutError) as error:
            result = CheckResult(TargetState.UNKNOWN)
            reason = f"{type(error).__name__}: {error}"
        log_event(
            "INFO",
            "target_checked",
            target=target.incarnation.target,
            state=result.state,
            seconds=self._clock.now() - started_at,
            reason=reason,
        )
        return result

    async def _send_twice(self, target: CheckedTarget, started_at: float) -> CheckResult:
        """Send the question, and once more if the first one shows nothing about the target."""
        try:
            return await self._send(target)
        except UNSENT_ERRORS:
            raise
        except TimeoutError:
            if self._clock.now() - started_at < CHECK_TIMEOUT_S + LATE_LOOP_S:
                raise
        except (ConnectionLostError, aiohttp.ClientError, ConnectionError):
            await self._clock.sleep(RESET_RETRY_DELAY_S)
        return await self._send(target)

    async def _send(self, target: CheckedTarget) -> CheckResult:
        target_id = target.incarnation.target
        # A target that leaves is offered no more, but it still ends its answers.
        connection = ConnectionRequest(target.incarnation, "", lambda: True, may_repeat=True)
        with connecting_for(connection):
            response = await self._session.get(
                URL(f"{target.url}/{target.health_path.removeprefix('/')}", encoded=True),
                headers=CIMultiDict(self._dialect.check_headers(target_id)),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S),
            )
        headers = tuple((str(name), value) for name, value in response.headers.items())
        response.close()
        is_target = self._dialect.may_be_from(target_id, response.status, headers)
        if not is_target:
            return CheckResult(TargetState.ENDED)
        return CheckResult(
            TargetState.RUNNING, self._dialect.read_head(response.status, headers).backoff
        )
