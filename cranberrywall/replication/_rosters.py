"""Ask about a group's members, and make the next roster of a change."""

import msgspec

from cranberrywall.replication.messages import Member, Roster

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Roster)

EMPTY_ROSTER = Roster("", ())


def encode_roster(roster: Roster) -> bytes:
    """Return the data of a roster entry."""
    return _encoder.encode(roster)


def decode_roster(data: bytes) -> Roster:
    """Return the roster of an entry's data."""
    return _decoder.decode(data)


def find_member(roster: Roster, host: str) -> Member | None:
    """Return the member on ``host``, or ``None``."""
    return next((member for member in roster.members if member.host == host), None)


def describe(member: Member) -> str:
    """Return a member as one word for logs.

    >>> describe(Member("a", "10.0.0.1:7000", "", voter=True))
    'a@10.0.0.1:7000/voter'
    """
    return f"{member.host}@{member.address}/{'voter' if member.voter else 'learner'}"


def voters(roster: Roster) -> list[Member]:
    """Return the members that count in a majority."""
    return [member for member in roster.members if member.voter]


def majority(roster: Roster) -> int:
    """Return how many voters make a majority.

    >>> majority(Roster("", (Member("a", "", "", True), Member("b", "", "", True))))
    2
    """
    return len(voters(roster)) // 2 + 1


def with_member(roster: Roster, member: Member) -> Roster:
    """Return the roster with ``member`` added, or put in place of the one on its host."""
    others = tuple(other for other in roster.members if other.host != member.host)
    return Roster(roster.lineage, tuple(sorted((*others, member))))


def without_host(roster: Roster, host: str) -> Roster:
    """Return the roster without ``host``, and without any wish to replace it."""
    kept = (member for member in roster.members if member.host != host)
    return Roster(
        roster.lineage,
        tuple(
            member._replace(replaces="") if member.replaces == host else member for member in kept
        ),
    )
