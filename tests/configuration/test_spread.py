"""Check that an accepted configuration reaches every entry host and never reverts."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any

from cranberrywall.configuration import SpreadTimes
from measurements._configuration_fleet import Fleet, entry_host
from tests.configuration.documents import place_edit
from tests.fakes.clock import run_virtual
from tests.fakes.storage import FakeStorage


def in_virtual_time(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    @wraps(test)
    def run() -> None:
        run_virtual(test())

    return run


def cut_off(fleet: Fleet, host: str, others: list[str]) -> None:
    for other in others:
        if other != host:
            fleet.fabric.cut(host, other)


def ip(number: int) -> str:
    return entry_host(number).links.partition(":")[0]


CONTROL_IPS = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]


@in_virtual_time
async def test_a_change_is_in_force_everywhere_within_seconds() -> None:
    fleet = Fleet(30)
    await fleet.start()
    for number in range(5):
        revision = await fleet.commit(place_edit(f"new-{number}"))
        await fleet.until_everywhere(revision, limit=2.0)
    for entry in fleet.entries:
        assert "new-4" in entry.configuration.document["places"]
        assert entry.revisions == sorted(set(entry.revisions))
    await fleet.stop()


@in_virtual_time
async def test_a_host_cut_off_catches_up_and_never_goes_back() -> None:
    """A host is cut off while hundreds of changes are made, then comes back.

    It must come to the newest revision, by a snapshot, since its neighbours no longer
    keep all the deltas that it lacks.
    """
    fleet = Fleet(7)
    await fleet.start()
    everyone = CONTROL_IPS + [ip(number) for number in range(7)]
    cut_off(fleet, ip(3), everyone)
    for number in range(300):
        await fleet.commit(place_edit("moving", f"region-{number}"))
    assert fleet.entries[3].configuration.revision == 1
    for other in everyone:
        fleet.fabric.heal(ip(3), other)
    await fleet.until_everywhere(301, limit=10.0)
    assert fleet.entries[3].revisions == sorted(set(fleet.entries[3].revisions))
    await fleet.stop()


@in_virtual_time
async def test_a_control_host_cut_off_for_long_gives_nobody_its_old_revision() -> None:
    """A control host is long cut off from the others, but entry hosts still reach it.

    It goes on offering the revision it has. Entry hosts that ask it must keep theirs, and
    it gets no say in what is newest.
    """
    fleet = Fleet(7)
    await fleet.start()
    fleet.controls[2].is_cut_off = True
    for number in range(3):
        await fleet.commit(place_edit(f"new-{number}"))
    await fleet.until_everywhere(4, limit=3.0)
    await fleet.clock.sleep(300.0)
    assert {entry.configuration.revision for entry in fleet.entries} == {4}
    assert all(entry.revisions == sorted(set(entry.revisions)) for entry in fleet.entries)
    await fleet.stop()


@in_virtual_time
async def test_a_change_reaches_hosts_that_cannot_reach_control() -> None:
    """Three of seven entry hosts lose all control hosts; operators go on changing things.

    Their neighbours still reach control, so the changes come to them from there.
    """
    fleet = Fleet(7)
    await fleet.start()
    for number in range(3):
        cut_off(fleet, ip(number), CONTROL_IPS)
    revision = await fleet.commit(place_edit("new"))
    await fleet.until_everywhere(revision, limit=3.0)
    await fleet.stop()


@in_virtual_time
async def test_control_goes_past_hosts_that_are_down() -> None:
    """Most entry hosts that the document names are down when a change is accepted.

    Control must not stop at the first few of its list, which nobody answers.
    """
    fleet = Fleet(12, times=SpreadTimes(control_poll=10_000.0))
    await fleet.start()
    survivor = fleet.entries[-1]
    for entry in fleet.entries:
        if entry is not survivor:
            await entry.stop()
    fleet.entries = [survivor]
    revision = await fleet.commit(place_edit("new"))
    await fleet.until_everywhere(revision, limit=5.0)
    await fleet.stop()


@in_virtual_time
async def test_silent_hosts_do_not_hold_the_others_up() -> None:
    """A third of the hosts is lost: everybody has neighbours who answer nothing any more.

    Changes go on coming, several a second. A host that waited for the silent ones before
    it told the others of the next change would make each of them late.
    """
    fleet = Fleet(24, places=4, times=SpreadTimes(heartbeat=1e6, control_poll=1e6))
    await fleet.start()
    silent = fleet.entries[::3]
    everyone = CONTROL_IPS + [ip(number) for number in range(24)]
    for entry in silent:
        cut_off(fleet, entry.me.links.partition(":")[0], everyone)
    fleet.entries = [entry for entry in fleet.entries if entry not in silent]
    for number in range(20):
        revision = await fleet.commit(place_edit("moving", f"region-{number}"))
        await fleet.until_everywhere(revision, limit=0.2)
    fleet.entries += silent
    await fleet.stop()


@in_virtual_time
async def test_a_diskless_host_restarting_beside_a_stale_peer() -> None:
    """A diskless host crashes and comes back; the first peer to answer is far behind.

    Taking that peer's word would put an older revision in force than the host had before.
    It must wait for the others, and serve by the highest.
    """
    fleet = Fleet(7)
    await fleet.start()
    stale = ip(1)
    cut_off(fleet, stale, CONTROL_IPS + [ip(number) for number in range(2, 7)])
    for number in range(4):
        await fleet.commit(place_edit(f"new-{number}"))
    entry = fleet.entries[0]
    while entry.configuration.revision < 5:
        await fleet.clock.sleep(0.1)
    fleet.fabric.cut(ip(0), stale)
    await entry.stop()
    entry.revisions.clear()
    for other in CONTROL_IPS + [ip(number) for number in range(2, 7)]:
        fleet.fabric.cut(ip(0), other)
    fleet.fabric.heal(ip(0), stale)
    known = [host.me for host in fleet.entries]
    joined = await entry.start(known)
    await fleet.clock.sleep(5.0)
    assert not joined.done(), "it serves by the stale peer's revision alone"
    for other in CONTROL_IPS + [ip(number) for number in range(2, 7)]:
        fleet.fabric.heal(ip(0), other)
    assert await joined == 5
    await fleet.stop()


@in_virtual_time
async def test_a_diskless_host_serves_in_the_end_where_few_answer() -> None:
    """A diskless host restarts in a place that is cut off for hours, beside one peer.

    No majority answers. After a time of patience it serves by the highest that it can get,
    rather than refuse everybody until the partition ends.
    """
    fleet = Fleet(7)
    await fleet.start()
    rest = CONTROL_IPS + [ip(number) for number in range(2, 7)]
    cut_off(fleet, ip(0), rest)
    cut_off(fleet, ip(1), rest)
    await fleet.entries[0].stop()
    started_at = fleet.clock.now()
    joined = await fleet.entries[0].start([host.me for host in fleet.entries])
    assert await joined == 1
    assert fleet.clock.now() - started_at >= fleet.times.patience
    await fleet.stop()


@in_virtual_time
async def test_a_disk_host_serves_at_once_by_what_it_remembers() -> None:
    """A host with a disk restarts while nobody else can be reached.

    It serves at once by the highest revision that it had in force, and never by less.
    """
    fleet = Fleet(3)
    fleet.entries[0].storage = FakeStorage()
    await fleet.start()
    for number in range(100):
        await fleet.commit(place_edit("moving", f"region-{number}"))
    await fleet.until_everywhere(101, limit=3.0)
    await fleet.entries[0].stop()
    cut_off(fleet, ip(0), [*CONTROL_IPS, ip(1), ip(2)])
    joined = await fleet.entries[0].start([host.me for host in fleet.entries])
    assert await asyncio.wait_for(joined, 0.5) == 101
    assert fleet.entries[0].configuration.document["places"]["moving"]["region"] == "region-99"
    await fleet.stop()


@in_virtual_time
async def test_a_host_with_a_disk_starts_with_what_was_confirmed_meanwhile() -> None:
    """A host is restarted, and answers by the configuration of before its stop.

    Its disk remembers a revision; a newer one was confirmed while it was down. Cause: what it
    remembers is served without asking, though others are there to tell.
    """
    fleet = Fleet(5)
    fleet.entries[0].storage = FakeStorage(fleet.random)
    await fleet.start()
    await fleet.entries[0].stop()
    others = fleet.entries[1:]
    revision = await fleet.commit(place_edit("new"))
    await fleet.clock.sleep(2.0)
    await fleet.entries[0].start([entry.me for entry in others])
    assert await fleet.entries[0].joined == revision
    await fleet.stop()
