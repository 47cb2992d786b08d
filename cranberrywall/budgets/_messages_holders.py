"""Define the messages about holders: who may spend, and how it is known that one cannot."""

from typing import NamedTuple


class Holder(NamedTuple):
    """Identify one run of one entry host; ``incarnation`` rises with each start."""

    host: str
    incarnation: int


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
    come back. Send it again with ``delivered`` set once that is so.
    """

    holder: Holder
    delivered: bool
    at: float


class RegisterResult(NamedTuple):
    """Give the sum that came back, and what older incarnations still hold in this group."""

    released: int
    held: int


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
