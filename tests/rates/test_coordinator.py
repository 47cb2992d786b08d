"""Give permits to hosts that ask, within a rate, by rank and evenly."""

import asyncio
import random

from cranberrywall.hosts import HostState, HostView
from cranberrywall.rates import PermitDemand, PermitReply, PermitRequest, RateTable, RequestedTarget
from cranberrywall.rates._coordinator import Coordinator
from cranberrywall.rates._reach import LOST_S, Reach
from cranberrywall.targets import TargetIncarnation, make_targets
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.spread import MemorySpread

START = TargetIncarnation("t-1", 1)
MOST_BEYOND = 3
WINDOW_S = 4.0


def make() -> Coordinator:
    clock = VirtualClock()
    rates = RateTable("entry-1", make_targets(), MemorySpread(), clock)
    return Coordinator(rates, lambda now: 1.0, clock, random.Random(1))


def request(
    *wants: PermitDemand, wait_s: float = 0.0, per_s: float = 1.0, max_wait_s: float = 0.0
) -> PermitRequest:
    asked = RequestedTarget(START, 1, per_s)
    return PermitRequest("service", "ledger", (asked,), wants, wait_s, max_wait_s)


def want(workspace: str = "desk", rank: int = 1, requests: int = 1) -> PermitDemand:
    return PermitDemand(rank, workspace, requests)


async def take_all(
    coordinator: Coordinator, seconds: float, asked: PermitRequest, host: str = "entry-1"
) -> list[tuple[float, str]]:
    """Ask without a pause, and return when permits came, and for whom."""
    loop = asyncio.get_running_loop()
    taken = []
    while loop.time() < seconds:
        reply = await coordinator.answer(host, asked)
        taken += [(loop.time(), permit.workspace) for permit in reply.permits]
        await asyncio.sleep(0.002)
    return taken


def most_in_window(times: list[float]) -> int:
    return max(sum(begin <= at < begin + WINDOW_S for at in times) for begin in times)


def test_hosts_that_all_ask_get_the_rate_and_no_more():
    async def story() -> None:
        for per_s in (0.5, 1.0, 10.0, 200.0):
            coordinator = make()
            asked = request(want(requests=5), wait_s=0.25, per_s=per_s)
            until = asyncio.get_running_loop().time() + 40.0
            taken = await asyncio.gather(
                *(take_all(coordinator, until, asked, f"entry-{n}") for n in range(8))
            )
            times = sorted(at for host in taken for at, _ in host)
            assert most_in_window(times) <= WINDOW_S * per_s + MOST_BEYOND
            assert len(times) >= 0.9 * 40.0 * per_s

    run_virtual(story())


def test_those_that_can_go_nowhere_else_go_first():
    """Requests in passing come by the hundred, and those that wait must not starve beside them."""

    async def story() -> None:
        coordinator = make()
        passing = take_all(coordinator, 20.0, request(want()), "entry-1")
        waiting = take_all(coordinator, 20.0, request(want(), wait_s=0.25), "entry-2")
        in_passing, in_turn = await asyncio.gather(passing, waiting)
        assert len(in_turn) >= 17
        assert len(in_passing) <= 2

    run_virtual(story())


def test_better_ranks_go_first_and_workspaces_in_turn():
    async def story() -> None:
        coordinator = make()
        crowd = request(want("crowd", requests=500), wait_s=0.25, per_s=10.0)
        desk = request(want("desk"), wait_s=0.25, per_s=10.0)
        given = await asyncio.gather(
            take_all(coordinator, 10.0, crowd, "entry-1"),
            take_all(coordinator, 10.0, desk, "entry-2"),
        )
        assert abs(len(given[0]) - len(given[1])) <= 6
        urgent = request(want("desk", rank=0), wait_s=0.25, per_s=10.0)
        later = await asyncio.gather(
            take_all(coordinator, 20.0, crowd, "entry-1"),
            take_all(coordinator, 20.0, urgent, "entry-2"),
        )
        assert len(later[0]) <= 4 < len(later[1])

    run_virtual(story())


