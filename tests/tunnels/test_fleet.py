"""Fleets of which many hosts lose their paths to all targets, under many seeds."""

import os
import random

import pytest

from tests.fakes.clock import run_virtual
from tests.tunnels.fleet import Fleet, Reach, Result

SEEDS = range(int(os.environ.get("TUNNEL_SEEDS", "20")))
"""Set TUNNEL_SEEDS to play more fleets."""

CUT_AT_S, HEALED_AT_S, END_S = 2.0, 8.0, 10.0
SETTLED_S = 1.0
"""Time after the start of a partition from which callers must be served as elsewhere."""

MIN_SERVED_SHARE = 0.95
"""Share of the requests at partitioned hosts that must be served, of the others' share."""

MAX_EXTRA_S = 0.05
"""Time that a connection of a partitioned host may take beyond the others', in seconds."""

MAX_REFUSAL_S = 0.1
"""Time in which a host must know that no host reaches any target that refuses connections."""


def choose_cut_hosts(fleet: Fleet, source: random.Random) -> list[str]:
    """Return some hosts, those of a place, or all but two."""
    hosts = list(fleet.place_by_host)
    kind = source.choice(["some", "place", "most"])
    if kind == "place" and len(set(fleet.place_by_host.values())) > 1:
        return [host for host in hosts if fleet.place_by_host[host] == "place-0"]
    count = len(hosts) - 2 if kind == "most" else source.randint(1, max(1, len(hosts) // 2))
    return source.sample(hosts, max(1, count))


async def play(fleet: Fleet, cut: list[str], reach: Reach, per_s: float) -> None:
    await fleet.run(CUT_AT_S, per_s)
    fleet.cut(cut, reach)
    await fleet.run(HEALED_AT_S, per_s)
    fleet.reach.clear()
    await fleet.run(END_S, per_s)
    fleet.close()


def served_share(results: list[Result]) -> float:
    return sum(result.seconds is not None for result in results) / max(1, len(results))


def late_share(results: list[Result]) -> float:
    slow = [result for result in results if (result.seconds or 0.0) > MAX_EXTRA_S]
    return len(slow) / max(1, len(results))


@pytest.mark.parametrize("reach", [Reach.REFUSED, Reach.HUNG])
@pytest.mark.parametrize("seed", SEEDS)
def test_callers_of_partitioned_hosts_are_served_as_those_of_the_others(
    seed: int, reach: Reach
) -> None:
    """Guards against a partition of some, all hosts of a place, or most hosts from all targets."""
    source = random.Random(seed)
    hosts = source.randint(3, 40)
    fleet = Fleet(hosts, source.randint(1, 4), source.randint(2, 40), seed)
    cut = choose_cut_hosts(fleet, source)
    run_virtual(play(fleet, cut, reach, per_s=6.0 * hosts))
    settled = [r for r in fleet.results if CUT_AT_S + SETTLED_S <= r.at < HEALED_AT_S]
    there = [result for result in settled if result.host in cut]
    elsewhere = [result for result in settled if result.host not in cut]
    assert served_share(there) >= MIN_SERVED_SHARE * served_share(elsewhere)
    assert late_share(there) <= 1 - MIN_SERVED_SHARE
    healed = [result for result in fleet.results if result.at >= HEALED_AT_S + SETTLED_S]
    assert served_share(healed) == 1.0
    assert late_share(healed) == 0.0


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_are_refused_at_once_if_no_host_reaches_a_target(seed: int) -> None:
    """Guards against asking neighbours for targets that are down for all hosts."""
    source = random.Random(seed)
    fleet = Fleet(source.randint(3, 20), 3, source.randint(2, 4), seed)

    async def play_outage() -> list[float]:
        fleet.fail_targets(Reach.REFUSED)
        times = []
        for _ in range(20):
            started_at = fleet.now()
            await fleet.request(source.choice(list(fleet.place_by_host)))
            times.append(fleet.now() - started_at)
        fleet.close()
        return times

    assert max(run_virtual(play_outage())) < MAX_REFUSAL_S
