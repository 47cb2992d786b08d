"""Form a new group, once, from hosts that never were members of one.

The first of the founders by address asks all others. It writes the first roster only when
every one of them answers, agrees on the list of founders, and holds nothing of this group. So
hosts whose disks were wiped cannot form an empty group beside a host that still has its log.

Where hosts become members by themselves, the group is formed without a founder that is lost
before. The next founder takes the place of the first one. Two founders that do not reach each
other may both write a roster, but only one of the two groups gets a leader: a founder votes in one
group only, and a majority of each roster is a majority of the founders.
"""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.links import Peer
from cranberrywall.replication._core import Core
from cranberrywall.replication._rosters import encode_roster
from cranberrywall.replication.messages import (
    Entry,
    EntryKind,
    IdentifyReply,
    IdentifyRequest,
    Member,
    Roster,
)

_LINEAGE_BITS = 64
_FIRST_TERM = 1

TURN_S = 3.0
"""Time in seconds for which all founders are waited for, and until the next founder's turn."""


class InitialMembers(NamedTuple):
    """Name the hosts that form a new group by their stream addresses; ``own`` is this host's.

    ``may_form`` is false where the group is known to exist: a host with an empty disk then
    waits until a leader takes it in, however many of the founders have lost their disks.
    ``may_join_later`` is true where hosts become members by themselves, so that the group does not
    have to be formed by all founders.
    """

    addresses: tuple[str, ...]
    own: str
    may_form: bool = True
    may_join_later: bool = False


def initial_members_of(address_by_host: Mapping[str, str], this_host: str) -> InitialMembers:
    """Return the founders of a group whose hosts are known by name, as settings list them.

    A host that is added later may stand in no list but its own; it founds nothing.
    """
    return InitialMembers(
        tuple(sorted(address_by_host.values())), address_by_host.get(this_host, "")
    )


class Formation:
    """Form the group out of its founders, or answer the founder that does."""

    def __init__(self, core: Core, founders: InitialMembers) -> None:
        self._core = core
        self._own = founders.own
        self._founders = tuple(sorted(founders.addresses))
        self._may_form = founders.may_form
        self._may_join_later = founders.may_join_later
        self._started_at = core.clock.now()
        self._asking: asyncio.Task[None] | None = None
        self._ask_at = float("-inf")
        self._is_reported = False

    @property
    def is_free(self) -> bool:
        """Say whether this host holds nothing of the group."""
        return self._core.log.last_index == 0 and not self._core.lineage

    async def answer(self, request: IdentifyRequest, peer: Peer) -> Result[IdentifyReply, Refusal]:
        """Give this host's disk."""
        if self._core.failure is not None:
            return Err(self._core.failure)
        core = self._core
        agrees = self._may_form and request.founders == self._founders
        return Ok(IdentifyReply(core.vote.disk, core.lineage, self.is_free and agrees, core.host))

    def tick(self, now: float) -> None:
        """Try to form the group, where it is this host's turn."""
        core = self._core
        if not self.is_free or core.failure or not self._is_our_turn(now):
            return
        if now < self._ask_at or (self._asking and not self._asking.done()):
            return
        self._ask_at = now + core.settings.election_s
        self._asking = core.spawn(self._run(now))

    def _is_our_turn(self, now: float) -> bool:
        if not self._may_form or self._own not in self._founders:
            return False
        rank = self._founders.index(self._own)
        return rank == 0 or (self._may_join_later and now - self._started_at >= rank * TURN_S)

    async def _run(self, now: float) -> None:
        core = self._core
        others = [address for address in self._founders if address != self._own]
        found = await asyncio.gather(*(self._identify(address) for address in others))
        others_free = [member for member in found if member is not None]
        if any(member.address < self._own for member in others_free):
            return
        members = [Member(core.host, self._own, core.vote.disk, True), *others_free]
        missing = len(self._founders) - len(members)
        if missing and not self._has_waited(now):
            return
        if missing:
            self._report_missing(missing)
        if missing and not self._are_enough(len(members)):
            return
        lineage = f"{core.random.getrandbits(_LINEAGE_BITS):016x}"
        roster = Roster(lineage, tuple(sorted(members)))
        async with core.lock:
            if self.is_free:
                await self._write(roster)

    def _has_waited(self, now: float) -> bool:
        rank = self._founders.index(self._own)
        return now - self._started_at >= (rank + 1) * TURN_S

    def _report_missing(self, missing: int) -> None:
        if not self._is_reported:
            self._is_reported = True
            self._core.event("founders_missing", "WARNING", missing=missing)

    def _are_enough(self, members: int) -> bool:
        """Return whether a majority of so many members is a majority of the founders."""
        return self._may_join_later and members // 2 == len(self._founders) // 2

    async def _identify(self, address: str) -> Member | None:
        core = self._core
        timeout = core.settings.election_s
        request = IdentifyRequest(self._founders)
        reply = await core.caller.call(address, core.methods.identify, request, timeout)
        if isinstance(reply, Err) or not reply.ok_value.free:
            return None
        return Member(reply.ok_value.host, address, reply.ok_value.disk, True)

    async def _write(self, roster: Roster) -> None:
        core = self._core
        entry = Entry(_FIRST_TERM, EntryKind.ROSTER, encode_roster(roster))
        core.log.append(1, [entry])
        if isinstance(await core.make_durable(1, [entry]), Err):
            return
        # Nobody leads the first term: the roster is committed by the first leader.
        await core.save_vote(max(core.term, _FIRST_TERM), "", roster.lineage)
        core.event("group_formed", founders=",".join(self._founders))
        core.campaign_at = core.clock.now()
