"""Serve callers on the users' platform: their requests, the directory, and readiness."""

import asyncio
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.http import RawRequestMessage
from result import Err, Ok, Result

from cranberrywall.entry import (
    FrontendContext,
    close_idle_connections,
    has_unread_request,
    wait_for_answers,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.forwarding import Forwarder, StreamOrigins
from cranberrywall.intake import (
    ApplicationListener,
    CallerListener,
    CallerTraffic,
    LinkLimit,
    RequestEvictedError,
    make_intake,
    read_whole_body,
)
from cranberrywall.observability import log_event
from cranberrywall.platform._arrivals import decode_arrival
from cranberrywall.platform._boot import ADDRESS_TTL_S, Boot
from cranberrywall.platform._dialect import TargetDialect
from cranberrywall.platform._directory import choose_addresses
from cranberrywall.platform._refusals import refuse
from cranberrywall.platform._replies import HttpReply
from cranberrywall.platform._stop_times import stop_times
from cranberrywall.runtime import Clock

IDLE_CALLERS_S = 120.0
"""Idle connections of callers are kept for so long, in seconds: they give them up far earlier."""

LONGEST_HEAD_BYTES = 65_536
DEFAULT_BODY_BYTES = 4_194_304

CLOSE_S = 0.1
"""Connections that are still open as a host closes them have so long to end, in seconds."""

MIN_SETTLE_S = 0.1
"""Minimum time in which the charges of ended requests are settled, in seconds."""

_NOT_READY = Refusal(ErrorKind.NOT_READY, "this host has no configuration yet", retry_after=0.5)


class PlatformFront:
    """Hold the listeners of one entry host; it implements ``entry.Frontend``."""

    def __init__(self, boot: Boot, clock: Clock) -> None:
        self._boot = boot
        self._stop_times = stop_times(boot.grace_s)
        self._clock = clock
        self._parts: FrontendContext | None = None
        self._forwarder: Forwarder | None = None
        self._draining_since: float | None = None
        self._last_arrival_at = float("-inf")
        self._other_listeners: list[ApplicationListener] = []
        self._front_runner: web.ServerRunner | None = None
        self._listener = CallerListener(boot.front, LinkLimit(boot.link_bytes_per_s), clock)
        self._intake = make_intake(boot.memory_bytes, boot.max_fds, clock)
        self._closing: asyncio.Task[None] | None = None
        self.running = 0
        self._traffic = CallerTraffic(clock)
        self._traffic_task: asyncio.Task[None] | None = None

    async def listen(self) -> None:
        """Bind all addresses at once: a host without a configuration says so to callers."""
        server = self._intake.make_server(
            self._serve,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_CALLERS_S,
            max_line_size=LONGEST_HEAD_BYTES,
            max_field_size=LONGEST_HEAD_BYTES,
            # Targets get the bytes that the caller sent, under the same headers.
            auto_decompress=False,
        )
        self._front_runner = web.ServerRunner(server, shutdown_timeout=CLOSE_S)
        await self._front_runner.setup()
        self._listener.start(server)
        app = web.Application()
        app.router.add_get("/v1/ready", self._answer_ready)
        app.router.add_get("/v1/resolve", self._answer_resolve)
        for address in dict.fromkeys((self._boot.ready, self._boot.directory)):
            if address:
                listener = self._intake.make_listener(app, address, CLOSE_S)
                await listener.start()
                self._other_listeners.append(listener)

    async def serve(self, parts: FrontendContext) -> None:
        """Begin to forward."""
        origins = StreamOrigins(
            parts.me.host,
            parts.membership,
            parts.caller,
            parts.server,
            self._clock,
            parts.records,
        )
        origins.export(parts.metrics)
        self._traffic.export(parts.metrics)
        self._intake.export(parts.metrics)
        self._listener.export(parts.metrics)
        self._forwarder = Forwarder(
            parts.configuration,
            parts.allotments,
            parts.router,
            TargetDialect(),
            self._clock,
            parts.runtime.random,
            parts.metrics,
            parts.quarantine,
            origins,
            parts.paths,
        )
        self._parts = parts
        self._traffic_task = asyncio.create_task(self._traffic.run(lambda: self.running))

    def start_draining(self) -> None:
        """Be ready and named no more, and serve only requests that can end in time."""
        now = self._draining_since = self._clock.now()
        self._listener.accept_always()
        if self._forwarder is not None:
            self._forwarder.start_shutdown(now + self._stop_times.serve_s)

    def idle_duration_s(self, now: float) -> float:
        """Return for how long no request has arrived, in seconds."""
        return now - self._last_arrival_at

    async def stop_listening(self) -> None:
        """Accept no new connection, and close each open one once it has no request."""
        self._listener.close()
        if self._front_runner is None or self._front_runner.server is None:
            return
        closing = close_idle_connections(self._front_runner.server, self._clock)
        self._closing = asyncio.create_task(closing)

    def remaining_s(self, now: float) -> float | None:
        """Return how long answers may still be written, in seconds."""
        return max(0.0, self._answers_until(now) - now)

    async def finish(self) -> None:
        """Return once all answers are written, or the time for that is over."""
        until = self._answers_until(self._clock.now())
        if self._front_runner is not None and self._front_runner.server is not None:
            await wait_for_answers(self._front_runner.server, self._clock, until)
        if self.running:
            log_event("WARNING", "requests_cut_by_stop", running=self.running)
        if self._forwarder is not None:
            await self._settle_charges(self._forwarder, until)

    async def close(self) -> None:
        """Close every connection."""
        for task in (self._closing, self._traffic_task):
            if task is not None:
                task.cancel()
        self._listener.close()
        for listener in self._other_listeners:
            await listener.close()
        if self._front_runner is not None:
            await self._front_runner.cleanup()
        if self._forwarder is not None:
            await self._forwarder.close()

    def _answers_until(self, now: float) -> float:
        started_at = now if self._draining_since is None else self._draining_since
        return started_at + self._stop_times.answer_s

    async def _settle_charges(self, forwarder: Forwarder, until: float) -> None:
        try:
            async with asyncio.timeout(max(MIN_SETTLE_S, until - self._clock.now())):
                await forwarder.wait_idle()
        except TimeoutError:
            log_event("WARNING", "charges_not_settled_before_stop")

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: Any,
        writer: Any,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        limit = self._body_limit()
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=limit
        )

    def _body_limit(self) -> int:
        if self._parts is None:
            return DEFAULT_BODY_BYTES
        limits = self._parts.configuration.document.get("arrival_limits")
        return limits["body_bytes"] if limits else DEFAULT_BODY_BYTES

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        now = self._clock.now()
        self._last_arrival_at = now
        self._listener.record_request(request.content_length or 0, now)
        parts, forwarder = self._parts, self._forwarder
        if parts is None or forwarder is None:
            return refuse(_NOT_READY)
        self.running += 1
        try:
            return await self._forward(request, parts, forwarder, now)
        finally:
            self.running -= 1

    async def _forward(
        self, request: web.BaseRequest, parts: FrontendContext, forwarder: Forwarder, now: float
    ) -> web.StreamResponse:
        body = await self._read_body(request, forwarder)
        if isinstance(body, Err):
            response = refuse(body.err_value)
            if body.err_value.kind is not ErrorKind.TOO_LARGE:
                # The connection is of no further use: the rest of the body may never arrive.
                response.force_close()
            return response
        self._traffic.record_received(len(body.ok_value))
        announced = request.content_length or 0
        self._listener.record_body(announced, len(body.ok_value), self._clock.now())
        decoded = decode_arrival(
            request.method,
            request.raw_path,
            request.raw_headers,
            body.ok_value,
            now,
            body_s=self._clock.now() - now,
        )
        if isinstance(decoded, Err):
            return refuse(decoded.err_value)
        await parts.settle(self._clock.now(), self._clock.wall())
        reply = HttpReply(request, lambda: self._closes_after(request), self._record_sent)
        served = await forwarder.serve(decoded.ok_value, reply, parts.is_current(now))
        if reply.response is not None:
            return reply.response
        response = refuse(served.err() or _NOT_READY)
        if self._closes_after(request):
            response.force_close()
        return response

    async def _read_body(
        self, request: web.BaseRequest, forwarder: Forwarder
    ) -> Result[bytes, Refusal]:
        """Return the body, or refuse one that is too large or outlasts its route's timeout."""
        timeout_s = forwarder.timeout_of(request.headers.get("Host", ""), request.raw_path)
        try:
            async with asyncio.timeout(timeout_s):
                return Ok(await read_whole_body(request, self._body_limit()))
        except web.HTTPRequestEntityTooLarge:
            message = f"the body is over {self._body_limit()} bytes"
            return Err(Refusal(ErrorKind.TOO_LARGE, message, "body", "send a smaller one"))
        except RequestEvictedError as error:
            return Err(error.refusal)
        except TimeoutError:
            message = f"the body did not arrive within the {timeout_s:g} s of its route"
            return Err(Refusal(ErrorKind.DEADLINE_PASSED, message, "body", "send it sooner"))

    def _record_sent(self, size: int) -> None:
        self._traffic.record_sent(size)
        self._listener.record_answer(size, self._clock.now())

    def _closes_after(self, request: web.BaseRequest) -> bool:
        """Return whether to close a caller's connection after the answer to ``request``.

        While no connection is accepted, open ones would go on to bring requests.
        """
        closes = self._draining_since is not None or self._listener.is_paused
        return closes and not has_unread_request(request.protocol)

    async def _answer_ready(self, request: web.Request) -> web.Response:
        is_ready = self._parts is not None and self._draining_since is None
        return web.Response(status=200 if is_ready else 503)

    async def _answer_resolve(self, request: web.Request) -> web.Response:
        if self._parts is None:
            return refuse(_NOT_READY)
        place = request.query.get("zone", "")
        addresses = choose_addresses(self._parts.membership.all(), place)
        if not addresses:
            return refuse(Refusal(ErrorKind.NOT_READY, "no host is known that serves callers"))
        return web.json_response({"addrs": addresses, "ttl_s": ADDRESS_TTL_S})
