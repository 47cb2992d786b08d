"""Check that control hosts accept announcements and relay them to entry hosts."""

import asyncio
from typing import Any

from result import Err, Ok, Result

from cranberrywall.control import NotifierAssignment
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Peer
from cranberrywall.targets import HostIncarnation, TargetRelay, fetch_known_targets
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.links import Switchboard
from tests.targets.announcements import announce


class EntryCaller:
    """Caller that records announcements sent to reachable addresses."""

    def __init__(self) -> None:
        self.reachable = {"a", "b"}
        self.received: list[tuple[str, str, bool]] = []

    async def call(
        self, address: str, method: Any, request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        if address not in self.reachable:
            return Err(Refusal(ErrorKind.UNREACHABLE))
        self.received += [(address, one.target, one.leaving) for one in request.announcements]
        return Ok(None)


def incarnations_at(*addresses: str) -> list[HostIncarnation]:
    return [HostIncarnation(address, 1) for address in addresses]


def make_relay(entries: EntryCaller) -> TargetRelay:
    return TargetRelay(lambda: incarnations_at("a", "b"), entries, VirtualClock())


def test_leaving_is_acknowledged_once_an_entry_host_is_notified() -> None:
    """Requests are sent to a target that has stopped, shortly after its acknowledgement.

    Guards against an acknowledgement while no entry host can be notified: the entry hosts would
    continue to send requests to the target.
    """

    async def scenario() -> None:
        entries = EntryCaller()
        relay = make_relay(entries)
        assert await relay.announce(announce())
        entries.reachable = set()
        leaving = announce(counter=2, leaving=True)
        assert not await relay.announce(leaving)
        assert not await relay.announce(leaving)
        entries.reachable = {"b"}
        assert await relay.announce(leaving)
        assert ("b", "engine-1", True) in entries.received

    run_virtual(scenario())


def test_a_target_that_cannot_be_passed_on_yet_is_acknowledged_all_the_same() -> None:
    async def scenario() -> None:
        entries = EntryCaller()
        entries.reachable = set()
        assert await make_relay(entries).announce(announce())

    run_virtual(scenario())


def test_a_late_heartbeat_does_not_bring_back_what_left() -> None:
    async def scenario() -> None:
        entries = EntryCaller()
        relay = make_relay(entries)
        await relay.announce(announce(counter=5, leaving=True))
        received = len(entries.received)
        assert await relay.announce(announce(counter=9))
        assert len(entries.received) == received

    run_virtual(scenario())


def test_an_announcement_by_another_writer_takes_no_target_from_its_service() -> None:
    """A working target is announced by another process, under a service that is not configured.

    If this announcement were applied, the target would move to a service that gets no requests. Its
    own service would lose it until its next heartbeats, and these would count as stale.
    """

    async def scenario() -> None:
        kinds = {"asistent": "engine", "vratar": "service"}
        relay = TargetRelay(
            lambda: incarnations_at("a"), EntryCaller(), VirtualClock(), lambda: kinds
        )
        assert relay.check(announce()) is None
        assert await relay.announce(announce())
        for changes in ({"name": "unheard-of"}, {"name": "vratar"}, {"kind": "service"}):
            assert relay.check(announce(counter=9, **changes)) is not None
            assert relay.check(announce(target="new", **changes)) is not None
        kinds.clear()
        assert relay.check(announce(counter=2)) is None
        assert relay.check(announce(target="new")) is not None

    run_virtual(scenario())


class SlowEntryCaller(EntryCaller):
    """Caller with many addresses; the ``unresponsive`` ones never answer."""

    def __init__(self, clock: VirtualClock, hosts: int) -> None:
        super().__init__()
        self.clock = clock
        self.addresses = [f"entry-{number:02}" for number in range(hosts)]
        self.unresponsive: set[str] = set()

    async def call(
        self, address: str, method: Any, request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        if address in self.unresponsive:
            await self.clock.sleep(timeout)
            return Err(Refusal(ErrorKind.TIMEOUT))
        await self.clock.sleep(0.002)
        self.received += [(address, one.target, one.leaving) for one in request.announcements]
        return Ok(None)

    def hosts_with_leaving(self) -> set[str]:
        return {address for address, _, leaving in self.received if leaving}


NOTIFICATION_S = 1.0
"""Time within which each reachable host receives that a target leaves, in seconds."""


def test_every_host_is_notified_that_a_target_leaves_however_many_are_lost() -> None:
    """Requests are sent to a target that left while it still answers, and fail once it stops.

    The target announced to a control host that it leaves, and got the acknowledgement once one
    entry host had the announcement. That host, and those that it had notified, lost power just
    after. Cause: the control host notified twelve hosts, once, and relied on them to notify the
    others. In a model of 78 hosts, the remaining hosts still offered the target 20 s later.
    """

    async def scenario() -> None:
        clock = VirtualClock()
        entries = SlowEntryCaller(clock, 40)
        relay = TargetRelay(lambda: incarnations_at(*entries.addresses), entries, clock)
        assert await relay.announce(announce(counter=2, leaving=True))
        await clock.sleep(NOTIFICATION_S)
        assert entries.hosts_with_leaving() == set(entries.addresses)

    run_virtual(scenario())


def test_an_unreachable_host_is_notified_later_that_a_target_leaves() -> None:
    """A host returns after a network partition and sends requests to a target that left meanwhile.

    Cause: the control host tried to notify it for 0.4 s, and never again.
    """

    async def scenario() -> None:
        clock = VirtualClock()
        entries = SlowEntryCaller(clock, 4)
        relay = TargetRelay(lambda: incarnations_at(*entries.addresses), entries, clock)
        entries.unresponsive = {"entry-03"}
        assert await relay.announce(announce(counter=2, leaving=True))
        await clock.sleep(10.0)
        assert "entry-03" not in entries.hosts_with_leaving()
        entries.unresponsive = set()
        await clock.sleep(NOTIFICATION_S)
        assert "entry-03" in entries.hosts_with_leaving()

    run_virtual(scenario())


def test_a_host_that_starts_is_notified_of_targets_that_left_before() -> None:
    """A new host receives the announcement of a target that left, from a partitioned host.

    The new host was not notified that the target leaves because it had not started yet. Cause:
    control hosts discard an update once they have notified all current hosts.
    """

    async def scenario() -> None:
        clock = VirtualClock()
        entries = SlowEntryCaller(clock, 4)
        relay = TargetRelay(lambda: incarnations_at(*entries.addresses), entries, clock)
        assert await relay.announce(announce(counter=2, leaving=True))
        await clock.sleep(5.0)
        entries.addresses.append("entry-new")
        await clock.sleep(NOTIFICATION_S)
        assert "entry-new" in entries.hosts_with_leaving()

    run_virtual(scenario())


class ControlCaller(SlowEntryCaller):
    """Caller by which control hosts reach each other and the entry hosts."""

    def __init__(
        self, clock: VirtualClock, hosts: int, controls: int, shares: bool = False
    ) -> None:
        """If ``shares``, each notifies the entry hosts assigned to it, else all."""
        super().__init__(clock, hosts)
        self.relay_by_address: dict[str, TargetRelay] = {}
        names = [f"control-{number}" for number in range(controls)]
        for name in names:
            others = [
                HostIncarnation(other, 1, is_control=True) for other in names if other != name
            ]
            self.relay_by_address[name] = TargetRelay(
                lambda: incarnations_at(*self.addresses),
                self,
                clock,
                others=lambda others=others: others,  # type: ignore[misc] # bound for each
                is_assigned=(
                    NotifierAssignment(name, lambda: names).notifies
                    if shares
                    else lambda links: True
                ),
            )

    async def call(
        self, address: str, method: Any, request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        relay = self.relay_by_address.get(address)
        if relay is None or address in self.unresponsive:
            return await super().call(address, method, request, timeout)
        await self.clock.sleep(0.002)
        return await relay._handle_share(request, Peer(address, "town-hall", 1))


def test_other_control_hosts_send_what_a_lost_one_acknowledged() -> None:
    """A target leaves, gets its acknowledgement, and still gets requests until it ends.

    The control host that acknowledged it lost power just after, and so did the only entry host that
    had received the announcement. Cause: the acknowledgement relied on one host, which had the
    announcement in memory only.
    """

    async def scenario() -> None:
        clock = VirtualClock()
        controls = ControlCaller(clock, 20, 5)
        first_notified = controls.addresses[5]
        controls.unresponsive = set(controls.addresses) - {first_notified}
        leaving = announce(counter=2, leaving=True)
        first, *others = controls.relay_by_address.values()
        assert await first.announce(leaving)
        for task in [*first._updates._tasks, *first._tasks]:
            task.cancel()
        controls.received.clear()
        controls.unresponsive = {first_notified}
        await clock.sleep(NOTIFICATION_S)
        assert controls.hosts_with_leaving() >= set(controls.addresses) - {first_notified}
        assert all(other.find(leaving.target) is None for other in others)

    run_virtual(scenario())


def test_the_confirmation_of_one_control_host_is_not_enough() -> None:
    """A control host and two entry hosts are partitioned from all other control hosts.

    The control host must not acknowledge that a target leaves: if these three hosts were lost, no
    other host would have the announcement.
    """

    async def scenario() -> None:
        clock = VirtualClock()
        controls = ControlCaller(clock, 20, 5)
        controls.unresponsive = {*controls.addresses[2:], "control-1", "control-2", "control-3"}
        controls.unresponsive.add("control-4")
        first = controls.relay_by_address["control-0"]
        leaving = announce(counter=2, leaving=True)
        assert not await first.announce(leaving)
        controls.unresponsive = set(controls.addresses[3:]) | {"control-1", "control-2"}
        assert await first.announce(leaving._replace(counter=3))

    run_virtual(scenario())


def test_hosts_of_partitioned_control_hosts_are_notified_by_the_one_that_acknowledged() -> None:
    """Control hosts are partitioned while targets leave, and some entry hosts still use them.

    Three control hosts have the announcement; those that are assigned to some entry hosts are on
    the other side. Cause: these entry hosts are notified only by control hosts that do not have it.
    """

    async def scenario() -> None:
        clock = VirtualClock()
        controls = ControlCaller(clock, 30, 9, shares=True)
        names = list(controls.relay_by_address)
        controls.unresponsive = set(names[3:])
        assert await controls.relay_by_address[names[0]].announce(announce(counter=2, leaving=True))
        await clock.sleep(NOTIFICATION_S)
        assert controls.hosts_with_leaving() == set(controls.addresses)

    run_virtual(scenario())


def test_a_control_host_that_was_partitioned_receives_which_targets_left() -> None:
    """A control host returns after a partition; hosts that enrol at it rely on its updates."""

    async def scenario() -> None:
        clock = VirtualClock()
        controls = ControlCaller(clock, 10, 5)
        names = list(controls.relay_by_address)
        controls.unresponsive = {names[4]}
        leaving = announce(counter=2, leaving=True)
        assert await controls.relay_by_address[names[0]].announce(leaving)
        await clock.sleep(5.0)
        assert not controls.relay_by_address[names[4]]._updates.newest()
        controls.unresponsive = set()
        await clock.sleep(NOTIFICATION_S)
        assert controls.relay_by_address[names[4]]._updates.newest() == (leaving,)

    run_virtual(scenario())


def test_each_entry_host_hears_of_each_target_within_a_few_renewals() -> None:
    """Hosts that had just started knew the targets of one version only, for seconds.

    Guards against renewals of which some targets' all go to the same host, and against those that
    go to hosts which have lost power only.
    """

    async def scenario() -> None:
        entries = EntryCaller()
        relay = make_relay(entries)
        names = [f"engine-{number}" for number in range(6)]
        for name in names:
            await relay.announce(announce(target=name))
        entries.received.clear()
        for counter in range(2, 14):
            for name in names:
                await relay.announce(announce(target=name, counter=counter))
        await asyncio.sleep(0.0)
        heard = {(address, name) for address, name, _ in entries.received}
        assert heard == {(address, name) for address in "ab" for name in names}
        entries.reachable = {"b"}
        entries.received.clear()
        for name in names:
            await relay.announce(announce(target=name, counter=14))
        await asyncio.sleep(0.1)
        assert {name for _, name, _ in entries.received} == set(names)

    run_virtual(scenario())


def test_a_host_that_starts_fetches_the_targets_from_all_control_hosts() -> None:
    """Hosts that had lost power were ready without targets, and refused what they were sent.

    Each control host knows the targets that renew their announcements at it, in several pages.
    """

    async def scenario() -> None:
        board = Switchboard()
        clock = VirtualClock()
        for control in ("control-1", "control-2"):
            relay = TargetRelay(list, EntryCaller(), clock)
            relay.register(board.server(control))
            for number in range(250):
                await relay.announce(announce(target=f"{control}-engine-{number}"))
            await relay.announce(announce(target=f"{control}-gone"))
            await relay.announce(announce(target=f"{control}-gone", counter=2, leaving=True))
        found: list[str] = []
        await fetch_known_targets(
            ["control-1", "control-2"],
            board.caller("entry-1"),
            lambda announcement: found.append(announcement.target),
            1.0,
        )
        assert len(found) == len(set(found)) == 500
        assert not any(name.endswith("gone") for name in found)

    run_virtual(scenario())
