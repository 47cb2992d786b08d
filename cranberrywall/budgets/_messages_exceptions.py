"""Define the messages about duplicates, late charges and amounts in doubt."""

from enum import StrEnum
from typing import NamedTuple

from cranberrywall.budgets._messages_holders import Holder


class ExceptionKind(StrEnum):
    """Name what is odd about an entry in the list of exceptions.

    ``duplicate``: a second charge of a request id, not billed. ``late_period``: billed
    after the period of its reservation was closed, and booked to the open one.
    ``forgotten_id``: so late that the ledger cannot tell whether its id was billed; set
    aside. ``unfunded``: it came after its holder's remainder came back and was spent
    elsewhere; billing it would overspend; set aside. ``number_reused``: its holder gave
    its number to another request before; set aside. ``dead_holder``: an older
    incarnation's allotment that waits for evidence. ``silent_holder``: an amount held by
    an incarnation that has not been heard for long.
    """

    DUPLICATE = "duplicate"
    LATE_PERIOD = "late_period"
    FORGOTTEN_ID = "forgotten_id"
    UNFUNDED = "unfunded"
    NUMBER_REUSED = "number_reused"
    DEAD_HOLDER = "dead_holder"
    SILENT_HOLDER = "silent_holder"


class ExceptionRow(NamedTuple):
    """Name one duplicate, late charge or amount in doubt, with its reason and way out.

    ``number`` is given to ``ResolveDoubt``; it is 0 where there is nothing to resolve.
    ``held`` is the part of ``amount`` that is set aside in the budget's sums. ``state`` is
    ``recorded``, ``open``, ``billed`` or ``released``.
    """

    number: int
    kind: ExceptionKind
    budget: str
    workspace: str
    request_id: str
    holder: Holder
    amount: int
    held: int
    at: float
    state: str
    reason: str
    remedy: str


class ExceptionsQuery(NamedTuple):
    """Ask for duplicates, late charges and amounts in doubt, oldest first.

    ``open_only`` leaves out what needs no decision. ``now`` (seconds since the epoch)
    decides which holders count as silent. ``after`` is the last page's ``next_after``, 0
    at first, and ``limit`` bounds the rows on a page. ``period`` names a closed period,
    whose list is as it was at the closing; empty gives the present list.
    """

    budget: str
    open_only: bool
    now: float
    after: int
    limit: int
    period: str = ""


class ExceptionsResult(NamedTuple):
    """Give a page of exceptions; ``next_after`` is 0 on the last page.

    ``unnamed`` counts the duplicates, and ``unnamed_late`` the late charges, beyond the
    bound on those that are kept by name.
    """

    rows: tuple[ExceptionRow, ...]
    next_after: int
    unnamed: int
    unnamed_late: int = 0


class ResolveDoubt(NamedTuple):
    """Decide an amount in doubt: bill it, or let it come back.

    ``approver`` is another person than ``operator``.
    """

    number: int
    bill: bool
    operator: str
    approver: str
    at: float
