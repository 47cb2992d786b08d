"""Ask for permits: find the host that gives them for a group, and be that host for some."""

from collections.abc import Sequence
from typing import Any, Protocol

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import HostView
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.rates._coordinator import Coordinator
from cranberrywall.rates._known import RateTable
from cranberrywall.rates._ranking import first_host
from cranberrywall.rates._reach import Reach
from cranberrywall.rates.messages import PERMITS, PermitReply, PermitRequest
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import Group

CALL_S = 0.15
"""A request for permits is given up after this, and what it waits for, in seconds: fifty times the
way to another place and back."""

LOST_PAUSE_S = 0.5
"""After a request for permits that failed the host does not ask again for so long, in seconds."""

DECLINED_PAUSE_S = 0.1
"""The same where the host that was asked leaves it to another: the two agree within some ten
milliseconds on who is alive."""


class HostTable(Protocol):
    """Know the other entry hosts."""

    def alive(self) -> Sequence[HostView]:
        """Return the hosts that are alive."""
        ...

    def all(self) -> Sequence[HostView]:
        """Return all hosts known, dead ones too."""
        ...


class Permits:
    """Ask the group's coordinator, on this host or another."""

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
        self._reach = Reach(hosts.all)
        self._coordinator_by_group: dict[Group, Coordinator] = {}
        self._alive: Sequence[HostView] = ()
        self._first_by_group: dict[Group, HostView | None] = {}
        self._paused_until_by_group: dict[Group, float] = {}
        self.counts = {"asked": 0, "failed": 0, "declined": 0}

    def register(self, server: Server) -> None:
        """Answer the other hosts' requests for permits."""
        server.register(PERMITS, self._answer)

    async def ask(self, request: PermitRequest) -> PermitReply | None:
        """Return what the coordinator gives; ``None`` where none answers."""
        group = Group(request.kind, request.name)
        now = self._clock.now()
        if now < self._paused_until_by_group.get(group, 0.0):
            return None
        self.counts["asked"] += 1
        coordinator = self._first(group)
        if coordinator is None or coordinator.host == self._host:
            return await self._coordinator(group).answer(self._host, request)
        answered = await self._call(coordinator, request)
        if isinstance(answered, Ok):
            return answered.ok_value
        self.counts["failed"] += 1
        declined = answered.err_value.kind is ErrorKind.NOT_LEADER
        pause_s = DECLINED_PAUSE_S if declined else LOST_PAUSE_S
        self._paused_until_by_group[group] = self._clock.now() + pause_s
        return None

    def expire(self, now: float) -> None:
        """Forget what nobody asked for lately; call it once a second."""
        # Looked at also while nobody asks, so that it is known since when a host is silent.
        self._reach.share(now)
        for group, coordinator in list(self._coordinator_by_group.items()):
            coordinator.expire(now)
            if coordinator.is_idle():
                del self._coordinator_by_group[group]

    def close(self) -> None:
        """Give no more permits."""
        for coordinator in self._coordinator_by_group.values():
            coordinator.close()

    def state(self) -> dict[str, Any]:
        """Return what is coordinated here, for the state dump."""
        return {
            "share": round(self._reach.share(self._clock.now()), 3),
            "groups": {
                group.name: {"waiting": coordinator.waiting(), "given": coordinator.given}
                for group, coordinator in self._coordinator_by_group.items()
            },
            **self.counts,
        }

    async def _call(self, to: HostView, request: PermitRequest) -> Result[PermitReply, Refusal]:
        if self._caller is None:
            return Err(Refusal(ErrorKind.UNREACHABLE, "this host has no links"))
        return await self._caller.call(to.links, PERMITS, request, CALL_S + request.wait_s)

    async def _answer(self, request: PermitRequest, peer: Peer) -> Result[PermitReply, Refusal]:
        group = Group(request.kind, request.name)
        coordinator = self._first(group)
        # Two hosts that both gave permits would give twice the rate. Where they differ in who is
        # alive, the one that is asked wrongly leaves it to the other.
        if coordinator is not None and coordinator.host != self._host:
            self.counts["declined"] += 1
            message = f"permits for {request.name} are given by {coordinator.host}"
            return Err(Refusal(ErrorKind.NOT_LEADER, message))
        return Ok(await self._coordinator(group).answer(peer.host, request))

    def _first(self, group: Group) -> HostView | None:
        """Return the host that gives a group's permits."""
        alive = self._hosts.alive()
        if alive is not self._alive:
            # The same list is handed out until it may have changed; hashing all hosts of a large
            # fleet for each request costs 0.7 ms.
            self._alive = alive
            self._first_by_group.clear()
        if group not in self._first_by_group:
            self._first_by_group[group] = first_host(group, alive)
        return self._first_by_group[group]

    def _coordinator(self, group: Group) -> Coordinator:
        found = self._coordinator_by_group.get(group)
        if found is None:
            found = Coordinator(self._rates, self._reach.share, self._clock, self._random)
            self._coordinator_by_group[group] = found
        return found
