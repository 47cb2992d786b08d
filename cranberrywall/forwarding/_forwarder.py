"""Forwarder of an entry host, which serves callers' requests by forwarding them to targets."""

import asyncio

from result import Err, Ok, Result

from cranberrywall.budgets import HostAllotments
from cranberrywall.configuration import Configuration
from cranberrywall.errors import Refusal
from cranberrywall.forwarding._answer_ends import AnswerEnds
from cranberrywall.forwarding._attempts import Attempts
from cranberrywall.forwarding._billing import RequestBilling, RequestFunds
from cranberrywall.forwarding._calls import CallForwarder, CompleteAnswer
from cranberrywall.forwarding._client import TargetClient, make_connector, make_session
from cranberrywall.forwarding._interfaces import Arrival, CallerReply, Dialect
from cranberrywall.forwarding._origins import StreamOrigins
from cranberrywall.forwarding._plan import Plan, Planner
from cranberrywall.forwarding._shutdown import STOPPING, HostStopsError, RequestLimit, Shutdown
from cranberrywall.forwarding._streams import StreamForwarder
from cranberrywall.forwarding._target_checks import TargetChecks
from cranberrywall.observability import Metrics, log_event
from cranberrywall.quarantine import Quarantine
from cranberrywall.routing import Router
from cranberrywall.runtime import Clock, Random
from cranberrywall.tunnels import Paths

_ANSWERED = "answered"


