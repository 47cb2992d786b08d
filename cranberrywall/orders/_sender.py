"""Send orders to engines over HTTP, each committed number at most once."""

import socket
from ssl import SSLContext
from typing import Any, Protocol

import aiohttp

from cranberrywall.orders.messages import Action, Fate
from cranberrywall.runtime import reset_on_close
from cranberrywall.targets import TargetConnector, is_valid_status

DIAL_TIMEOUT_S = 3.0


class OrderSender(Protocol):
    """Carry one order to an engine and wait until it is done."""

    async def send(self, url: str, number: int, action: Action, timeout: float) -> Fate:
        """Send once, and return what became of it.

        ``NEVER_SENT`` only where no byte left; ``UNKNOWN`` where no answer came within
        ``timeout`` seconds or the connection broke. Nothing is sent after the return.
        """
        ...

    async def close(self) -> None:
        """Drop all connections."""
        ...


def make_http_sender(context: SSLContext | None = None) -> OrderSender:
    """Return a sender over aiohttp, which opens its session with the first order.

    ``context`` says which certificates of engines with HTTPS are trusted; ``None`` leaves
    that to the system's authorities.
    """
    return _HttpSender(context)


def order_body(number: int, action: Action) -> dict[str, Any]:
    """Return the JSON that an engine gets.

    >>> order_body(7, Action("load", "letters", "v2"))
    {'number': 7, 'order': 'load', 'model': 'letters', 'version': 'v2'}
    """
    body: dict[str, Any] = {
        "number": number,
        "order": action.kind,
        "model": action.model,
        "version": action.version,
    }
    if action.adapter:
        body["adapter"] = action.adapter
    return body


class _HttpSender:
    def __init__(self, context: SSLContext | None) -> None:
        self._context = context
        self._session: aiohttp.ClientSession | None = None

    async def send(self, url: str, number: int, action: Action, timeout: float) -> Fate:
        limits = aiohttp.ClientTimeout(total=timeout, sock_connect=DIAL_TIMEOUT_S)
        body = order_body(number, action)
        try:
            async with self._open_session().post(
                f"{url}/v1/orders", json=body, timeout=limits, allow_redirects=False
            ) as response:
                return _fate_of(response.status)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Fate.NEVER_SENT
        except (TimeoutError, aiohttp.ClientError):
            return Fate.UNKNOWN

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = TargetConnector(
                force_close=True, socket_factory=_make_socket, ssl=self._context or True
            )
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def _make_socket(address: Any) -> socket.socket:
    # An order must not arrive after its sender is known to be gone.
    family, kind, protocol = address[:3]
    made = socket.socket(family, kind, protocol)
    reset_on_close(made)
    return made


def _fate_of(status: int) -> Fate:
    if not is_valid_status(status):
        return Fate.UNKNOWN
    if status == 409:
        return Fate.REFUSED
    return Fate.DONE if 200 <= status < 300 else Fate.FAILED
