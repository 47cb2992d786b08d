"""Let operators see orders, and say that a control host is dead."""

from result import Err, Ok, Result

from cranberrywall.control import ControlClient
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import MalformedMessageError
from cranberrywall.orders.messages import (
    ORDERS_CODEC,
    Close,
    Evidence,
    GetOrders,
    Issuer,
    OrdersView,
)

GROUP = "configuration"


class OrdersClient:
    """Call the orders' part of the configuration group through a ``ControlClient``.

    Each call takes ``timeout`` seconds at most for each command that it sends.
    """

    def __init__(self, control: ControlClient, timeout: float) -> None:
        self._control = control
        self._timeout = timeout

    async def orders(self) -> Result[OrdersView, Refusal]:
        """Return the open orders and the newest closed ones."""
        query = ORDERS_CODEC.encode(GetOrders())
        result = await self._control.query(GROUP, query, self._timeout)
        if isinstance(result, Err):
            return Err(result.err_value)
        try:
            view = ORDERS_CODEC.decode(result.ok_value)
        except MalformedMessageError as error:
            return Err(Refusal(ErrorKind.MALFORMED, str(error)))
        if not isinstance(view, OrdersView):
            return Err(Refusal(ErrorKind.MALFORMED, f"unexpected {type(view).__name__}"))
        return Ok(view)

    async def confirm_dead(self, issuer: Issuer, operator: str, at: float) -> Result[int, Refusal]:
        """Close the open orders of a control process that an operator knows to be dead.

        Return how many there were. ``at`` is the present time, in seconds since the epoch.
        The operator vouches that the host is off or wiped: if it comes back with an order
        in hand, an engine that does not check will obey it.
        """
        view = await self.orders()
        if isinstance(view, Err):
            return Err(view.err_value)
        closed = 0
        for order in view.ok_value.open_orders:
            if order.issuer != issuer:
                continue
            command = Close(order.number, Evidence.CONFIRMED, operator, at)
            data = ORDERS_CODEC.encode(command)
            result = await self._control.propose(GROUP, data, self._timeout)
            if isinstance(result, Err):
                return Err(result.err_value)
            closed += 1
        return Ok(closed)
