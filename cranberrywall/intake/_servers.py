"""HTTP servers of a process, whose connections share its memory."""

from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from cranberrywall.intake._connection import BoundedConnection
from cranberrywall.intake._listener import MAX_PENDING, make_listening_socket
from cranberrywall.intake._memory import IntakeLimits, IntakeMemory, make_limits
from cranberrywall.observability import EventLimiter, Metrics
from cranberrywall.runtime import Clock, resident_bytes


class _BoundedServer(web.Server):
    """HTTP server whose connections share an ``Intake``."""

    def __init__(self, intake: "Intake", handler: Any, **options: Any) -> None:
        super().__init__(handler, **options)
        self._intake = intake

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        memory, events = self._intake.memory, self._intake.events
        return BoundedConnection(memory, events, self, loop=self._loop, **self._kwargs)


class _BoundedAppRunner(web.AppRunner):
    """Runner of an application whose connections share an ``Intake``."""

    def __init__(self, intake: "Intake", app: web.Application, **options: Any) -> None:
        super().__init__(app, **options)
        self._intake = intake

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return _BoundedServer(
            self._intake,
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            loop=server._loop,
            **server._kwargs,
        )


class ApplicationListener:
    """Listener of one application at one address."""

    def __init__(
        self, intake: "Intake", app: web.Application, address: str, shutdown_s: float
    ) -> None:
        self._address = address
        self._runner = _BoundedAppRunner(intake, app, access_log=None, shutdown_timeout=shutdown_s)

    async def start(self) -> None:
        """Listen, or raise ``OSError``."""
        await self._runner.setup()
        await web.SockSite(self._runner, make_listening_socket(self._address, MAX_PENDING)).start()

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()


class Intake:
    """Memory and connections that all HTTP servers of a process share."""

    def __init__(self, limits: IntakeLimits, clock: Clock) -> None:
        self.memory = IntakeMemory(limits)
        self.events = EventLimiter(clock.now, every=1.0)

    def make_server(self, handler: Any, **options: Any) -> web.Server:
        """Return a server for a handler of requests; see ``web.Server``."""
        return _BoundedServer(self, handler, **options)

    def make_listener(
        self, app: web.Application, address: str, shutdown_s: float
    ) -> "ApplicationListener":
        """Return a listener of an application; requests have ``shutdown_s`` seconds to end."""
        return ApplicationListener(self, app, address, shutdown_s)

    def export(self, metrics: Metrics) -> None:
        """Register what callers take of this process with ``metrics``."""
        metrics.gauge_of(
            "request_memory_bytes",
            "Bytes of requests that are held for callers.",
            lambda: self.memory.held_bytes,
        )
        metrics.gauge_of(
            "caller_connections",
            "Open connections of callers.",
            lambda: self.memory.connections,
        )
        metrics.counters_of(
            "callers_evicted",
            "Connections of callers that were evicted, by the limit that was exceeded.",
            "limit",
            lambda: self.memory.evicted,
        )


def make_intake(memory_bytes: int, max_fds: int, clock: Clock) -> Intake:
    """Return the intake of a process that has this memory and number of descriptors.

    Either is 0 if it is not limited. What the process uses now is not available to requests.
    """
    used_bytes = resident_bytes() if memory_bytes else 0
    return Intake(make_limits(memory_bytes, used_bytes, max_fds), clock)
