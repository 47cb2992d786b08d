"""Hold the fates of the orders of this process, and never send one that is barred."""

import asyncio

from result import Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.links import Peer, Server
from cranberrywall.orders._sender import OrderSender
from cranberrywall.orders.messages import (
    STOP_SENDING,
    Action,
    Fate,
    Issuer,
    OrderFate,
    StoppedSending,
    StopSending,
)

FATES_LIMIT = 4096


class Outbox:
    """Send orders of one run of one control process, each at most once."""

    def __init__(self, issuer: Issuer, sender: OrderSender) -> None:
        self.issuer = issuer
        self._sender = sender
        self._fate_by_order_id: dict[str, Fate] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, server: Server) -> None:
        """Answer a successor that asks what became of this process's orders."""
        server.register(STOP_SENDING, self._answer_stop)

    def fate(self, order_id: str) -> Fate:
        """Return the fate of an order of this run, and bar it if it was not sent yet.

        There is no wait between this and the mark in ``start``: an order is either sent
        before the answer, which then says so, or never.
        """
        return self._fate_by_order_id.setdefault(order_id, Fate.NEVER_SENT)

    def start(self, order_id: str, url: str, number: int, action: Action, timeout: float) -> bool:
        """Begin to send an order for ``timeout`` seconds, unless it is barred or was begun."""
        if order_id in self._fate_by_order_id:
            return False
        self._set_fate(order_id, Fate.SENDING)
        task = asyncio.create_task(self._send(order_id, url, number, action, timeout))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def close(self) -> None:
        """Abort what is being sent."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._sender.close()

    async def _send(
        self, order_id: str, url: str, number: int, action: Action, timeout: float
    ) -> None:
        fate = Fate.UNKNOWN
        try:
            fate = await self._sender.send(url, number, action, timeout)
        finally:
            self._set_fate(order_id, fate)

    def _set_fate(self, order_id: str, fate: Fate) -> None:
        self._fate_by_order_id[order_id] = fate
        if len(self._fate_by_order_id) > FATES_LIMIT:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        # A forgotten order would be reported as never sent; by then it is long closed.
        for order_id, fate in self._fate_by_order_id.items():
            if fate is not Fate.SENDING:
                del self._fate_by_order_id[order_id]
                return

    async def _answer_stop(
        self, request: StopSending, peer: Peer
    ) -> Result[StoppedSending, Refusal]:
        fates = tuple(OrderFate(order_id, self.fate(order_id)) for order_id in request.order_ids)
        return Ok(StoppedSending(self.issuer, fates))
