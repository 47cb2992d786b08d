"""Calls to replicated groups through other entry hosts."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from result import Err, Ok, Result

from cranberrywall.control import RelayedClient
from cranberrywall.control._relaying import (
    DIRECT_INTERVAL_S,
    MAX_ANSWER_AGE_S,
    MAX_RELAYED_CALLS,
    OFFER,
    RELAY,
    RELAYS_ASKED,
    SEARCH_INTERVAL_S,
)
from cranberrywall.errors import ErrorKind, Refusal
from tests.fakes.clock import ManualClock
from tests.fakes.links import Switchboard

HOSTS = [f"h{number}" for number in range(12)]
TIMEOUT_S = 0.25
MAX_SEARCHES = 40


class Leader:
    """The leader of a group, which some hosts do not reach."""

    def __init__(self) -> None:
        self.out_of_reach: set[str] = set()
        self.calls: list[tuple[str, str, bytes]] = []
        self.waits: asyncio.Event | None = None

    async def answer(self, host: str, kind: str, payload: bytes) -> Result[bytes, Refusal]:
        if host in self.out_of_reach:
            await asyncio.sleep(0.0)
            return Err(Refusal(ErrorKind.TIMEOUT, "no leader answered"))
        self.calls.append((host, kind, payload))
        if self.waits is not None:
            await self.waits.wait()
        return Ok(b"done " + payload)


class DirectClient:
    """Client of one host that calls the leader itself."""

    def __init__(self, host: str, leader: Leader) -> None:
        self._host = host
        self._leader = leader

    async def propose(self, group: str, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        return await self._leader.answer(self._host, "propose", command)

    async def query(self, group: str, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        return await self._leader.answer(self._host, "query", query)

    async def supports(self, group: str, feature: str, timeout: float) -> Result[bool, Refusal]:
        reply = await self._leader.answer(self._host, "support", feature.encode())
        return reply.map(lambda _: feature == "known")


class Fleet:
    """Entry hosts with their clients."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.leader = Leader()
        self.board = Switchboard()
        self.client_by_host = {host: self._make_client(host) for host in HOSTS}

    def _make_client(self, host: str) -> RelayedClient:
        client = RelayedClient(
            DirectClient(host, self.leader),
            self.board.caller(host),
            lambda: [other for other in HOSTS if other != host],
            self.clock,
            random.Random(host),
        )
        client.register(self.board.server(host))
        return client

    async def propose(self, host: str, command: bytes = b"c") -> Result[bytes, Refusal]:
        return await self.client_by_host[host].propose("ledger-0", command, TIMEOUT_S)

    async def cut_off(self, *hosts: str) -> None:
        """Cut hosts off from the leader; all have called it before, and these notice it."""
        for host in HOSTS:
            await self.propose(host)
        self.leader.out_of_reach.update(hosts)
        for host in hosts:
            await self.propose(host)
        self.leader.calls.clear()
        self.board.called.clear()

    async def propose_until_answered(self, host: str) -> None:
        """Call until an answer comes; other hosts call the leader in between."""
        for _ in range(MAX_SEARCHES):
            if isinstance(await self.propose(host), Ok):
                return
            await self.clock.advance(SEARCH_INTERVAL_S)
            for other in HOSTS:
                if other not in self.leader.out_of_reach:
                    await self.propose(other)
        raise AssertionError("no call was answered")


@asynccontextmanager
async def make_fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet()
    yield fleet
    await asyncio.sleep(0)


async def test_a_host_that_is_cut_off_calls_through_one_that_is_not() -> None:
    """Guards against money that is taken for spent since a host could report it to no one."""
    async with make_fleet() as fleet:
        await fleet.cut_off(*HOSTS[:10])
        for host in HOSTS[:10]:
            await fleet.propose_until_answered(host)
        assert await fleet.propose("h0", b"charge") == Ok(b"done charge")
        client = fleet.client_by_host["h0"]
        assert await client.query("ledger-0", b"sums", TIMEOUT_S) == Ok(b"done sums")
        assert await client.supports("ledger-0", "known", TIMEOUT_S) == Ok(True)
        assert await client.supports("ledger-0", "other", TIMEOUT_S) == Ok(False)
        assert {host for host, _, _ in fleet.leader.calls} <= {"h10", "h11"}


