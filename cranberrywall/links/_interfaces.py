"""Define what the other packages use of the streams between processes."""

from collections.abc import Awaitable, Callable
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

from result import Result

from cranberrywall.errors import Refusal

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")


class Method(Generic[RequestT, ReplyT]):
    """Name one call between processes, with the types of its request and its reply.

    A handler runs to its end, because one that is stopped between two steps can leave a file
    and the memory at odds. Where ``is_cancellable`` it is cancelled instead once nobody waits
    for it: at the call's deadline, when the caller gives up, and when the connection ends.
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
    """Identify the authenticated process at the other end: host, place, incarnation."""

    host: str
    place: str
    incarnation: int


Handler = Callable[[RequestT, Peer], Awaitable[Result[ReplyT, Refusal]]]


class Caller(Protocol):
    """Call other processes."""

    async def call(
        self,
        address: str,
        method: Method[RequestT, ReplyT],
        request: RequestT,
        timeout: float,
    ) -> Result[ReplyT, Refusal]:
        """Send ``request`` to the process that listens at ``address``.

        ``timeout`` is in seconds and travels with the call, so that the peer sends no answer
        that nobody waits for, and stops a cancellable method. ``Err`` is ``UNREACHABLE``
        when nothing was sent, ``TIMEOUT`` when the peer may have acted, or the peer's own
        refusal.
        """
        ...


class Server(Protocol):
    """Answer calls from other processes."""

    def register(self, method: Method[Any, Any], handler: Handler[Any, Any]) -> None:
        """Answer ``method`` by ``handler``; a second handler for a name is an error."""
        ...


class LinkServer(Server, Protocol):
    """Listen for the system's other processes."""

    @property
    def address(self) -> str:
        """Return ``host:port`` as bound once started."""
        ...

    async def start(self) -> None:
        """Listen, or raise ``OSError``; handlers may be registered before and after."""
        ...

    async def close(self) -> None:
        """Stop listening and close all connections; calls in progress are cancelled."""
        ...

    def state(self) -> dict[str, Any]:
        """Return peers and counts for the state dump."""
        ...


class LinkCaller(Caller, Protocol):
    """Own the connections to the processes called."""

    async def close(self) -> None:
        """Close all connections; calls in progress get their refusal."""
        ...

    def state(self) -> dict[str, Any]:
        """Return peers and counts for the state dump."""
        ...
