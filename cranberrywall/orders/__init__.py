"""Order engines to load, unload and change role, fenced and paced."""

from cranberrywall.orders._client import OrdersClient
from cranberrywall.orders._controller import OrderController, OrderTimes
from cranberrywall.orders._engines import Copy, Engines, EngineView
from cranberrywall.orders._factory import make_order_controller
from cranberrywall.orders._group_machine import GroupMachine, make_group_machine
from cranberrywall.orders._machine import OrdersMachine, make_orders_machine
from cranberrywall.orders._plan import Plan, Step, make_plan
from cranberrywall.orders._reports import EngineReporter, EngineReports
from cranberrywall.orders._sender import OrderSender, make_http_sender
from cranberrywall.orders.messages import (
    ORDERS_CODEC,
    Action,
    Evidence,
    Issuer,
    OpenOrder,
    OrdersView,
)

__all__ = [
    "ORDERS_CODEC",
    "Action",
    "Copy",
    "EngineReporter",
    "EngineReports",
    "EngineView",
    "Engines",
    "Evidence",
    "GroupMachine",
    "Issuer",
    "OpenOrder",
    "OrderController",
    "OrderSender",
    "OrderTimes",
    "OrdersClient",
    "OrdersMachine",
    "OrdersView",
    "Plan",
    "Step",
    "make_group_machine",
    "make_http_sender",
    "make_order_controller",
    "make_orders_machine",
    "make_plan",
]
