"""Reservation of a request's budget while it runs, and the charge for what it used."""

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

MIN_RESERVE_WAIT_S = 1.0
"""Minimum time to wait for a reservation, in seconds.

It is the time that one step of the search takes if the ledger does not respond."""

RESERVE_WAIT_SHARE = 0.4
"""Share of a request's time that may be spent waiting for balance that will become available.

A request does not wait for any other balance. During a network partition, the amount that a host
may spend grows continuously, and unused reservations are released. Callers whose requests are
refused in the end have time left to try another host."""

CHARGE_WAIT_SHARE = 0.5
"""Share of a request's time that its charge may take to become durable.

This takes longer at the start of a network partition. The other half is left for the target."""

_NOT_DURABLE = Refusal(
    ErrorKind.BUDGET_UNREACHABLE,
    "the charge was not durable in time",
    "budget",
    "send the request again, or send it to another host",
    retry_after=1.0,
)


class RequestFunds:
    """Reserved funds of one request, which are charged at most once.

    The input is charged as soon as a target may have made a token of the request. The output is
    charged as it is sent to the caller. A request that no target started therefore costs nothing,
    and neither does a stream whose connection broke before its first event. An unresponsive target
    may have started the request before it stopped responding, so the input is charged then, too.
    """

    def __init__(
        self, reservation: Reservation | None, generation: Generation | None, clock: Clock
    ) -> None:
        self._reservation = reservation
        self._generation = generation
        self._clock = clock
        self._is_charged = False
        self._possible_runs = 0
        self._output = 0

    @property
    def used(self) -> int:
        """Return the tokens to charge for so far."""
        if self._generation is None or not self._possible_runs:
            return 0
        output = min(self._output, self._generation.output_limit)
        return self._generation.input_tokens + output

    async def begin(self, remaining_s: float) -> Result[None, Refusal]:
        """Charge the maximum that the request can cost, before its first attempt.

        ``remaining_s`` is the time until the request's deadline, in seconds.
        """
        if self._reservation is None or self._is_charged:
            return Ok(None)
        self._is_charged = True
        try:
            async with asyncio.timeout(CHARGE_WAIT_SHARE * max(0.0, remaining_s)):
                return await self._reservation.begin(self._clock.now())
        except TimeoutError:
            return Err(_NOT_DURABLE)

    def record_sent(self) -> None:
        """Record that the request is sent to a target, which may start to run it from now on.

        Unless ``record_no_output`` is called, the input is charged however the attempt ends, even
        if the caller disconnects.
        """
        self._possible_runs += 1

    def record_no_output(self) -> None:
        """Record that the target of the last attempt made no token of the request."""
        self._possible_runs -= 1

    def record_output(self, tokens: int) -> None:
        """Add tokens that are sent to the caller."""
        self._output += tokens

    def record_complete_answer(self) -> None:
        """Charge the output limit: a complete answer does not state its number of tokens."""
        if self._generation is not None:
            self._output = self._generation.output_limit

    async def settle(self) -> None:
        """Charge what was used and release the rest; return once the charge is durable."""
        reservation, self._reservation = self._reservation, None
        if reservation is None:
            return
        now = self._clock.now()
        if not self.used:
            reservation.release(now)
            return
        settled = await reservation.settle(self.used, now)
        if isinstance(settled, Err):
            # The delivered amount is no longer reserved, and its charge is in memory only. The
            # charge is lost only if this process is lost.
            log_event("WARNING", "charge_not_durable", refusal=settled.err_value)


class RequestBilling:
    """Reserve funds for requests, and settle those of cancelled requests in the background."""

    def __init__(
        self, allotments: HostAllotments, configuration: Configuration, clock: Clock
    ) -> None:
        self._allotments = allotments
        self._configuration = configuration
        self._clock = clock
        self._settling_tasks: set[asyncio.Task[None]] = set()

    async def reserve(
        self, arrival: Arrival, workspace: str, deadline: float
    ) -> Result[RequestFunds, Refusal]:
        """Reserve the maximum that the request can cost, if its workspace has a budget."""
        budget = self._budget_of(workspace)
        generation = arrival.generation
        if budget is None or generation is None:
            return Ok(RequestFunds(None, generation, self._clock))
        now = self._clock.now()
        until = min(deadline, now + max(MIN_RESERVE_WAIT_S, RESERVE_WAIT_SHARE * (deadline - now)))
        request = ReserveRequest(
            workspace, budget, arrival.request_id, max(1, generation.bound), until
        )
        reserved = await self._allotments.reserve(request, now)
        return reserved.map(lambda reservation: RequestFunds(reservation, generation, self._clock))

    def settle_later(self, funds: RequestFunds) -> None:
        """Settle in a separate task, because the request's own task may have been cancelled."""
        self._start_task(funds.settle())

    async def wait_idle(self) -> None:
        """Return once all reservations are settled."""
        while self._settling_tasks:
            await asyncio.wait(self._settling_tasks)

    def _budget_of(self, workspace: str) -> str | None:
        document = self._configuration.document
        workspace_settings = document["workspaces"].get(workspace)
        if (
            workspace_settings is None
            or "total" not in document["budgets"][workspace_settings["budget"]]
        ):
            return None
        return workspace_settings["budget"]

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._settling_tasks.add(task)
        task.add_done_callback(self._settling_tasks.discard)