def test_the_expected_wait_grows_by_one_with_each_other_workspace_that_waits():
    """A caller with a thousand waiting must not make the others' requests look hopeless."""

    async def story() -> None:
        coordinator = make()
        crowd = coordinator.answer("entry-1", request(want("crowd", requests=1000), wait_s=0.25))
        waits = asyncio.create_task(crowd)
        await asyncio.sleep(0.01)
        desk = await coordinator.answer("entry-2", request(want("desk")))
        more = await coordinator.answer("entry-2", request(want("crowd")))
        assert 1.0 < desk.waits_s[0] < 4.0
        assert more.waits_s[0] == 600.0
        await waits

    run_virtual(story())


def test_requests_that_were_told_to_wait_count_before_their_host_says_so():
    """Twenty requests come within a millisecond; not all of them can wait for the next permit."""

    async def story() -> None:
        coordinator = make()
        replies: list[PermitReply] = []
        for _ in range(20):
            asked = request(want(), max_wait_s=4.0)
            replies.append(await coordinator.answer("entry-1", asked))
        waits = [reply.waits_s[0] for reply in replies]
        assert sum(wait <= 4.0 for wait in waits) in (2, 3, 4)

    run_virtual(story())


def test_a_permit_that_comes_back_goes_to_another():
    async def story() -> None:
        coordinator = make()
        await coordinator.answer("entry-1", request(want()))
        await asyncio.sleep(2.0)
        taken = await coordinator.answer("entry-1", request(want()))
        assert len(taken.permits) == 1
        none = await coordinator.answer("entry-2", request(want()))
        back = PermitRequest("service", "ledger", (), (), 0.0, returned=(START,))
        await coordinator.answer("entry-1", back)
        again = await coordinator.answer("entry-2", request(want()))
        assert (len(none.permits), len(again.permits)) == (0, 1)

    run_virtual(story())


def test_a_rate_of_none_is_tried_once_in_a_while():
    async def story() -> None:
        coordinator = make()
        asked = request(want(), wait_s=0.25, per_s=0.0)
        taken = await take_all(coordinator, 60.0, asked)
        assert 5 <= len(taken) <= 6

    run_virtual(story())


class Views:
    def __init__(self, hosts: int) -> None:
        self.state_by_host = {f"entry-{n}": HostState.ALIVE for n in range(hosts)}

    def __call__(self) -> list[HostView]:
        return [
            HostView(host, "p", host, host, 1, state, 0.0)
            for host, state in self.state_by_host.items()
        ]


def test_each_side_of_a_cut_keeps_to_its_part_until_the_larger_one_takes_all():
    views = Views(7)
    reach = Reach(views)
    assert reach.share(0.0) == 1.0
    views.state_by_host["entry-0"] = HostState.SUSPECT
    assert reach.share(1.0) == 6 / 7
    views.state_by_host["entry-0"] = HostState.DEAD
    assert reach.share(1.0 + LOST_S) == 1.0
    views.state_by_host["entry-0"] = HostState.ALIVE
    assert reach.share(30.0) == 1.0


def test_the_smaller_side_keeps_to_its_part_for_as_long_as_the_cut_lasts():
    views = Views(7)
    reach = Reach(views)
    reach.share(0.0)
    for number in range(6):
        views.state_by_host[f"entry-{number}"] = HostState.DEAD
    assert reach.share(1.0) == 1 / 7
    assert reach.share(600.0) == 1 / 7


def test_a_host_that_said_that_it_leaves_takes_no_part_with_it():
    views = Views(3)
    reach = Reach(views)
    reach.share(0.0)
    views.state_by_host["entry-0"] = HostState.LEAVING
    assert reach.share(1.0) == 1.0
    views.state_by_host["entry-0"] = HostState.DEAD
    assert reach.share(2.0) == 1.0
