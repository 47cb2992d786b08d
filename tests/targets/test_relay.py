"""Take announcements in at control, and pass them on to entry hosts."""

from typing import Any

from result import Err, Ok, Result

from cranberrywall.control import NotifierAssignment
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Peer
from cranberrywall.targets import HostIncarnation, TargetRelay
from tests.fakes.clock import VirtualClock, run_virtual
from tests.targets.announcements import announce


class Entries:
    """Take announcements at some addresses."""

    def __init__(self) -> None:
        self.reachable = {"a", "b"}
        self.told: list[tuple[str, str, bool]] = []

    async def call(
        self, address: str, method: Any, request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        if address not in self.reachable:
            return Err(Refusal(ErrorKind.UNREACHABLE))
        self.told += [(address, one.target, one.leaving) for one in request.announcements]
        return Ok(None)


def runs_at(*addresses: str) -> list[HostIncarnation]:
    return [HostIncarnation(address, 1) for address in addresses]


def make_relay(entries: Entries) -> TargetRelay:
    return TargetRelay(lambda: runs_at("a", "b"), entries, VirtualClock())


def test_that_a_target_leaves_is_acknowledged_once_an_entry_host_knows() -> None:
    """A target goes away soon after the acknowledgement.

    Were it given while no entry host can be told, they would go on sending requests to it.
    """

    async def story() -> None:
        entries = Entries()
        relay = make_relay(entries)
        assert await relay.announce(announce())
        entries.reachable = set()
        leaving = announce(counter=2, leaving=True)
        assert not await relay.announce(leaving)
        assert not await relay.announce(leaving)
        entries.reachable = {"b"}
        assert await relay.announce(leaving)
        assert ("b", "engine-1", True) in entries.told

    run_virtual(story())


def test_a_target_that_cannot_be_passed_on_yet_is_acknowledged_all_the_same() -> None:
    async def story() -> None:
        entries = Entries()
        entries.reachable = set()
        assert await make_relay(entries).announce(announce())

    run_virtual(story())


def test_a_late_heartbeat_does_not_bring_back_what_left() -> None:
    async def story() -> None:
        entries = Entries()
        relay = make_relay(entries)
        await relay.announce(announce(counter=5, leaving=True))
        told = len(entries.told)
        assert await relay.announce(announce(counter=9))
        assert len(entries.told) == told

    run_virtual(story())


def test_an_announcement_by_another_writer_takes_no_target_from_its_service() -> None:
    """Somebody announces a target that is well, under a service that is not configured.

    Taken in, it would move the target to a service that nobody asks for: its own service would
    lose it until its next heartbeats, and these would count as late.
    """

    async def story() -> None:
        kinds = {"asistent": "engine", "vratar": "service"}
        relay = TargetRelay(lambda: runs_at("a"), Entries(), VirtualClock(), lambda: kinds)
        assert relay.check(announce()) is None
        assert await relay.announce(announce())
        for changes in ({"name": "unheard-of"}, {"name": "vratar"}, {"kind": "service"}):
            assert relay.check(announce(counter=9, **changes)) is not None
            assert relay.check(announce(target="new", **changes)) is not None
        kinds.clear()
        assert relay.check(announce(counter=2)) is None
        assert relay.check(announce(target="new")) is not None

    run_virtual(story())


class SlowEntries(Entries):
    """Take announcements at many addresses; ``silent`` ones answer nothing."""

    def __init__(self, clock: VirtualClock, hosts: int) -> None:
        super().__init__()
        self.clock = clock
        self.addresses = [f"entry-{number:02}" for number in range(hosts)]
        self.silent: set[str] = set()

    async def call(
        self, address: str, method: Any, request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        if address in self.silent:
            await self.clock.sleep(timeout)
            return Err(Refusal(ErrorKind.TIMEOUT))
        await self.clock.sleep(0.002)
        self.told += [(address, one.target, one.leaving) for one in request.announcements]
        return Ok(None)

    def know_that_it_leaves(self) -> set[str]:
        return {address for address, _, leaving in self.told if leaving}


KNOWN_S = 1.0
"""That a target leaves is known at each host in touch within this, in seconds."""


def test_that_a_target_leaves_is_told_to_every_host_however_many_are_lost() -> None:
    """Requests go on to a target that left, for as long as it still answers, and fail then.

    It said so to control, and was acknowledged once one entry host had it. That host, and those
    that it told, lost their power just after. Cause: control tells twelve hosts, once, and counts
    on these to tell the others. Proved by a model of 78 hosts, in which those that lived through
    the loss offered the target 20 s later.
    """

    async def story() -> None:
        clock = VirtualClock()
        entries = SlowEntries(clock, 40)
        relay = TargetRelay(lambda: runs_at(*entries.addresses), entries, clock)
        assert await relay.announce(announce(counter=2, leaving=True))
        await clock.sleep(KNOWN_S)
        assert entries.know_that_it_leaves() == set(entries.addresses)

    run_virtual(story())


def test_a_host_that_could_not_be_told_that_a_target_leaves_is_told_later() -> None:
    """A host comes back from a cut and sends requests to a target that left meanwhile.

    Cause: control tried to tell it for 0.4 s, and never again.
    """

    async def story() -> None:
        clock = VirtualClock()
        entries = SlowEntries(clock, 4)
        relay = TargetRelay(lambda: runs_at(*entries.addresses), entries, clock)
        entries.silent = {"entry-03"}
        assert await relay.announce(announce(counter=2, leaving=True))
        await clock.sleep(10.0)
        assert "entry-03" not in entries.know_that_it_leaves()
        entries.silent = set()
        await clock.sleep(KNOWN_S)
        assert "entry-03" in entries.know_that_it_leaves()

    run_virtual(story())


def test_a_host_that_starts_is_told_which_targets_left_before() -> None:
    """A host is added and hears of a target from one that was cut off as the target left.

    Nobody told it that the target leaves, since it was not there. Cause: control forgets whom it
    told of what as soon as it has told it.
    """

    async def story() -> None:
        clock = VirtualClock()
        entries = SlowEntries(clock, 4)
        relay = TargetRelay(lambda: runs_at(*entries.addresses), entries, clock)
        assert await relay.announce(announce(counter=2, leaving=True))
        await clock.sleep(5.0)
        entries.addresses.append("entry-new")
        await clock.sleep(KNOWN_S)
        assert "entry-new" in entries.know_that_it_leaves()

    run_virtual(story())


class Controls(SlowEntries):
    """Let control hosts call each other, and the entry hosts."""

    def __init__(
        self, clock: VirtualClock, hosts: int, controls: int, shares: bool = False
    ) -> None:
        """With ``shares`` each tells the entry hosts that fall to it, else all."""
        super().__init__(clock, hosts)
        self.relay_by_address: dict[str, TargetRelay] = {}
        names = [f"control-{number}" for number in range(controls)]
        for name in names:
            others = [
                HostIncarnation(other, 1, is_control=True) for other in names if other != name
            ]
            self.relay_by_address[name] = TargetRelay(
                lambda: runs_at(*self.addresses),
                self,
                clock,
                others=lambda others=others: others,  # type: ignore[misc] # bound for each
                tells=(
                    NotifierAssignment(name, lambda: names).tells if shares else lambda links: True
                ),
            )

    async def call(
        self, address: str, method: Any, request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        relay = self.relay_by_address.get(address)
        if relay is None or address in self.silent:
            return await super().call(address, method, request, timeout)
        await self.clock.sleep(0.002)
        return await relay._take_share(request, Peer(address, "town-hall", 1))


def test_what_a_control_host_acknowledged_is_told_by_others_when_it_is_lost() -> None:
    """A target leaves, is acknowledged, and goes on getting requests until it ends.

    The control host that acknowledged it lost its power just after, and with it the one entry host
    that had heard it. Cause: the word of one host, in memory only, was taken for the fleet's.
    """

    async def story() -> None:
        clock = VirtualClock()
        controls = Controls(clock, 20, 5)
        heard_first = controls.addresses[5]
        controls.silent = set(controls.addresses) - {heard_first}
        leaving = announce(counter=2, leaving=True)
        first, *others = controls.relay_by_address.values()
        assert await first.announce(leaving)
        for task in [*first._news._tasks, *first._tasks]:
            task.cancel()
        controls.told.clear()
        controls.silent = {heard_first}
        await clock.sleep(KNOWN_S)
        assert controls.know_that_it_leaves() >= set(controls.addresses) - {heard_first}
        assert all(other.find(leaving.target) is None for other in others)

    run_virtual(story())


def test_the_word_of_one_control_host_is_not_enough() -> None:
    """A control host is cut off from all others, with two entry hosts on its side.

    It must not acknowledge that a target leaves: were the three lost, nobody would know.
    """

    async def story() -> None:
        clock = VirtualClock()
        controls = Controls(clock, 20, 5)
        controls.silent = {*controls.addresses[2:], "control-1", "control-2", "control-3"}
        controls.silent.add("control-4")
        first = controls.relay_by_address["control-0"]
        leaving = announce(counter=2, leaving=True)
        assert not await first.announce(leaving)
        controls.silent = set(controls.addresses[3:]) | {"control-1", "control-2"}
        assert await first.announce(leaving._replace(counter=3))

    run_virtual(story())


def test_hosts_whose_control_hosts_are_cut_off_are_told_by_the_one_that_acknowledged() -> None:
    """Control is cut in two as targets leave, and some entry hosts go on sending to them.

    Three control hosts hold it, and those that would tell some entry hosts are on the other side.
    Cause: those entry hosts fall to control hosts that do not have it, and to nobody else.
    """

    async def story() -> None:
        clock = VirtualClock()
        controls = Controls(clock, 30, 9, shares=True)
        names = list(controls.relay_by_address)
        controls.silent = set(names[3:])
        assert await controls.relay_by_address[names[0]].announce(announce(counter=2, leaving=True))
        await clock.sleep(KNOWN_S)
        assert controls.know_that_it_leaves() == set(controls.addresses)

    run_virtual(story())


def test_a_control_host_that_was_cut_off_hears_which_targets_left() -> None:
    """A control host comes back from a cut. Hosts that enrol at it count on what it tells them."""

    async def story() -> None:
        clock = VirtualClock()
        controls = Controls(clock, 10, 5)
        names = list(controls.relay_by_address)
        controls.silent = {names[4]}
        leaving = announce(counter=2, leaving=True)
        assert await controls.relay_by_address[names[0]].announce(leaving)
        await clock.sleep(5.0)
        assert not controls.relay_by_address[names[4]]._news.newest()
        controls.silent = set()
        await clock.sleep(KNOWN_S)
        assert controls.relay_by_address[names[4]]._news.newest() == (leaving,)

    run_virtual(story())
