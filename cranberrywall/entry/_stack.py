"""Assembly of the components that serve callers on one entry host."""

from ssl import SSLContext
from typing import NamedTuple

import aiohttp
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from cranberrywall.budgets import Allotments, make_input_bounds
from cranberrywall.budgets.messages import Holder
from cranberrywall.callers import (
    CallerContext,
    CallerLimits,
    make_caller_routes,
    make_error_middleware,
)
from cranberrywall.configuration import Configuration
from cranberrywall.entry._connections import has_unread_request
from cranberrywall.hosts import Membership
from cranberrywall.links import Caller, Server
from cranberrywall.observability import Metrics, make_metrics
from cranberrywall.quarantine import Quarantine
from cranberrywall.requests import (
    Attempts,
    BackgroundTasks,
    ChatRunner,
    ChatRuns,
    EngineLimits,
    FollowHandler,
    IntentLedger,
    Intents,
    Owner,
    Registry,
    RequestMetrics,
    RunLimits,
    ServiceCalls,
    ServiceClient,
    ServiceLimits,
    ServiceRunner,
    Witnesses,
)
from cranberrywall.routing import Router
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import TargetConnector
from cranberrywall.tunnels import Paths

RECORDING_TIMEOUT_S = 10.0
"""A stopping host waits this long for the ledger to record the outcomes of its calls."""

CALLERS_PREFIXES = ("/v1/chat/", "/v1/services/")
_SERVICE_TIMEOUT_S = 60.0
_CONNECTION_LIMIT = 0
"""No limit on connections, because the router limits the calls in progress at each target."""


class StackLinks(NamedTuple):
    """This host's streams to the other entry hosts; ``address`` is the host's own."""

    address: str
    caller: Caller
    server: Server


class CallerStack:
    """The callers' web application of an entry host, with its connections and background tasks."""

    def __init__(
        self,
        context: CallerContext,
        sessions: tuple[aiohttp.ClientSession, ...],
        background: BackgroundTasks,
    ) -> None:
        self._sessions = sessions
        self._background = background
        self.context = context
        self._is_draining = False
        self._last_arrival_at = float("-inf")
        middlewares = [self._make_arrival_middleware(), make_error_middleware(context)]
        self.app = web.Application(middlewares=middlewares)
        self.app.on_response_prepare.append(self._close_connection)
        self.app.add_routes(make_caller_routes(context))

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the session with this host's reusable connections to targets."""
        return self._sessions[0]

    @property
    def running(self) -> int:
        """Return the number of requests in progress."""
        return self.context.chats.running + self.context.services.running

    def start_draining(self) -> None:
        """Close the connection of each caller after its next answer, from now on."""
        self._is_draining = True

    def idle_duration_s(self, now: float) -> float:
        """Return the time since the last request arrived, in seconds."""
        return now - self._last_arrival_at

    async def finish(self) -> None:
        """Return once no request is in progress and what they left is recorded.

        Records that the ledger does not take in time are left. It treats their requests like those
        of a host that was killed.
        """
        await self.context.chats.wait_idle()
        await self.context.services.wait_idle()
        await self._background.wait_empty(RECORDING_TIMEOUT_S)

    def _make_arrival_middleware(self) -> Middleware:
        @web.middleware
        async def record_arrival(request: web.Request, handler: Handler) -> web.StreamResponse:
            if request.path.startswith(CALLERS_PREFIXES):
                self._last_arrival_at = self.context.clock.now()
            return await handler(request)

        return record_arrival

    async def _close_connection(self, request: web.Request, response: web.StreamResponse) -> None:
        # If the connection stayed open, a request could arrive on it at the moment when this host
        # closes it. A request that was already read on it is answered first.
        if self._is_draining and not has_unread_request(request.protocol):
            response.force_close()
            response.headers["Connection"] = "close"

    async def close(self) -> None:
        """Close the connections to targets."""
        for session in self._sessions:
            await session.close()

    async def abort(self) -> None:
        """Abort everything immediately, as if the process were killed."""
        self.context.chats.abort()
        self.context.services.abort()
        self._background.abort()
        await self.close()


def make_caller_stack(
    host: str,
    place: str,
    incarnation: int,
    configuration: Configuration,
    membership: Membership,
    allotments: Allotments,
    intents: IntentLedger,
    router: Router,
    clock: Clock,
    random: Random,
    quarantine: Quarantine,
    metrics: Metrics | None = None,
    links: StackLinks | None = None,
    caller_limits: CallerLimits | None = None,
    engine_limits: EngineLimits | None = None,
    run_limits: RunLimits | None = None,
    service_limits: ServiceLimits | None = None,
    fetch: SSLContext | None = None,
    paths: Paths | None = None,
) -> CallerStack:
    """Return the stack of one entry host; call this in a running event loop.

    ``fetch`` is the TLS context that verifies the certificates of targets with HTTPS; ``paths`` are
    the paths to those without TLS. Without
    ``links``, the host does not coordinate with others: if a caller retries a request at another
    host, it runs again.
    """
    request_metrics = RequestMetrics(metrics or make_metrics())
    background = BackgroundTasks()
    connector = _make_connector(fetch, paths, clock, reuse=True)
    if paths is not None:
        paths.watch_hung(connector.abort_unresponsive)
    session = _make_session(connector)
    unpooled_session = _make_session(_make_connector(fetch, paths, clock, reuse=False))
    engine_limits = engine_limits or EngineLimits()
    attempts = Attempts(
        router, session, clock, random, request_metrics, engine_limits, background, quarantine
    )
    bounds = make_input_bounds()
    registry = None
    if links is not None:
        own = Owner(host, incarnation, links.address)
        registry = Registry(own, membership, links.caller, clock, background)
    chats = ChatRuns(
        ChatRunner(allotments, attempts, bounds, clock, request_metrics, background, quarantine),
        registry,
        links.caller if links is not None else None,
        clock,
        request_metrics,
        run_limits or RunLimits(),
        background,
    )
    if links is not None and registry is not None:
        registry.register(links.server)
        FollowHandler(chats.find, clock).register(links.server)
    runner = ServiceRunner(
        allotments,
        router,
        ServiceClient(session, unpooled_session, request_metrics, engine_limits.connect_timeout_s),
        Intents(intents, Holder(host, incarnation), membership, clock, background),
        Witnesses(registry, lambda: _count_missing_hosts(configuration, membership)),
        clock,
        random,
        request_metrics,
        _SERVICE_TIMEOUT_S,
        quarantine,
    )
    services = ServiceCalls(
        runner, clock, request_metrics, service_limits or ServiceLimits(), background
    )
    context = CallerContext(
        host,
        place,
        configuration,
        membership,
        chats,
        services,
        bounds,
        clock,
        random,
        request_metrics,
        caller_limits or CallerLimits(),
    )
    return CallerStack(context, (session, unpooled_session), background)


def _make_connector(
    fetch: SSLContext | None, paths: Paths | None, clock: Clock, *, reuse: bool
) -> TargetConnector:
    # Without a TLS context, the certificate authorities of the system are trusted.
    return TargetConnector(
        paths=paths,
        clock=clock,
        limit=_CONNECTION_LIMIT,
        force_close=not reuse,
        ssl=fetch or True,
    )


def _make_session(connector: TargetConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False
    )


def _count_missing_hosts(configuration: Configuration, membership: Membership) -> int:
    alive = {view.host for view in membership.alive()}
    hosts = configuration.document["hosts"]
    return sum("entry" in host["roles"] and name not in alive for name, host in hosts.items())
