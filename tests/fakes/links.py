"""Carry calls between the hosts of a test in one process."""

from typing import Any

from result import Err, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Method, Peer


class Switchboard:
    """Know every host's server by address; hosts in ``down`` neither call nor answer.

    ``called`` has the name of the method of each call.
    """

    def __init__(self) -> None:
        self.server_by_address: dict[str, LocalServer] = {}
        self.down: set[str] = set()
        self.called: list[str] = []

    def caller(self, address: str) -> "LocalCaller":
        return LocalCaller(self, address)

    def server(self, address: str) -> "LocalServer":
        self.server_by_address[address] = LocalServer()
        return self.server_by_address[address]


class LocalServer:
    def __init__(self) -> None:
        self.handler_by_name: dict[str, Any] = {}

    def register(self, method: Method[Any, Any], handler: Any) -> None:
        self.handler_by_name[method.name] = handler


class LocalCaller:
    def __init__(self, switchboard: Switchboard, own: str) -> None:
        self._switchboard = switchboard
        self._own = own

    async def call(
        self, address: str, method: Method[Any, Any], request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        board = self._switchboard
        board.called.append(method.name)
        if address in board.down or self._own in board.down:
            return Err(Refusal(ErrorKind.UNREACHABLE, address))
        handler = board.server_by_address[address].handler_by_name[method.name]
        reply: Result[Any, Refusal] = await handler(request, Peer(self._own, "town-hall", 1))
        if address in board.down:
            return Err(Refusal(ErrorKind.TIMEOUT, address))
        return reply
