"""Discovery of the control hosts from seed addresses, and requests to join groups again."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from result import Err, Ok, Result

from cranberrywall.control.messages import ENROL, EnrolledHost, EnrolRequest
from cranberrywall.errors import Refusal
from cranberrywall.links import Caller
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock, Random

ENROL_INTERVAL_S = 1.0
"""Interval at which a host enrols at one control host after another, in seconds.

Each of five control hosts so receives an enrolment of each host every 5 s. The cost is one small
call per host and second, however many hosts and control hosts there are."""

FIRST_ENROL_INTERVAL_S = 0.1
"""Interval between enrolments until a control host has answered for the first time, in seconds."""

MAX_FIRST_ENROLMENTS = 3
"""Maximum number of control hosts at which a host enrols at once when it starts."""

ENROL_TIMEOUT_S = 0.5

ENLIST_INTERVAL_S = 1.0

CONTACT_TIMEOUT_S = 5.0
"""A host without an answer of any control host for this time counts as isolated, in seconds.

This is five enrolment intervals, so that a control host can restart within this time without
effect."""

Enlist = Callable[[str, str, str], Awaitable[Result[object, Refusal]]]
"""Ask the leader of a group to add a host as a member; arguments: group, host, stream address."""

OnEntries = Callable[[Sequence[EnrolledHost]], None]

OnRevision = Callable[[int, str], None]
"""Receive the revision of the configuration that a control host has, and its stream address."""


class ControlContacts:
    """Stream addresses of the control hosts: those that control hosts returned, and the seeds.

    Seeds may have been replaced by other hosts; the remaining control hosts return the addresses
    of these. The seeds stay in use, for the case that no returned address answers any more.
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
        self._discovered: tuple[str, ...] = ()
        self._index = random.randrange(0, max(1, len(seeds)))
        self._last_contact_at = float("-inf")

    def addresses(self) -> Sequence[str]:
        """Return the addresses to call, without this host's own one if there are others."""
        unique = dict.fromkeys((*self._discovered, *self._seeds))
        others = [address for address in unique if address != self._me.links]
        return others or list(unique)

    def is_recently_seen(self, now: float) -> bool:
        """Return whether a control host answered this one within ``CONTACT_TIMEOUT_S``."""
        return now - self._last_contact_at <= CONTACT_TIMEOUT_S

    async def run(self) -> None:
        """Enrol at regular intervals until cancelled."""
        while True:
            if self._last_contact_at > float("-inf"):
                await self.enrol_once()
            else:
                await self._enrol_first()
            has_contact = self._last_contact_at > float("-inf")
            pause_s = ENROL_INTERVAL_S if has_contact else FIRST_ENROL_INTERVAL_S
            await self._clock.sleep(pause_s * self._random.uniform(0.8, 1.2))

    async def enrol_once(self) -> bool:
        """Enrol at the next control host in turn; return whether it answered."""
        addresses = self.addresses()
        self._index += 1
        return await self._enrol_at(addresses[self._index % len(addresses)])

    async def _enrol_first(self) -> None:
        """Enrol at several control hosts at once.

        Hosts that start at the same moment find each other only at a control host where both have
        enrolled.
        """
        addresses = list(self.addresses())[:MAX_FIRST_ENROLMENTS]
        await asyncio.gather(*(self._enrol_at(address) for address in addresses))

    async def _enrol_at(self, address: str) -> bool:
        answer = await self._caller.call(address, ENROL, EnrolRequest(self._me), ENROL_TIMEOUT_S)
        if isinstance(answer, Err):
            return False
        reply = answer.ok_value
        now = self._clock.now()
        if not self.is_recently_seen(now):
            log_event("INFO", "control_in_reach", control=address, controls=len(reply.controls))
        self._last_contact_at = now
        # A control host that has no addresses yet returns none.
        self._discovered = reply.controls or self._discovered
        self._on_revision(reply.revision, address)
        self._on_entries([one for one in reply.entries if one.host != self._me.host])
        return True


class GroupJoiner:
    """Asks the leaders of groups to add this host, if it has no contact with them.

    The leader sends nothing to a control host that was replaced as a member while it was
    partitioned, or that starts with an empty disk. Such a host has to ask.
    """

    def __init__(
        self,
        host: str,
        links: str,
        groups_without_leader: Callable[[], Sequence[str]],
        enlist: Enlist,
        clock: Clock,
    ) -> None:
        """``groups_without_leader`` returns the groups whose leader this host cannot reach."""
        self._host = host
        self._links = links
        self._groups_without_leader = groups_without_leader
        self._enlist = enlist
        self._clock = clock

    async def run(self) -> None:
        """Ask for each such group every ``ENLIST_INTERVAL_S`` seconds until cancelled."""
        while True:
            await self._clock.sleep(ENLIST_INTERVAL_S)
            for group in self._groups_without_leader():
                answer = await self._enlist(group, self._host, self._links)
                if isinstance(answer, Ok):
                    log_event("INFO", "enlisted", group=group)
