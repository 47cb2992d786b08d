"""Test that permits are issued to hosts within a rate, by rank and evenly."""

import asyncio
import itertools
import random

from cranberrywall.hosts import HostState, HostView
from cranberrywall.rates import PermitDemand, PermitReply, PermitRequest, RateTable, RequestedTarget
from cranberrywall.rates._coordinator import Coordinator
from cranberrywall.rates._ranking import coordinator_of
from cranberrywall.rates._reachable_share import (
    LOST_HOST_TTL_S,
    MAX_CHECK_GAP_S,
    ReachableShare,
)
from cranberrywall.targets import Group, TargetIncarnation, make_targets
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.spread import MemorySpread

INCARNATION = TargetIncarnation("t-1", 1)
MAX_EXCESS = 3
WINDOW_S = 4.0


def make() -> Coordinator:
    clock = VirtualClock()
    rates = RateTable("entry-1", make_targets(), MemorySpread(), clock)
    return Coordinator(rates, lambda now: 1.0, clock, random.Random(1))


def request(
    *demands: PermitDemand, wait_s: float = 0.0, per_s: float = 1.0, max_wait_s: float = 0.0
) -> PermitRequest:
    requested = RequestedTarget(INCARNATION, 1, per_s)
    return PermitRequest("service", "ledger", (requested,), demands, wait_s, max_wait_s)


def demand(workspace: str = "desk", rank: int = 1, requests: int = 1) -> PermitDemand:
    return PermitDemand(rank, workspace, requests)


async def take_all(
    coordinator: Coordinator, seconds: float, requested: PermitRequest, host: str = "entry-1"
) -> list[tuple[float, str]]:
    """Request permits without a pause; return when each permit was issued, and its workspace."""
    loop = asyncio.get_running_loop()
    taken = []
    while loop.time() < seconds:
        reply = await coordinator.handle(host, requested)
        taken += [(loop.time(), permit.workspace) for permit in reply.permits]
        await asyncio.sleep(0.002)
    return taken


def max_in_window(times: list[float]) -> int:
    return max(
        sum(window_start <= at < window_start + WINDOW_S for at in times) for window_start in times
    )


def test_hosts_that_all_ask_get_the_rate_and_no_more():
    async def scenario() -> None:
        for per_s in (0.5, 1.0, 10.0, 200.0):
            coordinator = make()
            requested = request(demand(requests=5), wait_s=0.25, per_s=per_s)
            until = asyncio.get_running_loop().time() + 40.0
            taken = await asyncio.gather(
                *(take_all(coordinator, until, requested, f"entry-{n}") for n in range(8))
            )
            times = sorted(at for host in taken for at, _ in host)
            assert max_in_window(times) <= WINDOW_S * per_s + MAX_EXCESS
            assert len(times) >= 0.9 * 40.0 * per_s

    run_virtual(scenario())


def test_demands_that_can_use_no_other_target_go_first():
    """Hundreds of requests that can use other targets must not starve those that wait."""

    async def scenario() -> None:
        coordinator = make()
        immediate = take_all(coordinator, 20.0, request(demand()), "entry-1")
        waiting = take_all(coordinator, 20.0, request(demand(), wait_s=0.25), "entry-2")
        issued_immediately, issued_waiting = await asyncio.gather(immediate, waiting)
        assert len(issued_waiting) >= 17
        assert len(issued_immediately) <= 2

    run_virtual(scenario())


def test_better_ranks_go_first_and_workspaces_in_turn():
    async def scenario() -> None:
        coordinator = make()
        busy = request(demand("crowd", requests=500), wait_s=0.25, per_s=10.0)
        desk = request(demand("desk"), wait_s=0.25, per_s=10.0)
        given = await asyncio.gather(
            take_all(coordinator, 10.0, busy, "entry-1"),
            take_all(coordinator, 10.0, desk, "entry-2"),
        )
        assert abs(len(given[0]) - len(given[1])) <= 6
        urgent = request(demand("desk", rank=0), wait_s=0.25, per_s=10.0)
        later = await asyncio.gather(
            take_all(coordinator, 20.0, busy, "entry-1"),
            take_all(coordinator, 20.0, urgent, "entry-2"),
        )
        assert len(later[0]) <= 4 < len(later[1])

    run_virtual(scenario())


def test_the_expected_wait_grows_by_one_with_each_other_workspace_that_waits():
    """A workspace with a thousand waiting requests must not cause refusals for the others."""

    async def scenario() -> None:
        coordinator = make()
        busy = coordinator.handle("entry-1", request(demand("crowd", requests=1000), wait_s=0.25))
        waits = asyncio.create_task(busy)
        await asyncio.sleep(0.01)
        desk = await coordinator.handle("entry-2", request(demand("desk")))
        more = await coordinator.handle("entry-2", request(demand("crowd")))
        assert 1.0 < desk.waits_s[0] < 4.0
        assert more.waits_s[0] == 600.0
        await waits

    run_virtual(scenario())


