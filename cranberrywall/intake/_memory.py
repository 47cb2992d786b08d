"""Memory of requests that a process holds, over all of its callers' connections."""

from collections import OrderedDict
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple, Protocol

MEMORY_SHARE = 0.25
"""Share of the free memory at the start that requests may take as they arrive.

Each is copied while it is decoded and while it is sent to a target, and the process grows by other
uses."""

DEFAULT_REQUEST_BYTES = 256 * 1024 * 1024
"""Maximum size of all requests together where the memory of the process is not limited."""

MIN_REQUEST_BYTES = 12 * 1024 * 1024
"""Minimum of that size, so that a single request of the largest size is served."""

SMALL_BYTES = 64 * 1024
"""Requests up to this size may use memory that larger ones leave to them."""

SMALL_SHARE = 0.25
"""Share of the memory that is left to small requests."""

RESERVED_FDS = 200
"""Descriptors that the process needs for files."""

CONNECTION_SHARE = 0.6
"""Share of the other descriptors that callers may use; the rest is for targets and hosts."""


class IntakeLimits(NamedTuple):
    """Limits of what callers may take of a process.

    ``request_bytes`` limits the sum of all requests. ``connections`` limits the number of
    connections, ``None`` if they are not limited.
    """

    request_bytes: int
    connections: int | None


def make_limits(memory_bytes: int, used_bytes: int, max_fds: int) -> IntakeLimits:
    """Return the limits of a process that uses ``used_bytes`` of its ``memory_bytes``.

    ``memory_bytes`` and ``max_fds`` are 0 if they are not limited.
    """
    request_bytes = DEFAULT_REQUEST_BYTES
    if memory_bytes > 0:
        free_bytes = memory_bytes - used_bytes
        request_bytes = max(MIN_REQUEST_BYTES, int(MEMORY_SHARE * free_bytes))
    connections = None
    if max_fds > 0:
        connections = max(1, int(CONNECTION_SHARE * (max_fds - RESERVED_FDS)))
    return IntakeLimits(request_bytes, connections)


class Limit(StrEnum):
    """Limit that was exceeded."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


class Connection(Protocol):
    """Connection of a caller."""

    @property
    def held_bytes(self) -> int:
        """Return the size of the requests that are held for it, in bytes."""
        ...

    @property
    def is_evictable(self) -> bool:
        """Return false if all that it holds is one request that has arrived completely."""
        ...

    def evict(self, limit: Limit) -> None:
        """Refuse its incomplete request, or close it if it has none; ``limit`` was exceeded."""
        ...


class IntakeMemory:
    """Limit the memory of all requests, and the number of connections.

    If a limit is exceeded, connections are evicted whose requests are incomplete, or that sent
    requests ahead: those that hold most first, and of equal ones the one that has received nothing
    for the longest time. Callers that stop short of the end of a request thus make room themselves.
    A single complete request is never evicted, as a target may run it.
    """

    def __init__(self, limits: IntakeLimits) -> None:
        self._limits = limits
        # In the order in which they last received something.
        self._connections: OrderedDict[Connection, None] = OrderedDict()
        self.held_bytes = 0
        self.evicted: dict[str, int] = dict.fromkeys(Limit, 0)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def add_connection(self, connection: Connection) -> None:
        """Add a new connection; another one is evicted if there are too many."""
        self._connections[connection] = None
        limit = self._limits.connections
        if limit is None or len(self._connections) <= limit:
            return
        victim = next(self._evictable(), connection)
        self._evict(victim, Limit.CONNECTIONS)

    def remove_connection(self, connection: Connection) -> None:
        """Remove a connection that is closed, and what it holds."""
        if connection in self._connections:
            del self._connections[connection]
            self.held_bytes -= connection.held_bytes

    def add_bytes(self, connection: Connection, size: int) -> None:
        """Record ``size`` bytes that ``connection`` received and holds; evict others if needed."""
        if connection not in self._connections:
            return
        self._connections.move_to_end(connection)
        self.held_bytes += size
        self._make_room()

    def release_bytes(self, connection: Connection, size: int) -> None:
        """Record that ``connection`` holds ``size`` bytes less."""
        if connection in self._connections:
            self.held_bytes -= size

    def _make_room(self) -> None:
        large_limit = (1.0 - SMALL_SHARE) * self._limits.request_bytes
        while self.held_bytes > large_limit:
            victim = max(self._evictable(), key=lambda one: one.held_bytes, default=None)
            if victim is None:
                return
            is_small = victim.held_bytes <= SMALL_BYTES
            if is_small and self.held_bytes <= self._limits.request_bytes:
                return
            if not victim.held_bytes:
                return
            self._evict(victim, Limit.MEMORY)

    def _evict(self, victim: Connection, limit: Limit) -> None:
        self.evicted[limit] += 1
        self.remove_connection(victim)
        victim.evict(limit)

    def _evictable(self) -> Iterator[Connection]:
        return (one for one in self._connections if one.is_evictable)
