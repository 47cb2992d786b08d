"""Serve the requests of an entry host's callers by forwarding them to targets."""

import asyncio

from result import Err, Result

from cranberrywall.budgets import HostAllotments
from cranberrywall.configuration import Configuration
from cranberrywall.errors import Refusal
from cranberrywall.forwarding._attempts import Attempts
from cranberrywall.forwarding._calls import CallForwarder, CompleteAnswer
from cranberrywall.forwarding._client import TargetClient, make_session
from cranberrywall.forwarding._interfaces import Arrival, CallerReply, Dialect
from cranberrywall.forwarding._money import RequestBilling, RequestFunds
from cranberrywall.forwarding._plan import Plan, Planner
from cranberrywall.forwarding._streams import StreamForwarder
from cranberrywall.observability import Metrics, log_event
from cranberrywall.quarantine import Quarantine
from cranberrywall.routing import Router
from cranberrywall.runtime import Clock, Random


class Forwarder:
    """Plan, reserve, forward and settle; one for each entry host."""

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
    ) -> None:
        self._kept = make_session(keeps_connections=True)
        self._fresh = make_session(keeps_connections=False)
        client = TargetClient(self._kept, self._fresh, dialect)
        self._planner = Planner(configuration, random)
        self._cashier = RequestBilling(allotments, configuration, clock)
        self._calls = CallForwarder(client, quarantine.tracker, clock)
        self._streams = StreamForwarder(client, quarantine.tracker, clock)
        self._router = router
        self._quarantine = quarantine
        self._clock = clock
        self._requests = metrics.counter(
            "forwarded_requests", "Forwarded requests by how they ended.", ["outcome"]
        )
        self._seconds = metrics.histogram(
            "forwarded_seconds", "Time to a forwarded request's end.", ["kind"]
        )

    async def serve(
        self, arrival: Arrival, reply: CallerReply, is_current: bool
    ) -> Result[None, Refusal]:
        """Answer one caller; ``Err`` is a refusal that the caller has not got yet."""
        planned = self._planner.plan(arrival, is_current)
        if isinstance(planned, Err):
            self._note_refused(arrival, planned.err_value, None)
            return Err(planned.err_value)
        plan = planned.ok_value
        held = self._quarantine.check(plan.fingerprint, self._clock.now())
        if held is not None:
            self._note_refused(arrival, held, plan)
            return Err(held)
        reserved = await self._cashier.reserve(arrival, plan.workspace, plan.deadline)
        if isinstance(reserved, Err):
            self._note_refused(arrival, reserved.err_value, plan)
            return Err(reserved.err_value)
        return await self._serve_paid(arrival, plan, reserved.ok_value, reply)

    async def wait_idle(self) -> None:
        """Return once what requests left behind is settled."""
        await self._cashier.wait_idle()

    async def close(self) -> None:
        """Close the connections to targets."""
        await self._kept.close()
        await self._fresh.close()

    async def _serve_paid(
        self, arrival: Arrival, plan: Plan, purse: RequestFunds, reply: CallerReply
    ) -> Result[None, Refusal]:
        attempts = Attempts(arrival, plan, self._router, self._quarantine, self._clock)
        try:
            result = await self._forward(attempts, purse, reply)
            # The charge is durable before the caller has the end of the answer: it is billed
            # wherever this process ends after that.
            await asyncio.shield(purse.settle())
        except asyncio.CancelledError:
            self._note_end(attempts, purse, "cancelled", 0)
            raise
        finally:
            self._cashier.settle_later(purse)
        return await self._finish(attempts, purse, reply, result)

    async def _forward(
        self, attempts: Attempts, purse: RequestFunds, reply: CallerReply
    ) -> Result[CompleteAnswer | None, Refusal]:
        if attempts.plan.repeats.is_stream:
            return await self._streams.run(attempts, purse, reply)
        return await self._calls.run(attempts, purse)

    async def _finish(
        self,
        attempts: Attempts,
        purse: RequestFunds,
        reply: CallerReply,
        result: Result[CompleteAnswer | None, Refusal],
    ) -> Result[None, Refusal]:
        if isinstance(result, Err):
            self._note_end(attempts, purse, str(result.err_value.kind), 0, result.err_value)
            if reply.has_started:
                reply.abort()
            return result.map(lambda _: None)
        answer = result.ok_value
        if answer is None:
            await reply.finish()
        else:
            await reply.answer(*answer)
        self._note_end(attempts, purse, "answered", answer.status if answer else 200)
        return result.map(lambda _: None)

    def _note_refused(self, arrival: Arrival, refusal: Refusal, plan: Plan | None) -> None:
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

    def _note_end(
        self,
        attempts: Attempts,
        purse: RequestFunds,
        outcome: str,
        status: int,
        refusal: Refusal | None = None,
    ) -> None:
        plan, arrival = attempts.plan, attempts.arrival
        seconds = self._clock.now() - arrival.at
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
            charged=purse.used,
            seconds=seconds,
            refusal=refusal or "",
        )