class Forwarder:
    """Plan, reserve, forward and settle each request of one entry host."""

    def __init__(
        self,
        configuration: Configuration,
        allotments: HostAllotments,
        router: Router,
        dialect: Dialect,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        quarantine: Quarantine,
        origins: StreamOrigins,
        paths: Paths | None = None,
    ) -> None:
        pooled = make_connector(reuses_connections=True, paths=paths, clock=clock)
        unpooled = make_connector(reuses_connections=False, paths=paths, clock=clock)
        if paths is not None:
            # Only requests that may run again profit from the early end of their connection.
            paths.watch_hung(pooled.abort_unresponsive)
        self._pooled_session = make_session(pooled)
        self._unpooled_session = make_session(unpooled)
        client = TargetClient(self._pooled_session, self._unpooled_session, dialect, metrics)
        self._planner = Planner(configuration, random)
        self._billing = RequestBilling(allotments, configuration, clock)
        self._checks = TargetChecks(self._unpooled_session, dialect, clock, metrics)
        ends = AnswerEnds(self._checks, clock)
        self._calls = CallForwarder(client, ends, quarantine.tracker, clock)
        self._streams = StreamForwarder(client, ends, quarantine.tracker, clock)
        self._router = router
        self._quarantine = quarantine
        self._origins = origins
        self._clock = clock
        self._shutdown = Shutdown(clock)
        self._requests = metrics.counter(
            "forwarded_requests", "Forwarded requests by outcome.", ["outcome"]
        )
        self._seconds = metrics.histogram(
            "forwarded_seconds",
            "Time from the arrival to the end of a forwarded request.",
            ["kind"],
        )

    async def serve(
        self, arrival: Arrival, reply: CallerReply, is_current: bool
    ) -> Result[None, Refusal]:
        """Serve one request; ``Err`` is a refusal that was not sent to the caller yet."""
        planned = self._planner.plan(arrival, is_current)
        if isinstance(planned, Err):
            self._record_refusal(arrival, planned.err_value, None)
            return Err(planned.err_value)
        plan = planned.ok_value
        quarantine_refusal = self._quarantine.check(
            plan.fingerprint, self._clock.now(), plan.traits
        )
        if quarantine_refusal is not None:
            self._record_refusal(arrival, quarantine_refusal, plan)
            return Err(quarantine_refusal)
        limit = self._shutdown.make_limit(plan.route["name"], plan.route["goal_s"])
        reserved = await self._reserve(arrival, plan, limit)
        if isinstance(reserved, Err):
            self._record_refusal(arrival, reserved.err_value, plan)
            return Err(reserved.err_value)
        return await self._serve_reserved(arrival, plan, reserved.ok_value, reply, limit)

    def timeout_of(self, host: str, path: str) -> float | None:
        """Return the timeout of a request's route, in seconds; ``None`` without a route."""
        return self._planner.timeout_of(host, path)

    def start_shutdown(self, ends_at: float) -> None:
        """Serve only requests that can end until ``ends_at``, in monotonic seconds."""
        self._shutdown.start(ends_at)

    async def wait_idle(self) -> None:
        """Return once the reservations of all ended requests are settled."""
        await self._billing.wait_idle()

    async def close(self) -> None:
        """Close the connections to targets."""
        self._origins.close()
        self._checks.close()
        await self._pooled_session.close()
        await self._unpooled_session.close()

    async def _reserve(
        self, arrival: Arrival, plan: Plan, limit: RequestLimit
    ) -> Result[RequestFunds, Refusal]:
        refusal = limit.check(self._clock.now())
        if refusal is not None:
            return Err(refusal)
        try:
            async with limit.applied():
                return await self._billing.reserve(arrival, plan.workspace, plan.deadline)
        except HostStopsError:
            return Err(STOPPING)

    async def _serve_reserved(
        self,
        arrival: Arrival,
        plan: Plan,
        funds: RequestFunds,
        reply: CallerReply,
        limit: RequestLimit,
    ) -> Result[None, Refusal]:
        attempts = Attempts(
            arrival, plan, self._router, self._quarantine, self._clock, limit, self._origins
        )
        try:
            result = await self._forward(attempts, funds, reply)
            # The charge is durable before the caller receives the end of the answer. The request
            # is therefore billed even if this process ends at any point after that.
            await asyncio.shield(funds.settle())
        except asyncio.CancelledError:
            self._record_end(attempts, funds, "cancelled", 0)
            raise
        finally:
            self._billing.settle_later(funds)
        return await self._finish(attempts, funds, reply, result)

    async def _forward(
        self, attempts: Attempts, funds: RequestFunds, reply: CallerReply
    ) -> Result[CompleteAnswer | None, Refusal]:
        try:
            async with attempts.limit.applied():
                if attempts.plan.repeat_rules.is_stream:
                    return await self._streams.run(attempts, funds, reply)
                return await self._calls.run(attempts, funds)
        except HostStopsError:
            return Ok(None) if attempts.is_answered else Err(attempts.end_by_stop())

    async def _finish(
        self,
        attempts: Attempts,
        funds: RequestFunds,
        reply: CallerReply,
        result: Result[CompleteAnswer | None, Refusal],
    ) -> Result[None, Refusal]:
        if isinstance(result, Err):
            self._record_end(attempts, funds, str(result.err_value.kind), 0, result.err_value)
            if reply.has_started:
                reply.abort()
            return result.map(lambda _: None)
        answer = result.ok_value
        if answer is None:
            await reply.finish()
        else:
            await reply.answer(*answer)
        self._record_end(attempts, funds, _ANSWERED, answer.status if answer else 200)
        return result.map(lambda _: None)

    def _record_refusal(self, arrival: Arrival, refusal: Refusal, plan: Plan | None) -> None:
        self._requests.labels(str(refusal.kind)).inc()
        log_event(
            "INFO",
            "request_refused",
            request=arrival.request_id,
            route=plan.route["name"] if plan else "",
            workspace=plan.workspace if plan else "",
            revision=plan.revision if plan else "",
            fingerprint=plan.fingerprint.hex() if plan else "",
            refusal=refusal,
        )

    def _record_end(
        self,
        attempts: Attempts,
        funds: RequestFunds,
        outcome: str,
        status: int,
        refusal: Refusal | None = None,
    ) -> None:
        plan, arrival = attempts.plan, attempts.arrival
        now = self._clock.now()
        seconds = now - arrival.at
        if outcome == _ANSWERED and attempts.started_at is not None:
            self._shutdown.record(plan.route["name"], now - attempts.started_at)
        self._requests.labels(outcome).inc()
        self._seconds.labels(plan.route["kind"]).observe(seconds)
        log_event(
            "INFO",
            "request_ended",
            request=arrival.request_id,
            outcome=outcome,
            status=status,
            route=plan.route["name"],
            workspace=plan.workspace,
            revision=plan.revision,
            fingerprint=plan.fingerprint.hex(),
            targets=",".join(attempts.targets),
            may_have_run=attempts.may_have_run,
            charged=funds.used,
            seconds=seconds,
            body_s=arrival.body_s,
            reserve_s=attempts.reserved_at - arrival.at,
            slot_s=_elapsed(attempts.reserved_at, attempts.started_at),
            first_event_s=_elapsed(attempts.started_at, attempts.first_event_at),
            **attempts.answer_fields(),
            refusal=refusal or "",
        )


def _elapsed(since: float | None, until: float | None) -> float | str:
    """Return the seconds between two times; empty if one of them was not reached."""
    return "" if since is None or until is None else until - since
