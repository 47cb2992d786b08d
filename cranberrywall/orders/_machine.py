"""Hold the replicated state of orders: numbers, open orders and what they took away."""

from collections import deque
from typing import Any, NamedTuple, Protocol

import msgspec

from cranberrywall.links import MalformedMessageError
from cranberrywall.orders.messages import (
    ORDERS_CODEC,
    Action,
    Close,
    Closed,
    ClosedOrder,
    Evidence,
    GetOrders,
    Issue,
    Issued,
    NotIssued,
    OpenOrder,
    OrdersView,
    Removed,
    Retain,
)
from cranberrywall.replication import StateMachine

CLOSED_LIMIT = 1024
"""Closed orders that are kept to be shown, and to answer an order id sent again."""


class OrdersMachine(StateMachine, Protocol):
    """Replicate the orders."""

    def view(self) -> OrdersView:
        """Return this copy's state."""
        ...


def make_orders_machine() -> OrdersMachine:
    """Return the orders' state machine, with no order yet."""
    return _Machine()


class _State(NamedTuple):
    last_number: int
    open_orders: tuple[OpenOrder, ...]
    closed_orders: tuple[ClosedOrder, ...]
    removed: tuple[Removed, ...]


class _Machine:
    def __init__(self) -> None:
        self._last_number = 0
        self._open_by_number: dict[int, OpenOrder] = {}
        self._closed: deque[ClosedOrder] = deque(maxlen=CLOSED_LIMIT)
        self._removed: dict[Removed, None] = {}

    def apply(self, command: bytes) -> bytes:
        try:
            message = ORDERS_CODEC.decode(command)
        except MalformedMessageError as error:
            return ORDERS_CODEC.encode(NotIssued(str(error), ()))
        if isinstance(message, Issue):
            return ORDERS_CODEC.encode(self._issue(message))
        if isinstance(message, Close):
            return ORDERS_CODEC.encode(self._close(message))
        if isinstance(message, Retain):
            self._removed.pop(message.copy, None)
            return ORDERS_CODEC.encode(Closed())
        return ORDERS_CODEC.encode(NotIssued("this is not a command about orders", ()))

    def query(self, query: bytes) -> bytes:
        return ORDERS_CODEC.encode(self.view())

    def view(self) -> OrdersView:
        return OrdersView(
            self._last_number,
            tuple(self._open_by_number.values()),
            tuple(self._closed),
            tuple(self._removed),
        )

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(_State(*self.view()))

    def restore(self, snapshot: bytes) -> None:
        state = msgspec.msgpack.decode(snapshot, type=_State)
        self._last_number = state.last_number
        self._open_by_number = {order.number: order for order in state.open_orders}
        self._closed = deque(state.closed_orders, maxlen=CLOSED_LIMIT)
        self._removed = dict.fromkeys(state.removed)

    def _issue(self, command: Issue) -> Issued | NotIssued:
        first = self._number_of(command.order_id)
        if first is not None:
            return Issued(first)
        blocking = self._blocking(command)
        if blocking:
            return NotIssued(_why_blocked(blocking), blocking)
        loads = self._loads_elsewhere(command.target)
        if draws_on_store(command.action) and len(loads) >= command.concurrent_loads:
            return NotIssued(f"{len(loads)} loads from the weight store are open", loads)
        return self._commit(command)

    def _number_of(self, order_id: str) -> int | None:
        for order in self._open_by_number.values():
            if order.order_id == order_id:
                return order.number
        for closed in self._closed:
            if closed.order.order_id == order_id:
                return closed.order.number
        return None

    def _blocking(self, command: Issue) -> tuple[OpenOrder, ...]:
        """Return the open orders to the same engine that it could not tell from this one.

        An engine that checks refuses an open order of another issuer once this one, with
        its higher number, has reached it. One that does not check would carry it out
        whenever it arrives.
        """
        return tuple(
            order
            for order in self._open_by_number.values()
            if order.target == command.target
            and (order.issuer == command.issuer or not _is_fenced(order, command))
        )

    def _loads_elsewhere(self, target: str) -> tuple[OpenOrder, ...]:
        """Return an open load of each other engine; an engine fetches one thing at a time."""
        load_by_target = {
            order.target: order
            for order in self._open_by_number.values()
            if draws_on_store(order.action) and order.target != target
        }
        return tuple(load_by_target.values())

    def _commit(self, command: Issue) -> Issued:
        self._last_number += 1
        order = OpenOrder(
            self._last_number,
            command.order_id,
            command.issuer,
            command.target,
            command.incarnation,
            command.counter,
            command.checks_fencing,
            command.action,
            not any(order.target == command.target for order in self._open_by_number.values()),
            command.at,
        )
        self._open_by_number[order.number] = order
        if command.action.kind == "unload":
            self._removed[_copy_of(order)] = None
        return Issued(order.number)

    def _close(self, command: Close) -> Closed:
        order = self._open_by_number.get(command.number)
        if order is not None:
            if command.evidence in _ANSWERED:
                self._close_fenced(order, command)
            self._finish(ClosedOrder(order, command.evidence, command.closed_by, command.at))
        return Closed()

    def _close_fenced(self, answered: OpenOrder, command: Close) -> None:
        """Close the earlier orders to an engine that has seen a higher number.

        That the number is committed does not do: the order that carries it may never
        reach the engine, which would then obey the earlier one.
        """
        for order in list(self._open_by_number.values()):
            is_earlier = order.target == answered.target and order.number < answered.number
            if is_earlier and order.checks_fencing and answered.checks_fencing:
                closed = ClosedOrder(order, Evidence.SUPERSEDED, command.closed_by, command.at)
                self._finish(closed)

    def _finish(self, closed: ClosedOrder) -> None:
        order = closed.order
        del self._open_by_number[order.number]
        self._closed.append(closed)
        loaded = order.action.kind == "load" and closed.evidence in _CARRIED_OUT
        kept = order.action.kind == "unload" and closed.evidence in _NOT_CARRIED_OUT
        if loaded or kept:
            self._removed.pop(_copy_of(order), None)


_ANSWERED = frozenset({Evidence.DONE, Evidence.FAILED, Evidence.REFUSED})
_CARRIED_OUT = frozenset({Evidence.DONE, Evidence.SEEN})
_NOT_CARRIED_OUT = frozenset({Evidence.FAILED, Evidence.REFUSED, Evidence.UNSENT})


def draws_on_store(action: Action) -> bool:
    """Say whether an engine fetches from the weight store to carry out ``action``."""
    return action.kind in ("load", "adapter")


def _is_fenced(order: OpenOrder, command: Issue) -> bool:
    return order.checks_fencing and command.checks_fencing


def _copy_of(order: OpenOrder) -> Removed:
    return Removed(order.target, order.action.model, order.action.version)


def _why_blocked(blocking: tuple[OpenOrder, ...]) -> str:
    order = blocking[0]
    return (
        f"order {order.number} ({order.action.kind} {order.action.model} {order.action.version})"
        f" by {order.issuer.host}/{order.issuer.incarnation} to {order.target} may still be sent"
    )


def is_orders_message(data: bytes) -> bool:
    """Say whether ``data`` is one of this package's commands or queries."""
    try:
        message: Any = ORDERS_CODEC.decode(data)
    except MalformedMessageError:
        return False
    return isinstance(message, Issue | Close | Retain | GetOrders)
