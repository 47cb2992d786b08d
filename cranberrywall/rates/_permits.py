"""Request permits from the host that issues them for a group, and issue them for some groups."""

from collections.abc import Sequence
from functools import partial
from typing import Any, Protocol

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import HostView
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.rates._coordinator import Coordinator
from cranberrywall.rates._ranking import coordinator_of
from cranberrywall.rates._rate_table import RateTable
from cranberrywall.rates._reachable_share import ReachableShare
from cranberrywall.rates.messages import PERMITS, PermitReply, PermitRequest
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import Group

CALL_TIMEOUT_S = 0.15
"""Timeout of a request for permits, in addition to the time that it may wait, in seconds: fifty
times the round-trip time to another place."""

FAILED_CALL_PAUSE_S = 0.5
"""After a request for permits failed, the host sends no further one for this time, in seconds."""

DECLINED_PAUSE_S = 0.1
"""The same pause if the requested host declined because another one issues the permits, in
seconds. The two hosts agree on which hosts are alive within some ten milliseconds."""


class HostTable(Protocol):
    """Entry hosts that this host has recorded, including itself."""

    def alive(self) -> Sequence[HostView]:
        """Return the hosts that are alive."""
        ...

    def all(self) -> Sequence[HostView]:
        """Return all recorded hosts, including dead ones."""
        ...


class Permits:
    """Request permits from the group's coordinator, on this host or another."""

    def __init__(
        self,
        host: str,
        rates: RateTable,
        hosts: HostTable,
        caller: Caller | None,
        clock: Clock,
        random: Random,
    ) -> None:
        self._host = host
        self._rates = rates
        self._hosts = hosts
        self._caller = caller
        self._clock = clock
        self._random = random
        self._reachable_share = ReachableShare(host, hosts.all)
        self._coordinator_by_group: dict[Group, Coordinator] = {}
        self._alive: Sequence[HostView] = ()
        self._coordinator_host_by_group: dict[Group, HostView | None] = {}
        self._paused_until_by_group: dict[Group, float] = {}
        self.counts = {"asked": 0, "failed": 0, "declined": 0}

    def register(self, server: Server) -> None:
        """Handle the other hosts' requests for permits on ``server``."""
        server.register(PERMITS, self._handle)

    async def request(self, request: PermitRequest) -> PermitReply | None:
        """Return the reply of the coordinator; ``None`` if it does not answer."""
        group = Group(request.kind, request.name)
        now = self._clock.now()
        if now < self._paused_until_by_group.get(group, 0.0):
            return None
        self.counts["asked"] += 1
        coordinator = self._coordinator_host(group)
        if coordinator is None or coordinator.host == self._host:
            return await self._coordinator(group).handle(self._host, request)
        reply = await self._call(coordinator, request)
        if isinstance(reply, Ok):
            return reply.ok_value
        self.counts["failed"] += 1
        declined = reply.err_value.kind is ErrorKind.NOT_LEADER
        pause_s = DECLINED_PAUSE_S if declined else FAILED_CALL_PAUSE_S
        self._paused_until_by_group[group] = self._clock.now() + pause_s
        return None

    def expire(self, now: float) -> None:
        """Remove idle state; call it once a second."""
        # Check also while there are no requests, so that the time since a host is unresponsive is
        # recorded.
        self._reachable_share.check(now)
        for group, coordinator in list(self._coordinator_by_group.items()):
            coordinator.expire(now)
            if coordinator.is_idle():
                del self._coordinator_by_group[group]

    def close(self) -> None:
        """Stop issuing permits."""
        for coordinator in self._coordinator_by_group.values():
            coordinator.close()

    def state(self) -> dict[str, Any]:
        """Return the state of the groups that this host coordinates, for the state dump."""
        return {
            "groups": {
                group.name: {
                    "waiting": coordinator.waiting(),
                    "given": coordinator.issued,
                    "share": round(self._reachable_share.share(group, self._clock.now()), 3),
                }
                for group, coordinator in self._coordinator_by_group.items()
            },
            **self.counts,
        }

    async def _call(self, to: HostView, request: PermitRequest) -> Result[PermitReply, Refusal]:
        if self._caller is None:
            return Err(
                Refusal(ErrorKind.UNREACHABLE, "this host has no connections to other hosts")
            )
        return await self._caller.call(to.links, PERMITS, request, CALL_TIMEOUT_S + request.wait_s)

    async def _handle(self, request: PermitRequest, peer: Peer) -> Result[PermitReply, Refusal]:
        group = Group(request.kind, request.name)
        coordinator = self._coordinator_host(group)
        # Two hosts that both issue permits would issue twice the rate. If they disagree on which
        # hosts are alive, the one that is asked wrongly declines.
        if coordinator is not None and coordinator.host != self._host:
            self.counts["declined"] += 1
            message = f"permits for {request.name} are issued by {coordinator.host}"
            return Err(Refusal(ErrorKind.NOT_LEADER, message))
        return Ok(await self._coordinator(group).handle(peer.host, request))

    def _coordinator_host(self, group: Group) -> HostView | None:
        """Return the host that issues a group's permits."""
        alive = self._hosts.alive()
        if alive is not self._alive:
            # The membership returns the same list until it may have changed. Hashing all hosts of a
            # large fleet for each request would cost 0.7 ms.
            self._alive = alive
            self._coordinator_host_by_group.clear()
        if group not in self._coordinator_host_by_group:
            self._coordinator_host_by_group[group] = coordinator_of(group, alive)
        return self._coordinator_host_by_group[group]

    def _coordinator(self, group: Group) -> Coordinator:
        found = self._coordinator_by_group.get(group)
        if found is None:
            share = partial(self._reachable_share.share, group)
            found = Coordinator(self._rates, share, self._clock, self._random)
            self._coordinator_by_group[group] = found
        return found
