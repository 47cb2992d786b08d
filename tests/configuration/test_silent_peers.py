"""Follow the configuration past peers that answer nothing any more."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from cranberrywall.configuration import (
    HostConfiguration,
    SpreadHost,
    make_configuration_machine,
    make_control_feed,
    make_follower,
    make_host_configuration,
)
from cranberrywall.configuration._feed import CATCH_UP_S
from cranberrywall.configuration._packing import pack
from cranberrywall.configuration.messages import (
    FETCH,
    NOTICE,
    Fetch,
    FetchReply,
    Notice,
    NoticeReply,
    Pack,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Method, Peer
from tests.configuration.documents import encode_change, make_document, whole_document_edits
from tests.fakes.clock import VirtualClock, run_virtual

ME = SpreadHost("entry-0", "town-hall", "10.1.0.0:7000")
IN_FORCE_S = 1.0
"""A confirmed change is in force at every host in touch within this, in seconds."""


class Peers:
    """Answer calls as hosts do that hold a machine's revision; ``silent`` ones answer nothing."""

    def __init__(self, hosts: int) -> None:
        self.clock = VirtualClock()
        self.machine = make_configuration_machine()
        edits = whole_document_edits(make_document())
        self.machine.apply(encode_change(edits, 0, "first"))
        self.hosts = [
            SpreadHost(f"entry-{n}", "town-hall", f"10.1.0.{n}:7000") for n in range(1, hosts + 1)
        ]
        self.silent: set[str] = set()
        self.told_at: dict[str, float] = {}
        self.calls: list[tuple[str, str]] = []

    def alive(self) -> list[SpreadHost]:
        return self.hosts

    async def call(
        self, address: str, method: Method[Any, Any], request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        self.calls.append((address, method.name))
        if address in self.silent:
            await self.clock.sleep(timeout)
            return Err(Refusal(ErrorKind.TIMEOUT, f"{address} did not answer in time"))
        await self.clock.sleep(0.002)
        if method is NOTICE:
            assert isinstance(request, Notice)
            self.told_at.setdefault(address, self.clock.now())
            return Ok(NoticeReply(self.machine.revision, self.machine.revision))
        assert method is FETCH
        deltas = self.machine.deltas_after(request.since, 256) or ()
        revision = self.machine.revision
        packed = pack(Pack(deltas, None)) if deltas else b""
        return Ok(FetchReply(revision, revision, packed))


async def until(is_so: Callable[[], bool], clock: VirtualClock, limit_s: float) -> float:
    """Return how long it took, in seconds; fail after ``limit_s``."""
    began_at = clock.now()
    while not is_so():
        assert clock.now() - began_at < limit_s, f"not so within {limit_s} s"
        await clock.sleep(0.005)
    return clock.now() - began_at


async def follow(peers: Peers) -> tuple[Any, HostConfiguration, asyncio.Task[None]]:
    configuration = make_host_configuration(None)
    follower = make_follower(ME, configuration, peers, list, peers, peers.clock, random.Random(1))
    return follower, configuration, asyncio.create_task(follower.run())


def test_a_peer_that_falls_silent_in_the_middle_of_a_fetch_holds_nobody_up() -> None:
    """Callers get answers by the old configuration for seconds after a new one was confirmed.

    A peer tells this host of a new revision and loses its power before it hands it on. Others tell
    of the same revision meanwhile. Cause: the host waits for the first peer until the call times
    out, 5 s later, before it asks the next. Proved by `configuration_fetch_failed waited_s=5`.
    """

    async def story() -> None:
        peers = Peers(2)
        first, second = (host.links for host in peers.hosts)
        peers.silent.add(first)
        follower, configuration, running = await follow(peers)
        follower.hear(1, first)
        await peers.clock.sleep(0.01)
        follower.hear(1, second)
        await until(lambda: configuration.revision == 1, peers.clock, IN_FORCE_S)
        running.cancel()

    run_virtual(story())


def test_the_only_peer_that_told_of_a_revision_may_be_lost() -> None:
    """As above, but nobody else has told this host of the new revision.

    Its neighbours have it all the same, and hand it on when they are asked.
    """

    async def story() -> None:
        peers = Peers(6)
        first = peers.hosts[0].links
        peers.silent.add(first)
        follower, configuration, running = await follow(peers)
        follower.hear(1, first)
        await until(lambda: configuration.revision == 1, peers.clock, IN_FORCE_S)
        running.cancel()

    run_virtual(story())


def test_control_tells_its_hosts_without_waiting_for_silent_ones() -> None:
    """A change is confirmed, and most hosts learn of it a second or more later.

    Three hosts that a control host is to tell first are cut off. Cause: it tells hosts by threes,
    and waits for all of three, a second where one is silent, before it goes on to the next three.
    """

    async def story() -> None:
        peers = Peers(12)
        me = SpreadHost("control-0", "town-hall", "10.0.0.1:7000")
        feed = make_control_feed(me, peers.machine, peers, peers, peers.clock)
        running = asyncio.create_task(feed.run())
        await peers.clock.sleep(0.0)
        peers.silent = {host.links for host in peers.hosts[::2]}
        edits = whole_document_edits(make_document())
        peers.machine.apply(encode_change(edits[:1], 1, "second"))
        well = {host.links for host in peers.hosts} - peers.silent
        await until(lambda: well <= peers.told_at.keys(), peers.clock, IN_FORCE_S)
        running.cancel()

    run_virtual(story())


class Handlers:
    """Keep the handlers that are registered, and call them."""

    def __init__(self) -> None:
        self._handler_by_name: dict[str, Any] = {}

    def register(self, method: Method[Any, Any], handler: Any) -> None:
        self._handler_by_name[method.name] = handler

    async def call(self, method: Method[Any, Any], request: Any) -> Result[Any, Refusal]:
        answer: Result[Any, Refusal] = await self._handler_by_name[method.name](
            request, Peer("entry-1", "town-hall", 1)
        )
        return answer


def test_a_control_host_that_may_lack_revisions_is_no_source_of_them() -> None:
    """All hosts lose power, and entry hosts serve by the revision of control's snapshots.

    Newer ones were confirmed. Cause: until a leader is elected, control hosts have what their
    snapshots hold, and a majority of them says so to entry hosts that start.
    """

    async def story() -> None:
        peers = Peers(2)
        caught_up: list[bool] = []
        me = SpreadHost("control-0", "town-hall", "10.0.0.1:7000")
        handlers = Handlers()
        feed = make_control_feed(
            me,
            peers.machine,
            peers,
            peers,
            peers.clock,
            has_caught_up=lambda: bool(caught_up),
        )
        feed.register(handlers)
        running = asyncio.create_task(feed.run())
        edits = whole_document_edits(make_document())
        peers.machine.apply(encode_change(edits[:1], 1, "second"))
        await peers.clock.sleep(5.0)
        asked: list[tuple[Method[Any, Any], Any]] = [
            (NOTICE, Notice(0, "10.1.0.1:7000")),
            (FETCH, Fetch(0)),
        ]
        for method, request in asked:
            refusal = (await handlers.call(method, request)).unwrap_err()
            assert refusal.kind is ErrorKind.NOT_CURRENT
        assert not peers.told_at
        caught_up.append(True)
        await until(lambda: len(peers.told_at) == len(peers.hosts), peers.clock, IN_FORCE_S)
        for method, request in asked:
            assert (await handlers.call(method, request)).is_ok()
        running.cancel()

    run_virtual(story())


def test_control_that_hears_no_leader_for_long_says_what_it_has() -> None:
    """The groups are lost for good, and entry hosts that start never serve anything."""

    async def story() -> None:
        peers = Peers(2)
        me = SpreadHost("control-0", "town-hall", "10.0.0.1:7000")
        handlers = Handlers()
        feed = make_control_feed(
            me, peers.machine, peers, peers, peers.clock, has_caught_up=lambda: False
        )
        feed.register(handlers)
        await peers.clock.sleep(CATCH_UP_S)
        assert (await handlers.call(NOTICE, Notice(0, "10.1.0.1:7000"))).is_ok()

    run_virtual(story())


def test_a_host_that_was_not_told_is_told_again() -> None:
    """A host comes back from a short cut, and goes on by the older configuration for long.

    It could not be told of the change while it was cut off. Cause: each host is told of a change
    once, and what makes up for that turns from neighbour to neighbour once a second.
    """

    async def story() -> None:
        peers = Peers(3)
        me = SpreadHost("control-0", "town-hall", "10.0.0.1:7000")
        feed = make_control_feed(me, peers.machine, peers, peers, peers.clock)
        running = asyncio.create_task(feed.run())
        await peers.clock.sleep(0.0)
        late = peers.hosts[1].links
        peers.silent = {late}
        edits = whole_document_edits(make_document())
        peers.machine.apply(encode_change(edits[:1], 1, "second"))
        await peers.clock.sleep(3.0)
        peers.silent = set()
        await until(lambda: late in peers.told_at, peers.clock, IN_FORCE_S)
        running.cancel()

    run_virtual(story())


def test_a_host_that_is_back_from_a_cut_waits_for_no_call_of_before() -> None:
    """A host comes back from a cut and goes on by the older configuration for seconds.

    It heard of a change as it was cut off, and asked everybody for it. All these calls wait for
    their timeouts, or the host for its next try, when control tells it again. Cause: whoever was
    asked once is not asked again before all that were asked have failed, and a pause after that.
    """

    async def story(cut_s: float) -> None:
        peers = Peers(9)
        links = [host.links for host in peers.hosts]
        peers.silent = set(links)
        follower, configuration, running = await follow(peers)
        follower.hear(1, links[0])
        await peers.clock.sleep(cut_s)
        peers.silent = set()
        follower.hear(1, links[0])
        await until(lambda: configuration.revision == 1, peers.clock, IN_FORCE_S)
        running.cancel()

    for cut_s in (0.3, 1.0, 1.9, 2.5, 3.3, 5.0, 9.0):
        run_virtual(story(cut_s))


def test_a_host_asks_on_where_several_in_a_row_are_silent() -> None:
    """Four of those that told of a revision lost their power just after: a place is lost."""

    async def story() -> None:
        peers = Peers(9)
        links = [host.links for host in peers.hosts]
        peers.silent = set(links[:4])
        follower, configuration, running = await follow(peers)
        for one in links[:5]:
            follower.hear(1, one)
        await until(lambda: configuration.revision == 1, peers.clock, IN_FORCE_S)
        running.cancel()

    run_virtual(story())
