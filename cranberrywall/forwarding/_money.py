"""Hold a request's money while it runs, and charge what it used."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from result import Err, Ok, Result

from cranberrywall.budgets import HostAllotments, Reservation, ReserveRequest
from cranberrywall.configuration import Configuration
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.forwarding._interfaces import Arrival, Generation
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

LEAST_RESERVE_S = 1.0
"""Money is looked for at least so long, in seconds: as long as one step at a silent ledger."""

RESERVE_SHARE = 0.4
"""Share of a request's time for which money is waited for that will come, and for no other.

In a cut a host may spend more each moment, and reservations come free unused. Callers that are
refused after all have time left to try another host."""


BEGIN_SHARE = 0.5
"""Share of a request's time that its charge may take to become durable.

At the beginning of a cut this lasts a while; the other half is left for the target."""

_NOT_DURABLE = Refusal(
    ErrorKind.BUDGET_UNREACHABLE,
    "the charge could not be recorded in time",
    "budget",
    "send it again, or to another host",
    retry_after=1.0,
)


class RequestFunds:
    """Hold the money of one request; it is charged at most once.

    The input counts from the moment in which a target may have begun, the output as it went
    to the caller. So a request that no target began costs nothing. A target that is silent may
    have begun and fallen silent then, so its input counts too.
    """

    def __init__(
        self, reservation: Reservation | None, generation: Generation | None, clock: Clock
    ) -> None:
        self._reservation = reservation
        self._generation = generation
        self._clock = clock
        self._has_begun = False
        self._attempts_that_may_have_run = 0
        self._output = 0

    @property
    def used(self) -> int:
        """Return the tokens to charge for so far."""
        if self._generation is None or not self._attempts_that_may_have_run:
            return 0
        output = min(self._output, self._generation.output_limit)
        return self._generation.input_tokens + output

    async def begin(self, remaining_s: float) -> Result[None, Refusal]:
        """Charge the most that the request can cost, before its first attempt.

        ``remaining_s`` is the time that the request has, in seconds.
        """
        if self._reservation is None or self._has_begun:
            return Ok(None)
        self._has_begun = True
        try:
            async with asyncio.timeout(BEGIN_SHARE * max(0.0, remaining_s)):
                return await self._reservation.begin(self._clock.now())
        except TimeoutError:
            return Err(_NOT_DURABLE)

    def note_sent(self) -> None:
        """Note that the request goes to a target, which may begin to work from now on.

        Whatever ends the attempt after that, also a caller that leaves, the input counts.
        """
        self._attempts_that_may_have_run += 1

    def note_not_run(self) -> None:
        """Note that the target of the last attempt did not run it."""
        self._attempts_that_may_have_run -= 1

    def note_output(self, tokens: int) -> None:
        """Count tokens that go to the caller."""
        self._output += tokens

    def note_whole_answer(self) -> None:
        """Count an answer that does not say how many tokens it has: as many as it may have."""
        if self._generation is not None:
            self._output = self._generation.output_limit

    async def settle(self) -> None:
        """Charge what was used, and return once the charge is durable; free the rest."""
        reservation, self._reservation = self._reservation, None
        if reservation is None:
            return
        now = self._clock.now()
        if not self.used:
            reservation.release(now)
            return
        settled = await reservation.settle(self.used, now)
        if isinstance(settled, Err):
            # What was delivered stays reserved by nobody and is charged in memory: only the
            # loss of this process can lose the charge.
            log_event("WARNING", "charge_not_durable", refusal=settled.err_value)


class RequestBilling:
    """Reserve money for requests, and settle what their callers left behind."""

    def __init__(
        self, allotments: HostAllotments, configuration: Configuration, clock: Clock
    ) -> None:
        self._allotments = allotments
        self._configuration = configuration
        self._clock = clock
        self._left: set[asyncio.Task[None]] = set()

    async def reserve(
        self, arrival: Arrival, workspace: str, deadline: float
    ) -> Result[RequestFunds, Refusal]:
        """Hold the most that the request can cost, where its workspace has a budget."""
        budget = self._budget_of(workspace)
        generation = arrival.generation
        if budget is None or generation is None:
            return Ok(RequestFunds(None, generation, self._clock))
        now = self._clock.now()
        until = min(deadline, now + max(LEAST_RESERVE_S, RESERVE_SHARE * (deadline - now)))
        request = ReserveRequest(
            workspace, budget, arrival.request_id, max(1, generation.bound), until
        )
        reserved = await self._allotments.reserve(request, now)
        return reserved.map(lambda held: RequestFunds(held, generation, self._clock))

    def settle_later(self, purse: RequestFunds) -> None:
        """Settle in a task of its own: the request's task was cancelled."""
        self._start(purse.settle())

    async def wait_idle(self) -> None:
        """Return once all is settled."""
        while self._left:
            await asyncio.wait(self._left)

    def _budget_of(self, workspace: str) -> str | None:
        document = self._configuration.document
        known = document["workspaces"].get(workspace)
        if known is None or "total" not in document["budgets"][known["budget"]]:
            return None
        return known["budget"]

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._left.add(task)
        task.add_done_callback(self._left.discard)
