"""Activation of large changes over hosts' network connections of low bandwidth."""

from measurements._confirmed_fleet import (
    CONTROL_BYTES_PER_S,
    ENTRY_BYTES_PER_S,
    ConfirmedFleet,
    Shape,
)
from measurements.confirmed_changes import with_routes
from tests.fakes.clock import run_virtual

ACTIVATION_TIMEOUT_S = 1.0
"""Time within which a confirmed change must be active at all reachable hosts, in seconds."""

ROUTES = 1400


def test_many_routes_at_the_same_time_are_active_in_time() -> None:
    """Operators add 1,400 routes, and hosts serve without them for more than two seconds.

    Although no host is lost or slow, hosts suspect each other briefly. Each host forwards all
    routes to several others over its connection of 5 Mbit/s, and probes and answers wait behind
    them. The bytes that the busiest host sends in the following second confirm this cause.
    """

    async def scenario() -> None:
        shape = Shape(20, 3, ENTRY_BYTES_PER_S, CONTROL_BYTES_PER_S)
        fleet = ConfirmedFleet(shape, seed=1)
        await fleet.start()
        previous_suspicions = sum(suspicions(fleet))
        confirmed_at = await fleet.publish(with_routes(ROUTES))
        revision = fleet.revision
        await fleet.clock.sleep(confirmed_at + ACTIVATION_TIMEOUT_S - fleet.clock.now())
        assert {entry.configuration.revision for entry in fleet.entries} == {revision}
        await fleet.clock.sleep(2.0)
        assert sum(suspicions(fleet)) == previous_suspicions
        await fleet.stop()

    run_virtual(scenario())


def suspicions(fleet: ConfirmedFleet) -> list[int]:
    """Return how often each host suspected another."""
    return [entry.connections.membership.state()["suspicions"] for entry in fleet.entries]
