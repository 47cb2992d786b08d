"""Let hosts that know only a few control hosts find all others.

Each host tells one control host after another where it is, and learns which control and
entry hosts that one knows. What a control host knows is in memory only: it is told again
within seconds after a restart.
"""

from collections.abc import Callable, Sequence

from result import Ok, Result

from cranberrywall.control.messages import ENROL, EnrolledHost, EnrolReply, EnrolRequest
from cranberrywall.errors import Refusal
from cranberrywall.links import Peer, Server
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock, Random

KEPT_S = 600.0
"""A host that was not heard for this long is forgotten, in seconds.

Far longer than a cut lasts: a control host that hears of no entry host is most often cut off
itself, and goes on naming those that it knew."""

ENTRIES_TOLD = 16
"""Entry hosts named in one answer at most: they know of the others among themselves."""


class Enrolments:
    """Hold the hosts that were heard of lately."""

    def __init__(
        self,
        members: Callable[[], Sequence[str]],
        revision: Callable[[], int],
        clock: Clock,
        random: Random,
    ) -> None:
        """``members`` gives the stream addresses of the groups' members, by their rosters.

        ``revision`` is the newest one of the configuration here. A host that nobody could tell of
        it, since it was cut off or not there yet, so learns of it as soon as it is in touch.
        """
        self._members = members
        self._revision = revision
        self._clock = clock
        self._random = random
        self._host_by_name: dict[str, EnrolledHost] = {}
        self._heard_at: dict[str, float] = {}

    def register(self, server: Server) -> None:
        """Answer the hosts that enrol at ``server``."""
        server.register(ENROL, self._enrol)

    def entries(self) -> list[EnrolledHost]:
        """Return the entry hosts that were heard of, in the order of their names."""
        self._forget_silent(self._clock.now())
        known = [host for host in self._host_by_name.values() if not host.is_control]
        return sorted(known, key=lambda host: host.host)

    def controls(self) -> tuple[str, ...]:
        """Return the stream addresses of the control hosts, members of the groups first."""
        members = list(self._members())
        enrolled = [host.links for host in self._host_by_name.values() if host.is_control]
        return tuple(dict.fromkeys(members + enrolled))

    def control_incarnations(self) -> dict[str, int]:
        """Return the incarnations of the control hosts heard of, by their streams' addresses."""
        known = self._host_by_name.values()
        return {host.links: host.incarnation for host in known if host.is_control}

    async def _enrol(self, request: EnrolRequest, peer: Peer) -> Result[EnrolReply, Refusal]:
        self._note(request.me)
        entries = self.entries()
        while len(entries) > ENTRIES_TOLD:
            entries.pop(self._random.randrange(0, len(entries)))
        return Ok(EnrolReply(self.controls(), tuple(entries), self._revision()))

    def _note(self, host: EnrolledHost) -> None:
        known = self._host_by_name.get(host.host)
        # A late message of an earlier run must not bring its address back.
        if known is not None and known.incarnation > host.incarnation:
            return
        if known != host:
            log_event("INFO", "host_enrolled", enrolled=host.host, links=host.links)
        self._host_by_name[host.host] = host
        self._heard_at[host.host] = self._clock.now()

    def _forget_silent(self, now: float) -> None:
        for name in [name for name, at in self._heard_at.items() if now - at > KEPT_S]:
            del self._host_by_name[name]
            del self._heard_at[name]
