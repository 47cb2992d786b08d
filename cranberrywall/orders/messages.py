"""Define the commands, queries and results about orders in the configuration group.

An order is committed, with a number that rises, before it is sent to an engine. It is
*open* until there is evidence that it is finished or can no longer be sent. Times are
seconds since the epoch, given by the proposer.
"""

from enum import StrEnum
from typing import Literal, NamedTuple

from cranberrywall.links import MessageCodec, Method

ActionKind = Literal["load", "unload", "adapter"]


class Issuer(NamedTuple):
    """Identify one run of one control process; ``incarnation`` rises with each start."""

    host: str
    incarnation: int


class Action(NamedTuple):
    """Say what an engine is to do; ``adapter`` is empty unless the kind is ``adapter``."""

    kind: ActionKind
    model: str
    version: str
    adapter: str = ""


class Evidence(StrEnum):
    """Say how it is known that an order is finished or can no longer be sent.

    ``DONE``, ``FAILED`` and ``REFUSED`` are the engine's own answers to the issuer.
    ``SEEN``: the engine announces the effect. ``UNSENT``: the issuer's process never sent
    it and will not. ``STOPPED``: that process has ended its sending without an answer.
    ``RESTARTED``: a later run of the issuer's process answers in its place.
    ``CONFIRMED``: an operator says that the issuer's host is dead. ``SUPERSEDED``: the
    engine checks numbers, and has answered an order with a higher one.
    """

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    SEEN = "seen"
    UNSENT = "unsent"
    STOPPED = "stopped"
    RESTARTED = "restarted"
    CONFIRMED = "confirmed"
    SUPERSEDED = "superseded"


class Issue(NamedTuple):
    """Commit one order, once per ``order_id``.

    ``counter`` is that of the announcement by which it was decided. ``concurrent_loads``
    bounds the loads that are open at once, as the leader read it from the document.
    """

    order_id: str
    issuer: Issuer
    target: str
    incarnation: int
    counter: int
    checks_fencing: bool
    action: Action
    concurrent_loads: int
    at: float


class OpenOrder(NamedTuple):
    """Describe an order that may still be sent or be under way.

    ``alone`` is true where no other order to the engine was open when it was committed.
    """

    number: int
    order_id: str
    issuer: Issuer
    target: str
    incarnation: int
    counter: int
    checks_fencing: bool
    action: Action
    alone: bool
    at: float


class ClosedOrder(NamedTuple):
    """Describe an order that is finished or can no longer be sent, and how that is known."""

    order: OpenOrder
    evidence: Evidence
    closed_by: str
    closed_at: float


class Issued(NamedTuple):
    """Answer an order that is committed with ``number`` and may be sent."""

    number: int


class NotIssued(NamedTuple):
    """Answer an order that must wait; ``blocking`` lists the open orders in its way."""

    reason: str
    blocking: tuple[OpenOrder, ...]


class Close(NamedTuple):
    """Record the evidence that an order is finished or can no longer be sent."""

    number: int
    evidence: Evidence
    closed_by: str
    at: float


class Closed(NamedTuple):
    """Answer a ``Close``, at its first and any later arrival."""


class GetOrders(NamedTuple):
    """Ask for the open orders, the newest closed ones and the copies ordered away."""


class Removed(NamedTuple):
    """Name a copy that an order removed from an engine, or may have removed, or may yet."""

    target: str
    model: str
    version: str


class OrdersView(NamedTuple):
    """Hold what the orders' state shows; the lists are oldest first."""

    last_number: int
    open_orders: tuple[OpenOrder, ...]
    closed_orders: tuple[ClosedOrder, ...]
    removed: tuple[Removed, ...]


class Retain(NamedTuple):
    """Record that an engine still has a copy which an order might have removed.

    Proposed once that order can no longer be sent and the engine, long after, still
    announces the copy.
    """

    copy: Removed
    at: float


class Fate(StrEnum):
    """Say what a control process knows of an order of its own run."""

    NEVER_SENT = "never_sent"
    SENDING = "sending"
    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class StopSending(NamedTuple):
    """Ask a control process what became of orders, and to send none of them from now on."""

    order_ids: tuple[str, ...]


class OrderFate(NamedTuple):
    """Pair an order id with its fate."""

    order_id: str
    fate: Fate


class StoppedSending(NamedTuple):
    """Name the run that answers, with the fate of each order asked for."""

    issuer: Issuer
    fates: tuple[OrderFate, ...]


STOP_SENDING = Method("orders.stop_sending", StopSending, StoppedSending)

ORDERS_CODEC = MessageCodec(
    [Close, Closed, GetOrders, Issue, Issued, NotIssued, OrdersView, Retain]
)
