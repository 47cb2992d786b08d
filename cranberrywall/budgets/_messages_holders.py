"""Define the messages about holders: who may spend, and how it is known that one cannot."""

from typing import NamedTuple


class Holder(NamedTuple):
    """Identify one run of one entry host; ``incarnation`` rises with each start."""

    host: str
    incarnation: int


UNSEEN_AT_ONCE = 0.05
"""Share of what a holder has that it may spend as soon as the ledger falls silent.

Without it, all requests of a cut's first moments would wait. Where all hosts are lost together,
this much of their parts stays booked to them at least."""

FULL_UNREPORTED_DELAY_S = 8.0
"""A holder that was silent for so long may have spent all that it has, in seconds.

A cut of some seconds is served at an even rate by it: in cuts of 7 to 9 s workspaces used 25 to 35
in 100 of their totals. A host whose machine was without power for a second gets back four fifths at
once. A bound that rises at half that rate for three seconds, and faster then, serves no better."""


def unreported_share(silent_s: float) -> float:
    """Return the share of its part that a holder may have spent out of the ledger's sight.

    ``silent_s`` is how long ago it last said what it had spent so. Both sides go by this:
    the holder spends no more, and the ledger frees no more of a holder that is lost.

    >>> unreported_share(0.0), unreported_share(2.0), unreported_share(60.0)
    (0.05, 0.3, 1.0)
    """
    return min(1.0, UNSEEN_AT_ONCE + max(0.0, silent_s) / FULL_UNREPORTED_DELAY_S)


class Contact(NamedTuple):
    """Say when a holder reached the ledger, by the clocks of its machine, in seconds.

    ``clock`` goes on while processes of the machine end and start, and begins anew where the
    machine loses its power; ``wall`` is its time of day. ``is_detached`` says that it is not known
    what is kept at peers and the ledger has not got; else that is ``unseen`` of each budget.
    ``keepers`` are the peers at which it keeps any from now on, and the runs of them that are
    up; where they are ``None``, it goes on with those that it named before.
    """

    clock: float
    is_detached: bool
    keepers: tuple[Holder, ...] | None = None
    wall: float = 0.0
    unseen: tuple[tuple[str, int], ...] = ()


class Evidence(NamedTuple):
    """Show what older incarnations of a host without a disk may have spent unseen.

    ``started_clock`` is the machine's steady clock at the start of the successor. Where
    ``has_asked``, the keepers were asked that the ledger names, and nothing was spent that
    nobody keeps: ``empty`` are runs of peers that hold nothing any more, and ``empty_on_disk``
    hosts whose disks hold nothing, whichever of their runs kept it.
    """

    started_clock: float
    has_asked: bool = False
    empty: tuple[Holder, ...] = ()
    empty_on_disk: tuple[str, ...] = ()


class HeldAmount(NamedTuple):
    """Describe one holder's allotment; ``active_at`` is its last draw, return or charge."""

    holder: Holder
    outstanding: int
    active_at: float


class RegisterHolder(NamedTuple):
    """Announce a holder; each older incarnation of the host can no longer spend.

    The successor holds the host's bound addresses, so the older process has ended. It
    may neither draw nor take a transfer any more, but its late charges are still billed.
    ``delivered`` says that every charge and transfer that the older incarnations left (in
    the host's journal, or at its mirrors) has been sent: only then does their remainder
    come back. Send it again with ``delivered`` set once that is so. A host without a disk
    cannot know by itself, so the ledger weighs its ``evidence`` for each older incarnation.
    """

    holder: Holder
    delivered: bool
    at: float
    evidence: Evidence | None = None
    contact: Contact | None = None


class RegisterResult(NamedTuple):
    """Give the sum that came back, and what older incarnations still hold in this group.

    ``keepers`` are the hosts that may keep charges and transfers of those incarnations.
    """

    released: int
    held: int
    keepers: tuple[str, ...] = ()


class ConfirmDead(NamedTuple):
    """Confirm that a host's incarnation can no longer spend; its remainder comes back.

    ``approver`` is another person than ``operator``.
    """

    holder: Holder
    operator: str
    approver: str
    at: float


class ConfirmDeadResult(NamedTuple):
    """Give the sum that came back, over the budgets of this group."""

    released: int


class HoldersQuery(NamedTuple):
    """Ask for each holder's sums over the group's budgets."""


class HolderSum(NamedTuple):
    """Give what one incarnation has outstanding over all budgets of the group.

    ``current`` is false for an incarnation that was succeeded. ``active_at`` is the last
    time that it was heard.
    """

    holder: Holder
    current: bool
    outstanding: int
    budgets: int
    active_at: float


class HoldersResult(NamedTuple):
    """List the holders."""

    holders: tuple[HolderSum, ...]
