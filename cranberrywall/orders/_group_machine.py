"""Join the configuration's and the orders' state in the one group that keeps both."""

from typing import NamedTuple, Protocol

import msgspec

from cranberrywall.configuration import ConfigurationMachine, make_configuration_machine
from cranberrywall.orders._machine import OrdersMachine, is_orders_message, make_orders_machine
from cranberrywall.replication import StateMachine


class GroupMachine(StateMachine, Protocol):
    """Replicate the group ``configuration``: the document and the orders."""

    @property
    def configuration(self) -> ConfigurationMachine:
        """Return the document's part, which the spread reads."""
        ...

    @property
    def orders(self) -> OrdersMachine:
        """Return the orders' part."""
        ...


def make_group_machine() -> GroupMachine:
    """Return the state machine of the group ``configuration``."""
    return _GroupMachine()


class _Snapshot(NamedTuple):
    configuration: bytes
    orders: bytes


class _GroupMachine:
    def __init__(self) -> None:
        self.configuration = make_configuration_machine()
        self.orders = make_orders_machine()

    def apply(self, command: bytes) -> bytes:
        return self._part(command).apply(command)

    def query(self, query: bytes) -> bytes:
        return self._part(query).query(query)

    def snapshot(self) -> bytes:
        snapshot = _Snapshot(self.configuration.snapshot(), self.orders.snapshot())
        return msgspec.msgpack.encode(snapshot)

    def restore(self, snapshot: bytes) -> None:
        parts = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        self.configuration.restore(parts.configuration)
        self.orders.restore(parts.orders)

    def _part(self, message: bytes) -> StateMachine:
        return self.orders if is_orders_message(message) else self.configuration
