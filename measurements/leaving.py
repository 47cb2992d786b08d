"""Measure how long new work goes on to a target that is leaving.

Targets announce themselves to one host at a time; the real membership passes it on, over
calls of which some are lost. Every few seconds a target says once that it leaves, and its
last renewal of before comes late at another host. New work at any host is watched.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import Any

from loguru import logger
from result import Err, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import LiveMembership, make_membership
from cranberrywall.links import Handler, Method, Peer
from cranberrywall.routing import Demand, Router, make_announcement_gossip, make_router
from cranberrywall.targets import Announcement, Change, make_targets
from measurements._figures import report_figures
from measurements._fleet_model import ModelConfiguration
from measurements._virtual_time import WALL_AT_START, VirtualClock, run_virtual

SEED = 5
PLACES = ("ljubljana-a", "ljubljana-b", "kranj", "domzale")
HOSTS = 21
TARGETS = 40
RENEW_S = 2.0
EXPIRE_EVERY_S = 1.0
ASK_EVERY_S = 0.05
SETTLED_S = 15.0
LEAVE_EVERY_S = 4.0
LATE_S = 1.5
CALL_S = (0.0005, 0.003)
CALLS_LOST = 0.05


class ModelLinks:
    """Carry calls between hosts in memory, late and with losses."""

    def __init__(self) -> None:
        self.handlers_by_address: dict[str, dict[str, tuple[Handler[Any, Any], Peer]]] = {}
        self.random = random.Random(SEED)

    def end(self, address: str, peer: Peer) -> "ModelEnd":
        """Return the caller and server of the host at ``address``."""
        return ModelEnd(self, address, peer)


class ModelEnd:
    """Call other hosts and answer them; it is one host's ``Caller`` and ``Server``."""

    def __init__(self, links: ModelLinks, address: str, peer: Peer) -> None:
        self._links = links
        self._address = address
        self._peer = peer
        links.handlers_by_address[address] = {}

    def register(self, method: Method[Any, Any], handler: Handler[Any, Any]) -> None:
        """Answer ``method`` by ``handler``."""
        self._links.handlers_by_address[self._address][method.name] = (handler, self._peer)

    async def call(
        self, address: str, method: Method[Any, Any], request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        """Call the host at ``address``."""
        source = self._links.random
        await asyncio.sleep(source.uniform(*CALL_S))
        if source.random() < CALLS_LOST:
            await asyncio.sleep(timeout)
            return Err(Refusal(ErrorKind.TIMEOUT))
        handler, _ = self._links.handlers_by_address[address][method.name]
        return await handler(request, self._peer)


class EntryHost:
    """Join the real parts of one entry host: membership, targets and routing."""

    def __init__(self, links: ModelLinks, number: int, clock: VirtualClock) -> None:
        place = PLACES[number % len(PLACES)]
        address = f"127.0.0.1:{9000 + number}"
        peer = Peer(f"entry-{number}", place, 1)
        end = links.end(address, peer)
        source = random.Random(SEED + number)
        seeds = ["127.0.0.1:9000"] if number else []
        self.membership: LiveMembership = make_membership(
            peer, address, address, seeds, end, end, clock, source
        )
        self.targets = make_targets()
        self.gossip = make_announcement_gossip(self.targets, self.membership.gossip, clock)
        self.router: Router = make_router(
            self.targets, ModelConfiguration(PLACES), clock, source, peer.host, place
        )
        self._clock = clock

    def hear(self, announcement: Announcement) -> None:
        """Take an announcement at first hand, as the HTTP call does."""
        self.targets.apply(announcement, self._clock.now())
        self.gossip.publish(announcement)


class Watch:
    """Note when targets left, and the last new work that each got afterwards."""

    def __init__(self) -> None:
        self.left_at_by_id: dict[str, float] = {}
        self.last_s = 0.0
        self.grants = 0
        self.forgotten_early = 0

    def changed(self, announcement: Announcement, change: Change, now: float) -> None:
        """Count a target that a host took for gone while it renewed."""
        if change is Change.LEFT and announcement.target not in self.left_at_by_id:
            self.forgotten_early += 1

    def granted(self, target_id: str, now: float) -> None:
        """Note new work at a target."""
        self.grants += 1
        if target_id in self.left_at_by_id:
            self.last_s = max(self.last_s, now - self.left_at_by_id[target_id])


def main() -> None:
    """Let targets leave one after another and print the longest time to the last new work."""
    logger.disable("cranberrywall")
    watch, known = run_virtual(_play())
    report_figures(
        "leaving",
        {
            "hosts": HOSTS,
            "left": len(watch.left_at_by_id),
            "grants": watch.grants,
            "still_known": known,
            "forgotten_early": watch.forgotten_early,
            "last_new_work_s": watch.last_s,
        },
    )


async def _play() -> tuple[Watch, int]:
    clock = VirtualClock()
    links = ModelLinks()
    hosts = [EntryHost(links, number, clock) for number in range(HOSTS)]
    for host in hosts:
        await host.membership.start()
    watch = Watch()
    for host in hosts:
        host.targets.subscribe(watch.changed)
    source = random.Random(SEED)
    tasks = [asyncio.create_task(_expire(host)) for host in hosts]
    tasks += [asyncio.create_task(_ask(host, watch, clock)) for host in hosts]
    leaving = [
        asyncio.create_task(_live(number, hosts, watch, source, clock)) for number in range(TARGETS)
    ]
    await asyncio.gather(*leaving)
    known = sum(len(host.targets.by_id) for host in hosts)
    for task in tasks:
        task.cancel()
    for host in hosts:
        await host.membership.close()
    return watch, known


async def _live(
    number: int,
    hosts: Sequence[EntryHost],
    watch: Watch,
    source: random.Random,
    clock: VirtualClock,
) -> None:
    """Announce a target, renew, leave, and let the last renewal come late elsewhere."""
    leaves_at = SETTLED_S + LEAVE_EVERY_S * number
    counter = 0
    announcement = _announcement(number, counter)
    while clock.now() < leaves_at:
        counter += 1
        announcement = _announcement(number, counter)
        hosts[source.randrange(HOSTS)].hear(announcement)
        await asyncio.sleep(min(RENEW_S, max(0.01, leaves_at - clock.now())))
    watch.left_at_by_id[announcement.target] = clock.now()
    hosts[source.randrange(HOSTS)].hear(_announcement(number, counter + 1, leaving=True))
    await asyncio.sleep(LATE_S)
    hosts[source.randrange(HOSTS)].hear(announcement)
    await asyncio.sleep(LEAVE_EVERY_S)


async def _expire(host: EntryHost) -> None:
    while True:
        await asyncio.sleep(EXPIRE_EVERY_S)
        host.gossip.expire(asyncio.get_running_loop().time())


async def _ask(host: EntryHost, watch: Watch, clock: VirtualClock) -> None:
    while True:
        await asyncio.sleep(ASK_EVERY_S)
        now = clock.now()
        demand = Demand("desk", "engine", "asistent", "", "", 5, now + 1.0, 100)
        answer = await host.router.acquire(demand, now)
        if answer.is_ok():
            watch.granted(answer.unwrap().target_id, clock.now())


def _announcement(number: int, counter: int, leaving: bool = False) -> Announcement:
    return Announcement(
        target=f"engine-{number}",
        incarnation=int(WALL_AT_START),
        counter=counter,
        kind="engine",
        name="asistent",
        place=PLACES[number % len(PLACES)],
        url=f"http://127.0.0.1:{10000 + number}",
        capacity=100_000,
        leaving=leaving,
    )


if __name__ == "__main__":
    main()
