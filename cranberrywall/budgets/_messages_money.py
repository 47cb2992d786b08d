"""Define the messages that move money, and the queries of one budget."""

from enum import StrEnum
from typing import NamedTuple

from cranberrywall.budgets._messages_holders import Contact, HeldAmount, Holder

MAX_CHARGES_IN_BATCH = 1_000
"""The most charges that one ``ChargeBatch`` may carry."""


class Credit(NamedTuple):
    """Add ``amount`` to a budget, once per ``change_id``; a new budget is made by it."""

    budget: str
    workspace: str
    unit: str
    amount: int
    change_id: str
    operator: str
    at: float


class BudgetTotal(NamedTuple):
    """Name what a budget of a workspace should have been credited in all."""

    budget: str
    workspace: str
    unit: str
    total: int


class RaiseCredits(NamedTuple):
    """Credit each budget with what it lacks of its total; a new budget is made by it.

    It is idempotent by the totals: sent again, or late, it finds nothing missing. A total
    below what was credited takes nothing back.
    """

    totals: tuple[BudgetTotal, ...]
    operator: str
    at: float


class Draw(NamedTuple):
    """Move up to ``amount`` (at least ``minimum``) from what is free to a holder.

    ``number`` starts at 1 and rises with each draw of this holder and budget. A holder
    has one draw on its way for a budget and sends it again until it is answered: the
    last number gets its first answer, a lower one is rejected as ``CONFLICT``.
    """

    budget: str
    holder: Holder
    number: int
    amount: int
    minimum: int
    at: float
    contact: Contact | None = None


class DrawResult(NamedTuple):
    """Give what was granted, with the ledger's sums after it.

    ``granted`` is 0 where less than ``minimum`` was free. ``outstanding`` is held by all
    holders, this one's grant included. ``holders`` counts those with an amount
    outstanding.
    """

    granted: int
    free: int
    outstanding: int
    credited: int
    charged: int
    holders: int = 0


class Return(NamedTuple):
    """Give ``amount`` of a holder's allotment back, once per ``number``.

    ``number`` starts at 1 and rises with each return of this holder and budget, one on
    its way at a time.
    """

    budget: str
    holder: Holder
    number: int
    amount: int
    at: float


class Charge(NamedTuple):
    """Charge one request's cost against a holder's allotment.

    ``number`` starts at 1 and rises by one with each charge of this holder and budget;
    charges may arrive out of order and may be sent by another host that keeps a copy.
    ``reserved_at`` decides the period. The ledger bills each ``request_id`` of a
    workspace once; a second one is recorded as a duplicate and its amount goes back to
    the holder that charged it.

    An ``is_open`` charge is made before its request is sent to a target, with the most that
    the request can cost. A ``Correction`` gives back what it did not.
    """

    budget: str
    workspace: str
    request_id: str
    number: int
    amount: int
    reserved_at: float
    is_open: bool = False


class ChargeBatch(NamedTuple):
    """Charge several requests of one holder in one command.

    ``contact`` says when and how the holder reached the ledger; ``None`` where another host
    sends the charges in its stead.
    """

    holder: Holder
    charges: tuple[Charge, ...]
    at: float
    contact: Contact | None = None


class Correction(NamedTuple):
    """Say what the request of an open charge cost in the end, at most the charge."""

    budget: str
    number: int
    amount: int


class Corrections(NamedTuple):
    """Correct open charges of one holder, each once; a second correction changes nothing."""

    holder: Holder
    corrections: tuple[Correction, ...]
    at: float
    contact: Contact | None = None


class ChargeOutcome(StrEnum):
    """Say what became of one charge.

    ``billed``: now or at its first arrival; the amount has left the holder's allotment.
    ``duplicate``: another charge of the request id was billed; the amount stays in the
    holder's allotment, to be spent again. ``in_doubt``: set aside for an operator; the
    amount has left the allotment. ``refused``: never to be billed (no such budget, or an
    impossible amount); resending does not help.
    """

    BILLED = "billed"
    DUPLICATE = "duplicate"
    IN_DOUBT = "in_doubt"
    REFUSED = "refused"


class ChargeBatchResult(NamedTuple):
    """List the outcomes in the order of the batch's charges."""

    outcomes: tuple[ChargeOutcome, ...]


class Transfer(NamedTuple):
    """Move ``amount`` from one holder's allotment to another's, reported by either.

    The giver deducts and syncs first, under its ``giver_number`` (from 1, rising by one
    for each budget). The taker adds the amount under its own ``taker_number`` and reports
    before it charges against it; the giver reports with ``taker_number`` 0. Once either
    number is known, a second report changes nothing. A report that comes before the one
    of the transfer that funded it is refused as ``NOT_READY``: send it again later.
    ``asked_clock`` is the taker's steady clock as it asked, in seconds.
    """

    budget: str
    giver: Holder
    giver_number: int
    taker: Holder
    taker_number: int
    amount: int
    at: float
    asked_clock: float = 0.0


class TransferResult(NamedTuple):
    """Give the part of the amount that the ledger could move.

    It is less than the amount only where the giver's remainder had come back before, and
    the money is no longer free; the taker must drop the difference.
    """

    moved: int


MAX_TRANSFERS_IN_BATCH = 200


class TransferBatch(NamedTuple):
    """Report transfers together, in any order: one may fund another.

    After a cut hosts have tens to report, and serve from the ledger only when they are through.
    """

    transfers: tuple[Transfer, ...]


class TransferOutcome(NamedTuple):
    """Say what became of one transfer: what was ``moved``, or the kind of a refusal."""

    moved: int
    kind: str = ""
    message: str = ""


class TransferBatchResult(NamedTuple):
    """Give an outcome for each transfer of a batch."""

    outcomes: tuple[TransferOutcome, ...]


class Recall(NamedTuple):
    """Ask holders other than ``asker`` to return what they do not need, ``amount`` in all.

    Idle holders are asked first. It changes no sums: holders learn of it by
    ``RecallsQuery`` or from ``asker``, and answer by ``Return``.
    """

    budget: str
    asker: Holder
    amount: int
    at: float


class RecallResult(NamedTuple):
    """List the holders that were asked, each with the amount asked of it."""

    asked: tuple[HeldAmount, ...]


class RecallsQuery(NamedTuple):
    """Ask which of a holder's allotments were recalled."""

    holder: Holder


class RecalledAmount(NamedTuple):
    """Name an amount that a holder was asked to return."""

    budget: str
    amount: int


class RecallsResult(NamedTuple):
    """List what a holder was asked to return."""

    recalled: tuple[RecalledAmount, ...]


class BudgetQuery(NamedTuple):
    """Ask for one budget's sums and holders."""

    budget: str


class BudgetResult(NamedTuple):
    """Give one budget's sums; ``credited = charged + outstanding + in_doubt + free``."""

    budget: str
    unit: str
    credited: int
    charged: int
    outstanding: int
    in_doubt: int
    free: int
    held: tuple[HeldAmount, ...]


class CreditsQuery(NamedTuple):
    """Ask for the top-ups of a budget that the ledger still keeps by name."""

    budget: str


class CreditsResult(NamedTuple):
    """List a budget's top-ups, oldest first."""

    credits: tuple[Credit, ...]
