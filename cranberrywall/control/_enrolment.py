"""Enrolment of hosts at a control host, by which hosts with a few seed addresses find the others.

Each host sends its addresses to one control host after another. The answer lists the control and
entry hosts that this control host has recorded. A control host keeps its records in memory only,
because all hosts enrol again within seconds after it restarts.
"""

from collections.abc import Callable, Sequence

from result import Ok, Result

from cranberrywall.control.messages import ENROL, EnrolledHost, EnrolReply, EnrolRequest
from cranberrywall.errors import Refusal
from cranberrywall.links import Peer, Server
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock, Random

HOST_RETENTION_S = 600.0
"""A host that has not enrolled for this time is removed, in seconds.

This is far longer than a network partition lasts. A control host that receives no enrolment of
any entry host is usually partitioned itself, and goes on returning the hosts on record."""

MAX_ENTRIES_PER_REPLY = 16
"""Maximum number of entry hosts in one answer; entry hosts find the others by gossip."""

EXPIRY_INTERVAL_S = 1.0
"""Interval in seconds between two checks for hosts to remove."""


class Enrolments:
    """Hosts that enrolled at this control host recently."""

    def __init__(
        self,
        members: Callable[[], Sequence[str]],
        revision: Callable[[], int],
        clock: Clock,
        random: Random,
    ) -> None:
        """``members`` returns the stream addresses of the groups' members, by their rosters.

        ``revision`` returns the newest revision of the configuration on this host. It is part of
        each answer, so that a host that was partitioned or not started when the revision was
        announced receives it with its next enrolment.
        """
        self._members = members
        self._revision = revision
        self._clock = clock
        self._random = random
        self._host_by_name: dict[str, EnrolledHost] = {}
        self._last_seen_by_name: dict[str, float] = {}
        self._expired_at = float("-inf")

    def register(self, server: Server) -> None:
        """Register the handler of enrolments at ``server``."""
        server.register(ENROL, self._enrol)

    def entries(self) -> list[EnrolledHost]:
        """Return the entry hosts on record, sorted by name."""
        return sorted(self._entries(), key=lambda host: host.host)

    def controls(self) -> tuple[str, ...]:
        """Return the stream addresses of the control hosts, the members of the groups first."""
        members = list(self._members())
        enrolled = [host.links for host in self._host_by_name.values() if host.is_control]
        return tuple(dict.fromkeys(members + enrolled))

    def control_incarnations(self) -> dict[str, int]:
        """Return the incarnations of the control hosts on record, by stream address."""
        hosts = self._host_by_name.values()
        return {host.links: host.incarnation for host in hosts if host.is_control}

    async def _enrol(self, request: EnrolRequest, peer: Peer) -> Result[EnrolReply, Refusal]:
        self._record(request.me)
        return Ok(EnrolReply(self.controls(), self._some_entries(), self._revision()))

    def _entries(self) -> list[EnrolledHost]:
        now = self._clock.now()
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self._remove_expired(now)
        return [host for host in self._host_by_name.values() if not host.is_control]

    def _some_entries(self) -> tuple[EnrolledHost, ...]:
        """Return a few random entry hosts, with as many draws as hosts are returned.

        Every host of the fleet enrols each second.
        """
        entries = self._entries()
        count = min(MAX_ENTRIES_PER_REPLY, len(entries))
        for index in range(count):
            other = self._random.randrange(index, len(entries))
            entries[index], entries[other] = entries[other], entries[index]
        return tuple(entries[:count])

    def _record(self, host: EnrolledHost) -> None:
        recorded = self._host_by_name.get(host.host)
        # A delayed message of an earlier incarnation must not restore its address.
        if recorded is not None and recorded.incarnation > host.incarnation:
            return
        if recorded != host:
            log_event("INFO", "host_enrolled", enrolled=host.host, links=host.links)
        self._host_by_name[host.host] = host
        self._last_seen_by_name[host.host] = self._clock.now()

    def _remove_expired(self, now: float) -> None:
        for name in [
            name for name, at in self._last_seen_by_name.items() if now - at > HOST_RETENTION_S
        ]:
            del self._host_by_name[name]
            del self._last_seen_by_name[name]
