"""Interfaces of calls between processes for the other packages."""

from collections.abc import Awaitable, Callable
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

from result import Result

from cranberrywall.errors import Refusal

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")


class Method(Generic[RequestT, ReplyT]):
    """Name of one call between processes, with the types of its request and its reply.

    By default a handler runs to completion, because a handler that is stopped between two steps
    can leave a file and the memory inconsistent. If ``is_cancellable`` is set, the handler is
    cancelled when no caller waits for it: at the call's deadline, when the caller cancels the
    call, and when the connection ends.
    """

    def __init__(
        self,
        name: str,
        request_type: type[RequestT],
        reply_type: type[ReplyT],
        is_cancellable: bool = False,
    ) -> None:
        self.name = name
        self.request_type = request_type
        self.reply_type = reply_type
        self.is_cancellable = is_cancellable


class Peer(NamedTuple):
    """Identity of the authenticated process at the other end: host, place, incarnation."""

    host: str
    place: str
    incarnation: int


Handler = Callable[[RequestT, Peer], Awaitable[Result[ReplyT, Refusal]]]


class Caller(Protocol):
    """Calls other processes."""

    async def call(
        self,
        address: str,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        timeout: float,
    ) -> Result[ReplyT, Refusal]:
        """Send ``request`` to the process that listens at ``address``.

        ``timeout`` is in seconds and is sent with the call, so that the peer sends no answer
        after it and cancels a cancellable method. ``Err`` is ``UNREACHABLE`` if nothing was
        sent, ``TIMEOUT`` if the peer may have acted, or the peer's own refusal.
        """
        ...


class Server(Protocol):
    """Answers calls from other processes."""

    def register(self, method: Method[Any, Any], handler: Handler[Any, Any]) -> None:
        """Register ``handler`` for ``method``; a second handler for the same name is an error."""
        ...


class LinkServer(Server, Protocol):
    """Server with a listener for the system's other processes."""

    @property
    def address(self) -> str:
        """Return ``host:port``; after ``start`` it is the address that is bound."""
        ...

    async def start(self) -> None:
        """Start to listen; handlers may be registered before and after.

        Raises:
            OSError: the address cannot be bound.
        """
        ...

    async def close(self) -> None:
        """Stop listening and close all connections; calls in progress are cancelled."""
        ...

    def state(self) -> dict[str, Any]:
        """Return peers and counts for the state dump."""
        ...


class LinkCaller(Caller, Protocol):
    """Caller that owns the connections to the processes it calls."""

    async def close(self) -> None:
        """Close all connections; calls in progress return a refusal."""
        ...

    def state(self) -> dict[str, Any]:
        """Return peers and counts for the state dump."""
        ...
