"""Interfaces to the system: clock, network, storage and random numbers."""

import ssl
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol, TypeVar, runtime_checkable

T = TypeVar("T")


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> float:
        """Return monotonic time in seconds; only differences between two results are meaningful."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch; the value may jump forward or backward."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for ``seconds``."""
        ...


class Reader(Protocol):
    """Reading side of a connection."""

    async def readexactly(self, count: int) -> bytes:
        """Return exactly ``count`` bytes.

        Raises ``asyncio.IncompleteReadError`` if the connection ends before that.
        """
        ...


class Writer(Protocol):
    """Writing side of a connection."""

    def write(self, data: bytes) -> None:
        """Queue ``data`` for sending."""
        ...

    async def drain(self) -> None:
        """Wait until the send buffer has capacity.

        Raises ``ConnectionError`` if the connection is lost.
        """
        ...

    def close(self) -> None:
        """Close both directions of the connection, once the peer has what was written."""
        ...

    def abort(self) -> None:
        """Close both directions at once; what the peer has not received yet is dropped."""
        ...


@runtime_checkable
class CertifiedWriter(Protocol):
    """Writer that returns the host names in the peer's TLS certificate.

    Writers of a network without TLS need not implement this protocol.
    """

    def peer_hosts(self) -> frozenset[str] | None:
        """Return the host names in the peer's certificate, or ``None`` without TLS."""
        ...


class StreamContexts(Protocol):
    """Source of the current TLS contexts for new connections."""

    def server(self) -> ssl.SSLContext:
        """Return the context for a listener, which uses it until it is closed."""
        ...

    def client(self) -> ssl.SSLContext:
        """Return the context for one outgoing connection."""
        ...


OnConnect = Callable[[Reader, Writer], Awaitable[None]]


class Listener(Protocol):
    """Listening socket that accepts connections."""

    @property
    def address(self) -> str:
        """Return the bound ``host:port``; port 0 is replaced by the assigned port."""
        ...

    async def close(self) -> None:
        """Stop accepting connections."""
        ...


class Network(Protocol):
    """Factory of outgoing connections and listeners.

    Addresses are ``host:port``, and ``host`` is an IP address.
    """

    async def dial(self, address: str, timeout: float) -> tuple[Reader, Writer]:
        """Connect to ``address``.

        Raises ``OSError`` on failure (``TimeoutError`` after ``timeout`` seconds).
        """
        ...

    async def listen(self, address: str, on_connect: OnConnect) -> Listener:
        """Accept connections and call ``on_connect`` in a separate task for each of them."""
        ...


class AppendFile(Protocol):
    """File open for appending; appended bytes are durable only after ``sync`` returns."""

    def append(self, data: bytes) -> None:
        """Write ``data`` at the end of the file; raise ``OSError`` on failure."""
        ...

    def sync(self) -> None:
        """Make all appended bytes durable; raise ``OSError`` on failure."""
        ...

    def close(self) -> None:
        """Close the file without a sync."""
        ...


class Storage(Protocol):
    """Files in one data folder; names are paths relative to it, separated by ``/``.

    All methods but ``run_blocking`` block and raise ``OSError`` on failure. Code that must
    not block the event loop calls them through ``run_blocking``.
    """

    def names(self, folder: str) -> Sequence[str]:
        """Return the sorted names of the files in ``folder``; empty if it does not exist."""
        ...

    def read(self, name: str) -> bytes | None:
        """Return the content of the file, or ``None`` if it does not exist."""
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of the file atomically and durably.

        Writes and syncs a temporary file, renames it to ``name`` and syncs the folder.
        """
        ...

    def remove(self, name: str) -> None:
        """Remove the file and sync its folder; do nothing if the file does not exist."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncate the file to ``size`` bytes and sync it."""
        ...

    def open_append(self, name: str) -> AppendFile:
        """Open the file for appending and create it if it does not exist.

        The folder entry of a new file is durable when the method returns.
        """
        ...

    async def run_blocking(self, work: Callable[[], T]) -> T:
        """Run ``work`` outside the event loop; calls run one at a time, in order."""
        ...


class Random(Protocol):
    """Random number generator; ``random.Random`` implements it."""

    def random(self) -> float:
        """Return a random float in [0, 1)."""
        ...

    def uniform(self, a: float, b: float) -> float:
        """Return a random float between ``a`` and ``b``."""
        ...

    def getrandbits(self, k: int, /) -> int:
        """Return a random integer with ``k`` bits."""
        ...

    def randrange(self, start: int, stop: int) -> int:
        """Return a random integer in [start, stop)."""
        ...


class Runtime(NamedTuple):
    """Clock, network, random numbers and storage that each program is created with.

    ``storage`` is ``None`` on a host without a disk.
    """

    clock: Clock
    network: Network
    random: Random
    storage: Storage | None
