"""Memory of requests over all connections, and their number."""

import pytest

from cranberrywall.intake._memory import (
    DEFAULT_REQUEST_BYTES,
    MIN_REQUEST_BYTES,
    SMALL_BYTES,
    IntakeLimits,
    IntakeMemory,
    Limit,
    make_limits,
)

LIMIT = 1_000_000


class Connection:
    """Connection that remembers why it was evicted."""

    def __init__(self, memory: IntakeMemory, is_evictable: bool = True) -> None:
        self.is_evictable = is_evictable
        self.held_bytes = 0
        self.evicted_for: Limit | None = None
        self._memory = memory
        memory.add_connection(self)

    def receive(self, size: int) -> None:
        self.held_bytes += size
        self._memory.add_bytes(self, size)

    def evict(self, limit: Limit) -> None:
        self.evicted_for = limit
        self.held_bytes = 0


def make_memory(connections: int | None = None) -> IntakeMemory:
    return IntakeMemory(IntakeLimits(LIMIT, connections))


def test_the_connection_that_holds_most_is_evicted() -> None:
    memory = make_memory()
    small, large, last = (Connection(memory) for _ in range(3))
    small.receive(200_000)
    large.receive(400_000)
    last.receive(200_000)
    assert [one.evicted_for for one in (small, large, last)] == [None, Limit.MEMORY, None]
    assert memory.held_bytes == 400_000


def test_of_equal_connections_the_one_that_waits_longest_is_evicted() -> None:
    memory = make_memory()
    first, second, third = (Connection(memory) for _ in range(3))
    for one in (second, first, third):
        one.receive(300_000)
    assert [one.evicted_for for one in (first, second, third)] == [None, Limit.MEMORY, None]


def test_a_complete_request_is_not_evicted() -> None:
    """Guards against a request that is dropped although its target runs it."""
    memory = make_memory()
    complete = Connection(memory, is_evictable=False)
    complete.receive(900_000)
    arriving = Connection(memory)
    arriving.receive(SMALL_BYTES + 1)
    assert (complete.evicted_for, arriving.evicted_for) == (None, Limit.MEMORY)


def test_small_requests_use_memory_that_large_ones_leave() -> None:
    """Guards against ordinary callers that are refused while large requests are held."""
    memory = make_memory()
    Connection(memory, is_evictable=False).receive(900_000)
    small = Connection(memory)
    small.receive(1_000)
    assert small.evicted_for is None


def test_small_requests_are_limited_as_well() -> None:
    """Guards against many small requests that no limit applies to."""
    memory = make_memory()
    many = [Connection(memory) for _ in range(40)]
    for one in many:
        one.receive(SMALL_BYTES)
    assert memory.held_bytes <= LIMIT
    assert memory.evicted[Limit.MEMORY] == sum(one.evicted_for is not None for one in many)


def test_memory_is_free_after_a_request() -> None:
    memory = make_memory()
    one = Connection(memory)
    one.receive(500_000)
    memory.release_bytes(one, 500_000)
    one.held_bytes = 0
    memory.remove_connection(one)
    assert (memory.held_bytes, memory.connections) == (0, 0)


def test_the_connection_that_waits_longest_makes_room_for_a_new_one() -> None:
    memory = make_memory(connections=2)
    first, second = Connection(memory), Connection(memory)
    first.receive(10)
    third = Connection(memory)
    assert [one.evicted_for for one in (first, second, third)] == [None, Limit.CONNECTIONS, None]
    assert memory.connections == 2


def test_a_new_connection_is_closed_if_all_others_have_complete_requests() -> None:
    memory = make_memory(connections=1)
    Connection(memory, is_evictable=False)
    new = Connection(memory)
    assert new.evicted_for is Limit.CONNECTIONS


@pytest.mark.parametrize(
    ("memory_bytes", "max_fds", "expected"),
    [
        (0, 0, IntakeLimits(DEFAULT_REQUEST_BYTES, None)),
        (160_000_000, 4100, IntakeLimits(25_000_000, 2340)),
        (61_000_000, 100, IntakeLimits(MIN_REQUEST_BYTES, 1)),
    ],
)
def test_limits_follow_the_process(memory_bytes: int, max_fds: int, expected: IntakeLimits) -> None:
    assert make_limits(memory_bytes, 60_000_000, max_fds) == expected