async def test_a_call_in_a_partition_is_sent_once() -> None:
    """Guards against a leader that gets each call several times as a partition ends."""
    async with make_fleet() as fleet:
        await fleet.cut_off("h0")
        await fleet.propose_until_answered("h0")
        fleet.leader.calls.clear()
        fleet.board.called.clear()
        for _ in range(5):
            assert isinstance(await fleet.propose("h0"), Ok)
        assert fleet.board.called == [RELAY.name] * 5
        assert len(fleet.leader.calls) == 5


async def test_a_fleet_that_is_cut_off_asks_few_hosts_and_relays_nothing() -> None:
    """Guards against calls that go round among hosts that are all cut off."""
    async with make_fleet() as fleet:
        await fleet.cut_off(*HOSTS)
        await fleet.clock.advance(SEARCH_INTERVAL_S)
        fleet.board.called.clear()
        for _ in range(5):
            reply = await fleet.propose("h0")
            assert reply.unwrap_err().kind is ErrorKind.TIMEOUT
        await asyncio.sleep(0)
        assert fleet.board.called == [OFFER.name] * RELAYS_ASKED


async def test_a_host_without_a_recent_answer_offers_nothing() -> None:
    """Guards against a relay that is cut off too, and has not called since."""
    async with make_fleet() as fleet:
        await fleet.cut_off("h0")
        fleet.leader.out_of_reach.update(HOSTS)
        await fleet.clock.advance(MAX_ANSWER_AGE_S + SEARCH_INTERVAL_S)
        await fleet.propose("h0")
        await asyncio.sleep(0.01)
        fleet.board.called.clear()
        await fleet.propose("h0")
        assert RELAY.name not in fleet.board.called


async def test_a_call_goes_directly_again_once_the_leader_is_in_reach() -> None:
    """Guards against a fleet that goes on to call through a few hosts after a partition."""
    async with make_fleet() as fleet:
        await fleet.cut_off("h0")
        await fleet.propose_until_answered("h0")
        fleet.leader.out_of_reach.clear()
        await fleet.clock.advance(DIRECT_INTERVAL_S)
        await fleet.propose("h0")
        await asyncio.sleep(0.01)
        fleet.leader.calls.clear()
        await fleet.propose("h0", b"again")
        assert fleet.leader.calls == [("h0", "propose", b"again")]


async def test_a_call_is_sent_once_as_a_partition_ends() -> None:
    """Guards against a leader that gets each call directly and relayed when all hosts are back."""
    async with make_fleet() as fleet:
        await fleet.cut_off("h0")
        await fleet.propose_until_answered("h0")
        await asyncio.sleep(0.01)
        fleet.leader.out_of_reach.clear()
        await fleet.clock.advance(DIRECT_INTERVAL_S)
        fleet.leader.calls.clear()
        assert await fleet.propose("h0", b"charge") == Ok(b"done charge")
        await asyncio.sleep(0.01)
        assert [call[2] for call in fleet.leader.calls].count(b"charge") == 1


async def test_another_relay_is_found_when_one_is_lost() -> None:
    """Guards against calls that fail until a partition ends, as their relay was killed."""
    async with make_fleet() as fleet:
        await fleet.cut_off("h0")
        await fleet.propose_until_answered("h0")
        [*_, (relay, _, _)] = fleet.leader.calls
        fleet.board.down.add(relay)
        await fleet.propose_until_answered("h0")
        assert fleet.leader.calls[-1][0] not in ("h0", relay)


async def test_a_host_relays_a_limited_number_of_calls_at_a_time() -> None:
    """Guards against a host whose own requests wait for the calls of all others."""
    async with make_fleet() as fleet:
        await fleet.cut_off("h0")
        fleet.leader.out_of_reach.update(HOSTS[:-1])
        for host in HOSTS[1:-1]:
            await fleet.propose(host)
        await fleet.propose_until_answered("h0")
        fleet.leader.waits = asyncio.Event()
        calls = [asyncio.ensure_future(fleet.propose("h0")) for _ in range(MAX_RELAYED_CALLS + 1)]
        done, pending = await asyncio.wait(calls, timeout=0.1)
        assert (len(done), len(pending)) == (1, MAX_RELAYED_CALLS)
        assert done.pop().result().unwrap_err().kind is ErrorKind.TIMEOUT
        fleet.leader.waits.set()
        assert all(isinstance(reply, Ok) for reply in await asyncio.gather(*pending))
