"""Define the messages about holders: who may spend, and how it is known that one cannot."""

from typing import NamedTuple


class Holder(NamedTuple):
    """Identify one run of one entry host; ``incarnation`` rises with each start."""

    host: str
    incarnation: int


DETACH_AFTER_S = 2.0
"""A holder without a disk keeps no more than its grace at peers before it was silent for so long.

Seconds since it last sent the ledger anything. A successor that starts sooner than that after
the holder's last contact so proves that nothing more was kept anywhere, also where all peers
were lost with it: a killed process is started again about a second later."""

GRACE_SHARE = 0.02
"""Share of a budget's credits that a holder may spend at once where the ledger falls silent.

Without it, requests would wait for ``DETACH_AFTER_S`` at the beginning of each cut. Where all hosts
are lost together this much stays booked to each of them: a fiftieth of a budget is one or two
requests where budgets are small, and seven hosts strand a seventh of it at worst."""


def grace_of(credited: int) -> int:
    """Return the grace of each holder of a budget with these credits.

    >>> grace_of(1000)
    20
    """
    return int(credited * GRACE_SHARE)


class Contact(NamedTuple):
    """Say when a holder reached the ledger, by the steady clock of its machine, in seconds.

    The clock goes on while processes of the machine end and start. ``is_detached`` says that
    charges or transfers of the holder may be kept at peers that the ledger has not got.
    ``keepers`` are the peers at which it keeps any from now on, and the runs of them that are
    up; where they are ``None``, it goes on with those that it named before.
    """

    clock: float
    is_detached: bool
    keepers: tuple[Holder, ...] | None = None


class Evidence(NamedTuple):
    """Show that nothing is kept of older incarnations of a host without a disk.

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