def test_requests_that_were_told_to_wait_count_before_their_host_reports_them():
    """Twenty requests arrive within a millisecond; not all of them can wait for the next permit."""

    async def scenario() -> None:
        coordinator = make()
        replies: list[PermitReply] = []
        for _ in range(20):
            requested = request(demand(), max_wait_s=4.0)
            replies.append(await coordinator.handle("entry-1", requested))
        waits = [reply.waits_s[0] for reply in replies]
        assert sum(wait <= 4.0 for wait in waits) in (2, 3, 4)

    run_virtual(scenario())


def test_a_returned_permit_goes_to_another_host():
    async def scenario() -> None:
        coordinator = make()
        await coordinator.handle("entry-1", request(demand()))
        await asyncio.sleep(2.0)
        taken = await coordinator.handle("entry-1", request(demand()))
        assert len(taken.permits) == 1
        none = await coordinator.handle("entry-2", request(demand()))
        back = PermitRequest("service", "ledger", (), (), 0.0, returned=(INCARNATION,))
        await coordinator.handle("entry-1", back)
        again = await coordinator.handle("entry-2", request(demand()))
        assert (len(none.permits), len(again.permits)) == (0, 1)

    run_virtual(scenario())


def test_a_rate_of_zero_is_tried_at_intervals():
    async def scenario() -> None:
        coordinator = make()
        requested = request(demand(), wait_s=0.25, per_s=0.0)
        taken = await take_all(coordinator, 60.0, requested)
        assert 5 <= len(taken) <= 6

    run_virtual(scenario())


class Views:
    def __init__(self, hosts: int) -> None:
        self.state_by_host = {f"entry-{n}": HostState.ALIVE for n in range(hosts)}

    def __call__(self) -> list[HostView]:
        return [
            HostView(host, "p", host, host, 1, state, 0.0)
            for host, state in self.state_by_host.items()
        ]


def group_issued_by(host: str, views: Views) -> Group:
    """Return a group whose permits are issued by ``host`` while all hosts are alive."""
    by_host = {view.host: view for view in views()}
    groups = (Group("service", f"service-{number}") for number in itertools.count())
    hosts = by_host.values()
    return next(group for group in groups if coordinator_of(group, hosts) is by_host[host])


def test_each_side_of_a_partition_keeps_to_its_share_until_the_larger_one_uses_all():
    views = Views(7)
    reachable, group = ReachableShare("entry-1", views), group_issued_by("entry-0", views)
    assert reachable.share(group, 0.0) == 1.0
    views.state_by_host["entry-0"] = HostState.SUSPECT
    assert reachable.share(group, 1.0) == 6 / 7
    views.state_by_host["entry-0"] = HostState.DEAD
    assert reachable.share(group, 1.0 + LOST_HOST_TTL_S) == 1.0
    views.state_by_host["entry-0"] = HostState.ALIVE
    assert reachable.share(group, 30.0) == 1.0


def run_for(reachable: ReachableShare, seconds: int) -> None:
    for second in range(seconds + 1):
        reachable.check(float(second))


def test_a_host_that_issued_before_a_loss_goes_on_with_the_whole_rate():
    """A quarter of a rate is not used for 5 s after each loss of a host that issues nothing."""
    views = Views(4)
    reachable, group = ReachableShare("entry-1", views), group_issued_by("entry-1", views)
    run_for(reachable, 10)
    views.state_by_host["entry-0"] = HostState.SUSPECT
    assert reachable.share(group, 11.0) == 1.0
    views.state_by_host["entry-2"] = HostState.DEAD
    assert reachable.share(group, 12.0) == 1 / 2


def test_a_host_that_was_frozen_while_it_issued_does_not_go_on_with_the_whole_rate():
    """Two hosts issue the whole rate: the one that wakes, and the one that took its place."""
    views = Views(4)
    reachable, group = ReachableShare("entry-1", views), group_issued_by("entry-1", views)
    run_for(reachable, 10)
    views.state_by_host["entry-0"] = HostState.SUSPECT
    assert reachable.share(group, 10.0 + MAX_CHECK_GAP_S + 1.0) == 3 / 4


def test_a_host_that_has_just_started_counts_each_lost_host():
    """Two hosts issue the whole rate: the new one, and the one that issued before it was there."""
    views = Views(4)
    reachable, group = ReachableShare("entry-1", views), group_issued_by("entry-1", views)
    run_for(reachable, 3)
    views.state_by_host["entry-0"] = HostState.SUSPECT
    assert reachable.share(group, 4.0) == 3 / 4


def test_the_smaller_side_keeps_to_its_share_for_as_long_as_the_partition_lasts():
    views = Views(7)
    reachable, group = ReachableShare("entry-6", views), group_issued_by("entry-6", views)
    run_for(reachable, 10)
    for number in range(6):
        views.state_by_host[f"entry-{number}"] = HostState.DEAD
    assert reachable.share(group, 11.0) == 1 / 7
    assert reachable.share(group, 600.0) == 1 / 7


def test_a_host_that_announced_that_it_leaves_keeps_no_share():
    views = Views(3)
    reachable, group = ReachableShare("entry-1", views), group_issued_by("entry-0", views)
    reachable.share(group, 0.0)
    views.state_by_host["entry-0"] = HostState.LEAVING
    assert reachable.share(group, 1.0) == 1.0
    views.state_by_host["entry-0"] = HostState.DEAD
    assert reachable.share(group, 2.0) == 1.0
