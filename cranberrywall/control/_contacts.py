"""Know the control hosts of a fleet, from a few addresses to begin with."""

from collections.abc import Awaitable, Callable, Sequence

from result import Err, Ok, Result

from cranberrywall.control.messages import ENROL, EnrolledHost, EnrolRequest
from cranberrywall.errors import Refusal
from cranberrywall.links import Caller
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock, Random

ENROL_EVERY_S = 1.0
"""A host enrols at one control host this often, in seconds.

Each of five control hosts so hears of each host every 5 s, at a cost that doesn't grow with
the number of hosts at either end beyond one small call a host and second."""

FIRST_EVERY_S = 0.1
"""Until a control host has answered once the next one is asked so soon, in seconds."""

ENROL_TIMEOUT_S = 0.5

ENLIST_EVERY_S = 1.0

LOST_AFTER_S = 5.0
"""After so long without an answer of any control host this one counts as cut off, in seconds.

Five turns: one that stops and starts again within that time is missed by nobody."""

Enlist = Callable[[str, str, str], Awaitable[Result[object, Refusal]]]
"""Ask the leader of a group to take in a host at an address."""

OnEntries = Callable[[Sequence[EnrolledHost]], None]

OnRevision = Callable[[int, str], None]
"""Take in which revision of the configuration the control host at an address has."""


class ControlContacts:
    """Hold the control hosts' stream addresses; the seeds stay among them for good.

    Seeds may be gone, and those that took their place are told by the others. Where none
    that was told of answers any more, the seeds are what is left to ask.
    """

    def __init__(
        self,
        me: EnrolledHost,
        seeds: Sequence[str],
        caller: Caller,
        clock: Clock,
        random: Random,
        on_entries: OnEntries = lambda entries: None,
        on_revision: OnRevision = lambda revision, control: None,
    ) -> None:
        self._me = me
        self._seeds = tuple(seeds)
        self._caller = caller
        self._clock = clock
        self._random = random
        self._on_entries = on_entries
        self._on_revision = on_revision
        self._told: tuple[str, ...] = ()
        self._turn = random.randrange(0, max(1, len(seeds)))
        self._heard_at = float("-inf")

    def addresses(self) -> Sequence[str]:
        """Return the addresses to call, this host's own left out where others are known."""
        known = dict.fromkeys((*self._told, *self._seeds))
        others = [address for address in known if address != self._me.links]
        return others or list(known)

    def is_recently_seen(self, now: float) -> bool:
        """Say whether a control host answered this one within ``LOST_AFTER_S``."""
        return now - self._heard_at <= LOST_AFTER_S

    async def run(self) -> None:
        """Enrol again and again, until cancelled."""
        while True:
            await self.enrol_once()
            is_known = self._heard_at > float("-inf")
            pause_s = ENROL_EVERY_S if is_known else FIRST_EVERY_S
            await self._clock.sleep(pause_s * self._random.uniform(0.8, 1.2))

    async def enrol_once(self) -> bool:
        """Enrol at the next control host in turn, and return whether it answered."""
        addresses = self.addresses()
        self._turn += 1
        address = addresses[self._turn % len(addresses)]
        answer = await self._caller.call(address, ENROL, EnrolRequest(self._me), ENROL_TIMEOUT_S)
        if isinstance(answer, Err):
            return False
        reply = answer.ok_value
        now = self._clock.now()
        if not self.is_recently_seen(now):
            log_event("INFO", "control_in_reach", control=address, controls=len(reply.controls))
        self._heard_at = now
        # An answer without control hosts is one of a host that knows of none yet.
        self._told = reply.controls or self._told
        self._on_revision(reply.revision, address)
        self._on_entries([one for one in reply.entries if one.host != self._me.host])
        return True


class GroupJoiner:
    """Have this host taken in by groups that it hears no leader of.

    A control host whose seat was given away while it was cut off, or that comes with an
    empty disk, is sent nothing by the leader; it must ask.
    """

    def __init__(
        self,
        host: str,
        links: str,
        groups_without_leader: Callable[[], Sequence[str]],
        enlist: Enlist,
        clock: Clock,
    ) -> None:
        """``groups_without_leader`` gives the groups of which this host hears no leader."""
        self._host = host
        self._links = links
        self._unheard = groups_without_leader
        self._enlist = enlist
        self._clock = clock

    async def run(self) -> None:
        """Ask once a second for each such group, until cancelled."""
        while True:
            await self._clock.sleep(ENLIST_EVERY_S)
            for group in self._unheard():
                answer = await self._enlist(group, self._host, self._links)
                if isinstance(answer, Ok):
                    log_event("INFO", "enlisted", group=group)
