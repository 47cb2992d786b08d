"""Messages about holders: who may spend, and how a lost holder's remainder is freed."""

from typing import NamedTuple


class Holder(NamedTuple):
    """An incarnation of an entry host; ``incarnation`` rises with each start."""

    host: str
    incarnation: int


class Contact(NamedTuple):
    """Clocks and state of a holder when it contacted the ledger, in seconds.

    ``clock`` is the monotonic clock of the holder's machine. It continues while processes end and
    start, and restarts if the machine loses power. ``wall`` is the machine's wall clock.
    ``is_detached`` is true if it is unknown which charges and transfers are stored at peers and not
    at the ledger; otherwise ``unseen`` is their amount of each budget. ``keepers`` are the peers,
    with their running incarnations, that store the holder's data from now on; ``None`` means no
    change.
    """

    clock: float
    is_detached: bool
    keepers: tuple[Holder, ...] | None = None
    wall: float = 0.0
    unseen: tuple[tuple[str, int], ...] = ()


DECLARED_RATES = "declared_spend_rates"
"""Name of the feature of ledger groups whose members apply ``DeclareSpendRates``."""


class DeclareSpendRates(NamedTuple):
    """Command that declares the holder's maximum rates of unreported spend, in units per second.

    The holder spends no faster from this contact on, and the ledger withholds no more of what a
    lost holder had. Budgets that are not in ``rates`` keep the rates that they have.
    """

    holder: Holder
    rates: tuple[tuple[str, int], ...]
    contact: Contact


TRACKED_STARTS = "tracked_starts"
"""Name of the feature of ledger groups whose members apply ``TrackStarts``."""


class TrackStarts(NamedTuple):
    """Command after which the ledger records which incarnations of the host it has heard of.

    An incarnation is the time of day of a start. If the host's clock is set back, a later start has
    a lower incarnation than an earlier one. The ledger then does not treat an incarnation as
    released that it first hears of after a higher one.
    """

    holder: Holder


class Evidence(NamedTuple):
    """Evidence on what older incarnations of a host without a disk may have spent unreported.

    ``started_clock`` is the machine's monotonic clock at the start of the successor. ``has_asked``
    is true if all peers were asked that the ledger named as replica holders, and if nothing was
    spent without a replica. ``empty`` are incarnations of peers that store nothing any more, or
    whose records another peer had as well. ``empty_on_disk`` are hosts whose disks store nothing,
    whichever of their incarnations wrote it.
    """

    started_clock: float
    has_asked: bool = False
    empty: tuple[Holder, ...] = ()
    empty_on_disk: tuple[str, ...] = ()


class HeldAmount(NamedTuple):
    """Allotment of one holder; ``active_at`` is the time of its last draw, return or charge."""

    holder: Holder
    outstanding: int
    active_at: float


class RegisterHolder(NamedTuple):
    """Command that registers a holder; older incarnations of the host can no longer spend.

    The successor has bound the host's addresses, so the older process has ended. The older
    incarnation may neither draw nor receive a transfer, but its late charges are still billed.
    ``delivered`` is true once every charge and transfer that the older incarnations left in the
    host's journal or at its replica holders has been sent. Only then is their remainder freed, so
    the command is sent again at that time. A host without a disk cannot know this by itself; the
    ledger then checks the ``evidence`` for each older incarnation.
    """

    holder: Holder
    delivered: bool
    at: float
    evidence: Evidence | None = None
    contact: Contact | None = None


class RegisterResult(NamedTuple):
    """Amount that was freed, and what older incarnations still hold in this group.

    ``keepers`` are the hosts that may store charges and transfers of those incarnations.
    """

    released: int
    held: int
    keepers: tuple[str, ...] = ()


class ReplicaHoldersQuery(NamedTuple):
    """Query for the peers that ``successor``'s older incarnations named as replica holders."""

    successor: Holder


class NamedReplicaHolders(NamedTuple):
    """Peers, with their incarnations, that ``holder`` named last; ``None`` if it named none."""

    holder: Holder
    replica_holders: tuple[Holder, ...] | None


class ReplicaHoldersResult(NamedTuple):
    """One row for each older incarnation that is not released yet."""

    rows: tuple[NamedReplicaHolders, ...]


class ConfirmDead(NamedTuple):
    """Command that confirms that an incarnation can no longer spend; frees its remainder.

    ``approver`` is a different person than ``operator``.
    """

    holder: Holder
    operator: str
    approver: str
    at: float


class ConfirmDeadResult(NamedTuple):
    """Amount that was freed over the budgets of this group."""

    released: int


class HoldersQuery(NamedTuple):
    """Query for each holder's sums over the group's budgets."""


class HolderSum(NamedTuple):
    """Amount that one incarnation has outstanding over all budgets of the group.

    ``current`` is false for an incarnation that was superseded or confirmed dead. ``active_at`` is
    the time of its last activity, in seconds since the epoch.
    """

    holder: Holder
    current: bool
    outstanding: int
    budgets: int
    active_at: float


class HoldersResult(NamedTuple):
    """List of the holders."""

    holders: tuple[HolderSum, ...]
