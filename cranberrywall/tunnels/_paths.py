"""Connections to targets on the first path that works: directly, or through a neighbour."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Clock
from cranberrywall.targets import (
    ConnectDirectly,
    ConnectionRequest,
    MakeProtocol,
    TargetIncarnation,
)
from cranberrywall.tunnels._client import TargetUnreachableError, TunnelClient
from cranberrywall.tunnels._direct_paths import DirectPaths, Way

DIRECT_TIMEOUT_S = 0.04
"""Time after which a neighbour is asked to connect as well, in seconds."""

MAX_RACING = 2
"""Maximum number of connections at a time for which neighbours are asked although their targets are
not bypassed: if many connections are slow, the cause is more likely a busy host or target."""

UNREACHABLE_RETENTION_S = 1.0
"""Neighbours that could not connect to a target are not asked again for this time, in seconds."""

UNREACHED_RETENTION_S = 0.25
"""The same if the neighbours did not try, because they connect to no target, in seconds."""

HUNG_CHECK_INTERVAL_S = 0.1
"""Interval at which open connections are checked while new ones hang, in seconds."""

OnPartition = Callable[[float], None]
"""Handle a partition at a time, in monotonic seconds."""


class Paths:
    """Connect to targets; see ``TargetPaths``."""

    def __init__(self, direct: DirectPaths, tunnels: TunnelClient, clock: Clock) -> None:
        self._direct = direct
        self._tunnels = tunnels
        self._clock = clock
        self._racing = 0
        self._unreachable_until_by_target: dict[str, float] = {}
        self._connections = {"direct": 0, "neighbour": 0, "failed": 0}
        self._on_start: list[OnPartition] = []
        self._on_hung: list[OnPartition] = []
        self._hung_check: asyncio.Task[None] | None = None
        self._probes: set[asyncio.Task[ResponseHandler]] = set()

    def watch_start(self, on_start: OnPartition) -> None:
        """Call ``on_start`` with the time at which this host counts as partitioned."""
        self._on_start.append(on_start)

    def watch_hung(self, on_hung: OnPartition) -> None:
        """Call ``on_hung`` with the current time, often while new connections hang."""
        self._on_hung.append(on_hung)

    def may_reuse_connection(self, target: str, now: float) -> bool:
        """Return whether an idle direct connection may be used for another request."""
        return self._direct.may_reuse_connection(target, now)

    def record_received(self, now: float) -> None:
        """Record that a target sent something on a direct connection."""
        self._direct.record_received(now)

    def record_unanswered(self, target: str, waited_s: float, now: float) -> None:
        """Record that a direct connection with a request broke before the target sent anything."""
        was_partitioned = self._direct.is_partitioned(now)
        self._direct.record_unanswered(target, waited_s, now)
        self._report_partition(was_partitioned, now)

    def is_unresponsive(self, target: str, received_at: float, now: float) -> bool:
        """Return whether a direct connection is lost on which nothing arrived since a time."""
        return self._direct.is_unresponsive(target, received_at, now)

    async def connect(
        self,
        request: ConnectionRequest,
        connect_directly: ConnectDirectly,
        make_protocol: MakeProtocol,
    ) -> ResponseHandler:
        """Return the protocol of a new connection to the target of ``request``.

        Raises ``OSError`` or ``aiohttp.ClientError`` if there is none on any path.
        """
        target = request.target_incarnation.target
        way = self._direct.choose_way(target, request.may_repeat, self._clock.now())
        try:
            if way is Way.NEIGHBOUR:
                return await self._connect_through_neighbour(request, make_protocol, "bypassed")
            delay_s = 0.0 if way is Way.BOTH else DIRECT_TIMEOUT_S
            return await self._race(request, connect_directly, make_protocol, delay_s)
        except (OSError, aiohttp.ClientError):
            self._connections["failed"] += 1
            raise

    async def _race(
        self,
        request: ConnectionRequest,
        connect_directly: ConnectDirectly,
        make_protocol: MakeProtocol,
        delay_s: float,
    ) -> ResponseHandler:
        """Connect directly, and through a neighbour as well if that takes longer or fails."""
        target = request.target_incarnation.target
        direct = _start(connect_directly())
        contenders = [direct]
        try:
            await _wait_until_done(direct, delay_s)
            if delay_s and not _has_connected(direct):
                self._direct.record_failed(target, self._clock.now())
            if not _has_connected(direct) and self._may_ask_neighbours(target, self._clock.now()):
                reason = _reason_for(direct)
                tunnel = self._connect_through_neighbour(request, make_protocol, reason)
                contenders.append(_start(tunnel))
                self._racing += 1
            try:
                winner = await _first_connected(contenders)
            finally:
                self._racing -= len(contenders) - 1
        except BaseException:
            for contender in contenders:
                _discard(contender)
            raise
        if winner is direct:
            self._record_connected(target, self._clock.now())
            for contender in contenders[1:]:
                _discard(contender)
        else:
            # The late or failed direct connection shows whether the target can be reached.
            is_hung = not direct.done()
            self._record_bypassed(target, is_hung, self._clock.now())
            if is_hung:
                self._probes.add(direct)
                direct.add_done_callback(partial(self._record_probe, target))
        return winner.result()

    async def _connect_through_neighbour(
        self, request: ConnectionRequest, make_protocol: MakeProtocol, reason: str
    ) -> ResponseHandler:
        target = request.target_incarnation.target
        try:
            protocol = await self._tunnels.connect(request, make_protocol, reason)
        except OSError as error:
            is_target = isinstance(error, TargetUnreachableError)
            retention_s = UNREACHABLE_RETENTION_S if is_target else UNREACHED_RETENTION_S
            self._unreachable_until_by_target[target] = self._clock.now() + retention_s
            raise
        self._unreachable_until_by_target.pop(target, None)
        self._connections["neighbour"] += 1
        return protocol

    def _record_probe(self, target: str, direct: "asyncio.Task[ResponseHandler]") -> None:
        self._probes.discard(direct)
        if direct.cancelled():
            return
        if direct.exception() is None:
            self._record_connected(target, self._clock.now())
            direct.result().close()
        elif not isinstance(direct.exception(), TimeoutError):
            self._record_bypassed(target, is_hung=False, now=self._clock.now())

    async def is_reached_by_neighbour(self, incarnation: TargetIncarnation) -> bool:
        """Return whether a neighbour can connect to a target that this host cannot connect to."""
        if not await self._tunnels.reaches(incarnation):
            return False
        self._record_bypassed(incarnation.target, is_hung=False, now=self._clock.now())
        return True

    def close(self) -> None:
        """Stop the probes, and the checks of open connections."""
        for probe in self._probes:
            probe.cancel()
        if self._hung_check is not None:
            self._hung_check.cancel()

    def export(self, metrics: Metrics) -> None:
        """Register the metrics of new connections to targets, by path."""
        metrics.counters_of(
            "target_connections",
            "New connections to targets, by path.",
            "path",
            lambda: self._connections,
        )
        metrics.gauge_of(
            "targets_partitioned",
            "Whether this host counts as partitioned from all targets.",
            lambda: self._direct.is_partitioned(self._clock.now()),
        )

    def state(self) -> dict[str, Any]:
        """Return the evidence and counts for the state dump."""
        return {**self._direct.state(self._clock.now()), "connections": dict(self._connections)}

    def _may_ask_neighbours(self, target: str, now: float) -> bool:
        if now < self._unreachable_until_by_target.get(target, float("-inf")):
            return False
        return self._direct.is_bypassed(target, now) or self._racing < MAX_RACING

    def _record_connected(self, target: str, now: float) -> None:
        was_partitioned = self._direct.is_partitioned(now)
        self._direct.record_connected(target, now)
        self._connections["direct"] += 1
        if was_partitioned and not self._direct.is_partitioned(now):
            log_event("INFO", "partition_from_targets_ended", target=target)

    def _record_bypassed(self, target: str, is_hung: bool, now: float) -> None:
        was_partitioned = self._direct.is_partitioned(now)
        was_bypassed = self._direct.is_bypassed(target, now)
        self._direct.record_bypassed(target, is_hung, now)
        if not was_bypassed:
            log_event("WARNING", "target_bypassed", target=target, is_hung=is_hung)
        self._report_partition(was_partitioned, now)
        if is_hung and (self._hung_check is None or self._hung_check.done()):
            self._hung_check = asyncio.get_running_loop().create_task(self._check_hung())

    def _report_partition(self, was_partitioned: bool, now: float) -> None:
        if was_partitioned or not self._direct.is_partitioned(now):
            return
        log_event("WARNING", "partitioned_from_targets", evidence=self._direct.state(now))
        for on_start in self._on_start:
            on_start(now)

    async def _check_hung(self) -> None:
        while self._direct.has_hung(self._clock.now()):
            for on_hung in self._on_hung:
                on_hung(self._clock.now())
            await self._clock.sleep(HUNG_CHECK_INTERVAL_S)


def _start(connecting: Awaitable[ResponseHandler]) -> "asyncio.Task[ResponseHandler]":
    async def connect() -> ResponseHandler:
        return await connecting

    return asyncio.get_running_loop().create_task(connect())


async def _wait_until_done(task: "asyncio.Task[ResponseHandler]", timeout: float) -> None:
    if timeout:
        await asyncio.wait((task,), timeout=timeout)
        # If this process was stalled, the timeout and the connection are due at the same time.
        await asyncio.sleep(0)


def _has_connected(task: "asyncio.Task[ResponseHandler]") -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


async def _first_connected(
    contenders: Sequence["asyncio.Task[ResponseHandler]"],
) -> "asyncio.Task[ResponseHandler]":
    """Return the task that connects first; raise the first task's error if all fail."""
    pending = set(contenders)
    while True:
        for contender in contenders:
            if _has_connected(contender):
                return contender
        if not pending:
            await contenders[0]
        _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)


def _discard(task: "asyncio.Task[ResponseHandler]") -> None:
    """Cancel a task that is no longer awaited; close its connection if it has one."""
    task.cancel()
    task.add_done_callback(_close_connection)


def _close_connection(task: "asyncio.Task[ResponseHandler]") -> None:
    if _has_connected(task):
        task.result().close()


def _reason_for(direct: "asyncio.Task[ResponseHandler]") -> str:
    if not direct.done():
        return "no direct connection yet"
    return str(direct.exception())
