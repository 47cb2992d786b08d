"""Bring large changes in force over hosts' own lines, which are thin."""

from measurements._confirmed_fleet import (
    CONTROL_BYTES_PER_S,
    ENTRY_BYTES_PER_S,
    ConfirmedFleet,
    Shape,
)
from measurements.confirmed_changes import with_routes
from tests.fakes.clock import run_virtual

IN_FORCE_S = 1.0
"""A confirmed change is in force at every host in touch within this, in seconds."""

ROUTES = 1400


def test_many_routes_at_once_are_in_force_in_time() -> None:
    """Operators add 1,400 routes. Hosts go on deciding without them for more than two seconds.

    Nobody is lost or slow. Hosts take each other for dead for a moment and back again. Cause: each
    hands all the routes on to several others over its line of 5 Mbit/s, where probes and answers
    wait behind them. Proved by the bytes that go out at the busiest host in the second after.
    """

    async def story() -> None:
        shape = Shape(20, 3, ENTRY_BYTES_PER_S, CONTROL_BYTES_PER_S)
        fleet = ConfirmedFleet(shape, seed=1)
        await fleet.start()
        suspected = sum(suspicions(fleet))
        confirmed_at = await fleet.publish(with_routes(ROUTES))
        revision = fleet.revision
        await fleet.clock.sleep(confirmed_at + IN_FORCE_S - fleet.clock.now())
        assert {entry.configuration.revision for entry in fleet.entries} == {revision}
        await fleet.clock.sleep(2.0)
        assert sum(suspicions(fleet)) == suspected
        await fleet.stop()

    run_virtual(story())


def suspicions(fleet: ConfirmedFleet) -> list[int]:
    """Return how often each host suspected another."""
    return [entry.connections.membership.state()["suspicions"] for entry in fleet.entries]
