"""Messages about duplicates, late charges and amounts in doubt."""

from enum import StrEnum
from typing import NamedTuple

from cranberrywall.budgets._messages_holders import Holder


class ExceptionKind(StrEnum):
    """Kind of an exception.

    ``duplicate``: a second charge of a request id, which is not billed. ``late_period``: a charge
    that arrived after the period of its reservation was closed; it is billed in the open period.
    ``forgotten_id``: the charge is so old that the ledger no longer has the ids of that time, and
    cannot detect whether the request was billed; in doubt. ``unfunded``: the charge arrived after
    its holder's remainder was freed and spent by others, and billing it would overspend; in doubt.
    ``number_reused``: the holder used the charge's number for another request before; in doubt.
    ``dead_holder``: an older incarnation's allotment that is not released, because evidence is
    missing. ``silent_holder``: an amount held by an incarnation that has sent nothing for a long
    time.
    """

    DUPLICATE = "duplicate"
    LATE_PERIOD = "late_period"
    FORGOTTEN_ID = "forgotten_id"
    UNFUNDED = "unfunded"
    NUMBER_REUSED = "number_reused"
    DEAD_HOLDER = "dead_holder"
    SILENT_HOLDER = "silent_holder"


class ExceptionRow(NamedTuple):
    """A duplicate, late charge or amount in doubt, with its reason and remedy.

    ``number`` identifies the exception in ``ResolveDoubt``; it is 0 if there is nothing to resolve.
    ``held`` is the part of ``amount`` that is withheld in the budget's sums. ``state`` is
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
    """Query for duplicates, late charges and amounts in doubt, oldest first.

    ``open_only`` omits what needs no decision. ``now``, in seconds since the epoch, determines
    which holders count as unresponsive. ``after`` is the ``next_after`` of the previous page, and 0
    for the first page; ``limit`` bounds the rows on a page. ``period`` selects the list that was
    stored when that period was closed; empty selects the current list.
    """

    budget: str
    open_only: bool
    now: float
    after: int
    limit: int
    period: str = ""


class ExceptionsResult(NamedTuple):
    """Page of exceptions; ``next_after`` is 0 on the last page.

    ``unnamed`` is the number of duplicates, and ``unnamed_late`` the number of late charges, that
    were not listed because of the limit.
    """

    rows: tuple[ExceptionRow, ...]
    next_after: int
    unnamed: int
    unnamed_late: int = 0


class ResolveDoubt(NamedTuple):
    """Command that decides an amount in doubt: bill it, or free what is withheld.

    ``approver`` is a different person than ``operator``.
    """

    number: int
    bill: bool
    operator: str
    approver: str
    at: float
