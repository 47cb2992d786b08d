"""Serve the product's own interface: chat completions, services, addresses, announcements."""

import asyncio

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from cranberrywall.callers import BodyLimits, CallerLimits
from cranberrywall.entry import FrontendContext, close_idle_connections, wait_for_answers
from cranberrywall.entry.stack import CallerStack, StackLinks, make_caller_stack
from cranberrywall.runtime import Clock, split_address
from cranberrywall.settings import Settings, seconds, size_in_bytes
from cranberrywall.targets import Prober, make_announce_routes, make_http_probe
from cranberrywall.tls import TlsKeeper

SHUTDOWN_S = 1.0

ANSWERS_S = 10.0
"""Answers that slow callers have not read yet have so long to be written, in seconds."""


class CallerFront:
    """Hold the listener for callers and targets, and the stack behind it."""

    def __init__(
        self, settings: Settings, target_key: str, clock: Clock, tls: TlsKeeper | None
    ) -> None:
        self._settings = settings
        self._target_key = target_key
        self._clock = clock
        self._tls = tls
        self._stack: CallerStack | None = None
        self._runner: web.AppRunner | None = None
        self._prober: asyncio.Task[None] | None = None
        self._closing: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Return how many requests are in progress."""
        return self._stack.running if self._stack is not None else 0

    async def listen(self) -> None:
        """Leave the address alone: it is bound once there is something to serve."""

    async def serve(self, parts: FrontendContext) -> None:
        """Bind the address for callers and targets, and serve them."""
        stack = self._make_stack(parts)
        stack.app.middlewares.append(self._make_settling(parts))
        stack.app.add_routes(
            make_announce_routes(parts.targets, self._target_key, self._clock, parts.publish)
        )
        # A handler whose caller has gone is cancelled, which frees its place in the queue.
        runner = web.AppRunner(
            stack.app, access_log=None, shutdown_timeout=SHUTDOWN_S, handler_cancellation=True
        )
        await runner.setup()
        host, port = split_address(self._settings["listen"]["http"])
        context = self._tls.http if self._tls else None
        await web.TCPSite(runner, host, port, ssl_context=context).start()
        self._stack = stack
        self._runner = runner
        router = parts.router
        probe = make_http_probe(stack.session, parts.backoffs, self._clock)
        prober = Prober(probe, router.targets_to_probe, router.record_probe, self._clock)
        self._prober = asyncio.create_task(prober.run())

    def start_draining(self) -> None:
        """Ask callers, with each answer, to close their connection after it."""
        if self._stack is not None:
            self._stack.start_draining()

    def idle_duration_s(self, now: float) -> float:
        """Return for how long no request has arrived, in seconds."""
        return self._stack.idle_duration_s(now) if self._stack is not None else float("inf")

    async def stop_listening(self) -> None:
        """Accept no new connection, and close each open one once it has no request."""
        if self._runner is None or self._runner.server is None:
            return
        for site in list(self._runner.sites):
            await site.stop()
        closing = close_idle_connections(self._runner.server, self._clock)
        self._closing = asyncio.create_task(closing)

    def remaining_s(self, now: float) -> float | None:
        """Return ``None``: requests run until their deadlines."""
        return None

    async def finish(self) -> None:
        """Return once no request is in progress and what they left is recorded."""
        if self._stack is not None:
            await self._stack.finish()
        if self._runner is not None and self._runner.server is not None:
            until = self._clock.now() + ANSWERS_S
            await wait_for_answers(self._runner.server, self._clock, until)

    async def close(self) -> None:
        """Close the connections of callers and to targets."""
        for task in (self._prober, self._closing):
            if task is not None:
                task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._stack is not None:
            await self._stack.close()

    def _make_settling(self, parts: FrontendContext) -> Middleware:
        @web.middleware
        async def settle(request: web.Request, handler: Handler) -> web.StreamResponse:
            await parts.settle(self._clock.now(), self._clock.wall())
            return await handler(request)

        return settle

    def _make_stack(self, parts: FrontendContext) -> CallerStack:
        callers = self._settings["callers"]
        return make_caller_stack(
            parts.me.host,
            parts.me.place,
            parts.me.incarnation,
            parts.configuration,
            parts.membership,
            parts.allotments,
            parts.ledger,
            parts.router,
            self._clock,
            parts.runtime.random,
            parts.quarantine,
            metrics=parts.metrics,
            links=StackLinks(self._settings["listen"]["links"], parts.caller, parts.server),
            caller_limits=CallerLimits(
                bodies=BodyLimits(max_bytes=size_in_bytes(callers["body"])),
                ttl_s=seconds(callers["address_ttl"]),
            ),
            fetch=self._tls.fetch if self._tls else None,
            paths=parts.paths,
        )
