"""Put an order controller together."""

from collections.abc import Callable, Mapping

from cranberrywall.configuration import Document
from cranberrywall.links import Caller
from cranberrywall.orders._controller import OrderController, OrderTimes
from cranberrywall.orders._engines import Engines
from cranberrywall.orders._evidence import EvidenceFinder
from cranberrywall.orders._outbox import Outbox
from cranberrywall.orders._sender import OrderSender
from cranberrywall.orders.messages import Issuer
from cranberrywall.replication import Group
from cranberrywall.runtime import Clock


def make_order_controller(
    group: Group,
    issuer: Issuer,
    engines: Engines,
    document: Callable[[], Document],
    sender: OrderSender,
    caller: Caller,
    links_by_host: Mapping[str, str],
    clock: Clock,
    times: OrderTimes | None = None,
) -> OrderController:
    """Return the controller of one run of one control process.

    ``group`` is this host's member of the configuration group, ``links_by_host`` the
    control hosts' addresses. ``issuer.incarnation`` must rise with each start.
    """
    times = times or OrderTimes()
    outbox = Outbox(issuer, sender)
    finder = EvidenceFinder(outbox, caller, links_by_host, times.load_limit)
    return OrderController(group, engines, document, outbox, finder, clock, times)
