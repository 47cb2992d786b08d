"""Define the interfaces to the outside: time, network, files and chance."""

import ssl
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol, TypeVar, runtime_checkable

T = TypeVar("T")


class Clock(Protocol):
    """Give the present time."""

    def now(self) -> float:
        """Return monotonic seconds; only differences mean anything."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch; it may jump either way."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""
        ...


class Reader(Protocol):
    """Read bytes from a connection."""

    async def readexactly(self, count: int) -> bytes:
        """Return ``count`` bytes, or raise ``asyncio.IncompleteReadError``."""
        ...


class Writer(Protocol):
    """Write bytes to a connection."""

    def write(self, data: bytes) -> None:
        """Queue ``data``."""
        ...

    async def drain(self) -> None:
        """Wait until the peer keeps up; raise ``ConnectionError`` when it is gone."""
        ...

    def close(self) -> None:
        """Close both directions."""
        ...


@runtime_checkable
class CertifiedWriter(Protocol):
    """Tell what the certificate at the other end of a connection proves.

    A writer of a network without TLS need not have this.
    """

    def peer_hosts(self) -> frozenset[str] | None:
        """Return the host names of the other's certificate; ``None`` without TLS."""
        ...


class StreamContexts(Protocol):
    """Give the TLS contexts for connections that begin now."""

    def server(self) -> ssl.SSLContext:
        """Return the context to listen with; it lasts as long as the listener."""
        ...

    def client(self) -> ssl.SSLContext:
        """Return the context to dial with, for one connection."""
        ...


OnConnect = Callable[[Reader, Writer], Awaitable[None]]


class Listener(Protocol):
    """Accept connections."""

    @property
    def address(self) -> str:
        """Return ``host:port`` as bound; port 0 has become the real one."""
        ...

    async def close(self) -> None:
        """Stop accepting."""
        ...


class Network(Protocol):
    """Dial and listen; addresses are ``host:port`` with an IP number."""

    async def dial(self, address: str, timeout: float) -> tuple[Reader, Writer]:
        """Connect, or raise ``OSError`` (``TimeoutError`` after ``timeout`` seconds)."""
        ...

    async def listen(self, address: str, on_connect: OnConnect) -> Listener:
        """Call ``on_connect`` in a task of its own for each connection."""
        ...


class AppendFile(Protocol):
    """Append to one file; bytes last only once ``sync`` has returned."""

    def append(self, data: bytes) -> None:
        """Write ``data`` at the end, or raise ``OSError``."""
        ...

    def sync(self) -> None:
        """Make all that was appended durable, or raise ``OSError``."""
        ...

    def close(self) -> None:
        """Close the file; it does not sync."""
        ...


class Storage(Protocol):
    """Keep files under one data folder; names are relative with ``/`` between parts.

    All calls block and raise ``OSError`` on failure; run them with ``run_blocking``
    where the event loop must not wait.
    """

    def names(self, folder: str) -> Sequence[str]:
        """Return the sorted names in ``folder`` (files only); empty where there is none."""
        ...

    def read(self, name: str) -> bytes | None:
        """Return the file's bytes, or ``None`` where there is no such file."""
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Write beside, sync, rename over ``name`` and sync the folder: all or nothing."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file and sync the folder; a missing file is no error."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes and sync it."""
        ...

    def open_append(self, name: str) -> AppendFile:
        """Open for appending; a new file's folder entry is synced before the return."""
        ...

    async def run_blocking(self, work: Callable[[], T]) -> T:
        """Run ``work`` off the event loop, in the order of the calls."""
        ...


class Random(Protocol):
    """Draw random numbers; ``random.Random`` satisfies it."""

    def random(self) -> float:
        """Return a float in [0, 1)."""
        ...

    def uniform(self, a: float, b: float) -> float:
        """Return a float between ``a`` and ``b``."""
        ...

    def getrandbits(self, k: int, /) -> int:
        """Return an int of ``k`` random bits."""
        ...

    def randrange(self, start: int, stop: int) -> int:
        """Return an int in [start, stop)."""
        ...


class Runtime(NamedTuple):
    """Bundle what every program's factory takes.

    ``storage`` is ``None`` on a host without a disk.
    """

    clock: Clock
    network: Network
    random: Random
    storage: Storage | None
