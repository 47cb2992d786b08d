"""Make a group of one host out of what is left when its majority is lost for good.

This is no repair by the group itself: what only the lost hosts had is gone, also where it
was acknowledged. An operator decides it, with the process of the host that is left stopped.
"""

from collections.abc import Collection
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.replication._files import GroupFiles, Opened, Vote
from cranberrywall.replication._rosters import encode_roster, find_member, voters
from cranberrywall.replication.messages import Entry, EntryKind, Member, Roster
from cranberrywall.runtime import Random, Storage

_LINEAGE_BITS = 64


class Rescue(NamedTuple):
    """Say what was kept: entries up to ``last_index``, and the hosts that are members no more."""

    group: str
    last_index: int
    removed: tuple[str, ...]


def rescue_group(
    group: str, host: str, address: str, lost: Collection[str], storage: Storage, random: Random
) -> Result[Rescue, Refusal]:
    """Let ``host`` go on with ``group`` alone; its process must not run.

    ``lost`` must name every other member: one that still runs would go on beside it. A
    group that is the host's alone already is left as it is, so the call can be repeated.
    The group gets a new lineage, so that a host that was thought lost and comes back is
    refused instead of voting with what it has. ``Err`` is ``UNSAFE_STEP`` where ``lost`` does
    not name them all, ``CONFLICT`` where the host was no voter,
    ``NOT_FOUND``, ``CORRUPT`` or ``STORAGE_FAILED``.
    """
    files = GroupFiles(storage, group)
    opened = files.open_existing()
    if isinstance(opened, Err):
        return Err(opened.err_value)
    refusal = _check(opened.ok_value, host, lost)
    if refusal is not None:
        return Err(refusal)
    try:
        if len(voters(opened.ok_value.log.roster)) == 1:
            return Ok(Rescue(group, opened.ok_value.log.last_index, ()))
        return Ok(_write(files, group, host, address, opened.ok_value, random))
    except OSError as error:
        return Err(Refusal(ErrorKind.STORAGE_FAILED, str(error), "data", "mend the disk"))
    finally:
        files.close()


def _check(opened: Opened, host: str, lost: Collection[str]) -> Refusal | None:
    roster = opened.log.roster
    member = find_member(roster, host)
    if member is None or not member.voter or member.disk != opened.vote.disk:
        message = f"{host} was no voter of the group with this disk, so it may lack changes"
        return Refusal(ErrorKind.CONFLICT, message, "host", "use the disk of a voter")
    others = [other.host for other in roster.members if other.host != host]
    if len(voters(roster)) > 1 and sorted(lost) != sorted(others):
        message = f"the group's other members are {', '.join(others)}"
        remedy = "name each of them as lost, if none of them can ever come back"
        return Refusal(ErrorKind.UNSAFE_STEP, message, "lost", remedy)
    return None


def _write(
    files: GroupFiles, group: str, host: str, address: str, opened: Opened, random: Random
) -> Rescue:
    vote, log = opened.vote, opened.log
    term = vote.term + 1
    lineage = f"{random.getrandbits(_LINEAGE_BITS):016x}"
    # The vote goes first: a term once written into the log must never be led by another.
    # A crash in between leaves a host that the lost ones refuse, and that can be rescued.
    files.save_vote(Vote(vote.disk, lineage, term, host))
    roster = Roster(lineage, (Member(host, address, vote.disk, voter=True),))
    entry = Entry(term, EntryKind.ROSTER, encode_roster(roster))
    files.append(log.last_index + 1, [entry])
    removed = tuple(member.host for member in log.roster.members if member.host != host)
    return Rescue(group, log.last_index, removed)
