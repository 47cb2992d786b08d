"""Decide which changes of a group's members are safe now.

A step is unsafe where the group could stop, or could lose what it promised, if one more
host were lost. Each check gives ``None`` where the step is safe.
"""

from collections.abc import Sequence
from typing import NamedTuple

from cranberrywall.errors import ErrorKind, Refusal

_LEAST_VOTERS = 3


class MemberView(NamedTuple):
    """Describe a member as the leader sees it.

    ``lag`` is how many entries it still lacks. ``answers`` says whether it answered the
    leader within the last election timeout. ``is_wiped`` says that the host came back
    with another disk.
    """

    host: str
    address: str
    voter: bool
    is_leader: bool
    answers: bool
    is_wiped: bool
    lag: int


class Step(NamedTuple):
    """Name a change of one member, with the reason why it is unsafe; empty where it is safe."""

    action: str
    host: str
    unsafe_because: str


def list_steps(members: Sequence[MemberView]) -> list[Step]:
    """Return what could be done with the members, each step judged alone."""
    steps = [Step("add", "", "")]
    for member in members:
        removal = check_remove(members, member.host)
        replacement = check_replace(members, member.host)
        steps.append(Step("remove", member.host, removal.message if removal else ""))
        steps.append(Step("replace", member.host, replacement.message if replacement else ""))
    return steps


def check_add(members: Sequence[MemberView], host: str) -> Refusal | None:
    """Check that ``host`` may be added; it stays without a vote until it has caught up."""
    if any(member.host == host for member in members):
        remedy = "remove it first, or give another host"
        return Refusal(ErrorKind.CONFLICT, f"{host} is a member already", "host", remedy)
    return None


def check_replace(members: Sequence[MemberView], host: str) -> Refusal | None:
    """Check that ``host`` may be replaced: it goes once the new one has its vote."""
    if all(member.host != host for member in members):
        return _not_a_member(host)
    if _is_repairing(members, host):
        return _unsafe(
            "another host is still catching up", "wait until every member is a voter without lag"
        )
    return None


def check_remove(members: Sequence[MemberView], host: str) -> Refusal | None:
    """Check that ``host`` may be removed at once."""
    removed = next((member for member in members if member.host == host), None)
    if removed is None:
        return _not_a_member(host)
    if not removed.voter:
        return None
    left = [member for member in members if member.voter and member.host != host]
    if not left:
        return Refusal(ErrorKind.BAD_REQUEST, "the last voter can't be removed", "host")
    answering = sum(member.answers for member in left)
    if answering < len(left) // 2 + 1:
        return _unsafe(
            f"only {answering} of the {len(left)} voters left would answer, which is no majority",
            "bring a lost host back first",
        )
    if not removed.answers:
        return None
    if _is_repairing(members, host):
        return _unsafe(
            "another host is still catching up", "wait until every member is a voter without lag"
        )
    if len(left) < _LEAST_VOTERS:
        return _unsafe(
            f"{len(left)} voters would be left, and the loss of one more host would stop the group",
            "replace the host instead, or add another one first",
        )
    return None


def _is_repairing(members: Sequence[MemberView], host: str) -> bool:
    return any(member.host != host and not member.voter for member in members)


def _not_a_member(host: str) -> Refusal:
    remedy = "see the group's members"
    return Refusal(ErrorKind.NOT_FOUND, f"{host} is not a member", "host", remedy)


def _unsafe(message: str, remedy: str) -> Refusal:
    return Refusal(ErrorKind.UNSAFE_STEP, message, "host", remedy)
