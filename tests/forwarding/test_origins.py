"""Origins of streams, shared by the entry hosts."""

import asyncio
from collections.abc import Sequence

from cranberrywall.forwarding import StreamOrigins
from cranberrywall.forwarding import _origins as origins_module
from cranberrywall.forwarding._origins import MAX_ASKED, REPLICAS
from cranberrywall.records import RecordClient, RecordStore
from tests.fakes.clock import ManualClock
from tests.fakes.links import Switchboard
from tests.forwarding.scripted import FixedMembership

LIFETIME_S = 10.0


class Hosts:
    """Entry hosts that reach each other unless they are down."""

    def __init__(self, count: int, controls: int = 0) -> None:
        self.names = [f"entry-{number}" for number in range(count)]
        self.board = Switchboard()
        self.clock = ManualClock()
        self.membership = FixedMembership(self.names)
        self.controls = [f"control-{number}" for number in range(controls)]
        for name in self.controls:
            store = RecordStore(lambda: (), self.board.caller(name), self.clock, None)
            store.register(self.board.server(name))
        self.origins_by_host = {name: self.start(name) for name in self.names}

    def start(self, name: str) -> StreamOrigins:
        board = self.board
        records = RecordClient(lambda: self.controls, board.caller(name), self.clock)
        return StreamOrigins(
            name, self.membership, board.caller(name), board.server(name), self.clock, records
        )

    async def record(self, host: str, request_id: str, version: str) -> None:
        self.origins_by_host[host].record(request_id, version, LIFETIME_S)
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.01)

    async def find_at_each(self, request_id: str, hosts: Sequence[str]) -> set[str | None]:
        return {(await self.origins_by_host[host].find(request_id)).ok() for host in hosts}


async def test_each_host_finds_the_version_that_began_a_stream() -> None:
    hosts = Hosts(70)
    await hosts.record("entry-3", "id-1", "v1")
    assert await hosts.find_at_each("id-1", hosts.names) == {"v1"}


async def test_an_origin_survives_the_loss_of_its_host_and_of_replicas() -> None:
    """Streams whose host was killed could not be taken up anywhere."""
    hosts = Hosts(7)
    await hosts.record("entry-3", "id-1", "v1")
    stored = [name for name in hosts.names if hosts.origins_by_host[name].stores("id-1")]
    assert len(stored) == REPLICAS + 1
    hosts.board.down.update({"entry-3", *[name for name in stored if name != "entry-3"][1:]})
    left = [name for name in hosts.names if name not in hosts.board.down]
    assert await hosts.find_at_each("id-1", left) == {"v1"}


async def test_an_origin_is_found_after_hosts_joined() -> None:
    """The hosts that stored it were no longer the first in the order of replicas."""
    hosts = Hosts(40)
    hosts.membership.names = hosts.names[:30]
    await hosts.record("entry-3", "id-1", "v1")
    hosts.membership.names = hosts.names
    assert await hosts.find_at_each("id-1", hosts.names) == {"v1"}
    assert len(hosts.names) > MAX_ASKED


async def test_an_origin_that_no_reachable_host_has_is_unknown() -> None:
    """A host that guessed would join events of two versions."""
    hosts = Hosts(7)
    await hosts.record("entry-3", "id-1", "v1")
    hosts.board.down.update(name for name in hosts.names if name != "entry-0")
    if hosts.origins_by_host["entry-0"].stores("id-1"):
        hosts.clock.step(LIFETIME_S)
    assert (await hosts.origins_by_host["entry-0"].find("id-1")).is_err()


async def test_an_origin_survives_the_loss_of_all_entry_hosts() -> None:
    """All entry hosts lost power at once, and no stream could be taken up."""
    hosts = Hosts(7, controls=3)
    await hosts.record("entry-3", "id-1", "v1")
    await hosts.clock.advance(0.1)
    for name in hosts.names:
        hosts.origins_by_host[name] = hosts.start(name)
    hosts.board.down = {"control-1", "control-2"}
    assert await hosts.find_at_each("id-1", hosts.names) == {"v1"}


async def test_callers_are_told_to_come_back_soon_only_if_that_may_help() -> None:
    """Callers of streams whose origin was lost came back twice a second to the same refusal."""
    hosts = Hosts(3, controls=3)
    soon, late = 1.0, 4.0
    assert await retry_after(hosts, "id-1") >= late
    for silent in ("control-0", "entry-2"):
        hosts.board.down = {silent}
        assert await retry_after(hosts, "id-1") <= soon


async def retry_after(hosts: Hosts, request_id: str) -> float:
    refusal = (await hosts.origins_by_host["entry-0"].find(request_id)).unwrap_err()
    assert refusal.retry_after is not None
    return refusal.retry_after


async def test_origins_are_removed_after_their_lifetime_and_above_the_limit() -> None:
    hosts = Hosts(1)
    origins = hosts.origins_by_host["entry-0"]
    for number in range(origins_module.MAX_ORIGINS + 5):
        origins.store(f"id-{number}", "v1", LIFETIME_S)
    assert not origins.stores("id-4")
    assert origins.stores("id-5")
    hosts.clock.step(LIFETIME_S)
    assert not origins.stores("id-5")
