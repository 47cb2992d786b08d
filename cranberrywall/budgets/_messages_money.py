"""Messages that move amounts, and the queries of one budget."""

from enum import StrEnum
from typing import NamedTuple

from cranberrywall.budgets._messages_holders import Contact, HeldAmount, Holder

MAX_CHARGES_IN_BATCH = 1_000
"""Maximum number of charges in one ``ChargeBatch``."""


class Credit(NamedTuple):
    """Command that adds ``amount`` to a budget, once per ``change_id``; creates a new budget."""

    budget: str
    workspace: str
    unit: str
    amount: int
    change_id: str
    operator: str
    at: float


class BudgetTotal(NamedTuple):
    """Total that a budget of a workspace is to be credited with."""

    budget: str
    workspace: str
    unit: str
    total: int


class RaiseCredits(NamedTuple):
    """Command that credits each budget up to its total; creates a new budget.

    The totals make it idempotent: if it is sent again, or arrives late, nothing is missing any
    more. A total below the credited amount takes nothing back.
    """

    totals: tuple[BudgetTotal, ...]
    operator: str
    at: float


class Draw(NamedTuple):
    """Command that moves up to ``amount``, at least ``minimum``, from the free amount to a holder.

    ``number`` starts at 1 and rises with each draw of this holder and budget. A holder has at most
    one draw in flight for a budget and sends it again until it is answered. The last number gets
    its first answer again; a lower one is rejected as ``CONFLICT``.
    """

    budget: str
    holder: Holder
    number: int
    amount: int
    minimum: int
    at: float
    contact: Contact | None = None


class DrawResult(NamedTuple):
    """Granted amount, with the ledger's sums after the draw.

    ``granted`` is 0 if less than ``minimum`` was free. ``outstanding`` is held by all holders, and
    includes this grant. ``holders`` is the number of holders with an amount outstanding.
    """

    granted: int
    free: int
    outstanding: int
    credited: int
    charged: int
    holders: int = 0


class Return(NamedTuple):
    """Command that frees ``amount`` of a holder's allotment, once per ``number``.

    ``number`` starts at 1 and rises with each return of this holder and budget; one is in flight at
    a time.
    """

    budget: str
    holder: Holder
    number: int
    amount: int
    at: float


class Charge(NamedTuple):
    """Charge of one request's cost against a holder's allotment.

    ``number`` starts at 1 and rises by one with each charge of this holder and budget. Charges may
    arrive out of order, and may be sent by another host that stores a replica. ``reserved_at``
    determines the period. The ledger bills each ``request_id`` of a workspace once. A second charge
    is recorded as a duplicate, and its amount goes back to the holder that charged it.

    An ``is_open`` charge is made before its request is sent to a target, with the maximum cost of
    the request. A ``Correction`` gives back the part that the request did not cost.
    """

    budget: str
    workspace: str
    request_id: str
    number: int
    amount: int
    reserved_at: float
    is_open: bool = False


class ChargeBatch(NamedTuple):
    """Command with several charges of one holder.

    ``contact`` has the holder's clocks and state; it is ``None`` if another host sends the charges
    on behalf of the holder.
    """

    holder: Holder
    charges: tuple[Charge, ...]
    at: float
    contact: Contact | None = None


class Correction(NamedTuple):
    """Final cost of the request of an open charge; at most the charged amount."""

    budget: str
    number: int
    amount: int


class Corrections(NamedTuple):
    """Command with corrections of open charges of one holder; each is applied once."""

    holder: Holder
    corrections: tuple[Correction, ...]
    at: float
    contact: Contact | None = None


class ChargeOutcome(StrEnum):
    """Outcome of one charge.

    ``billed``: now or at its first arrival; the amount has left the holder's allotment.
    ``duplicate``: another charge of the request id was billed; the amount stays in the holder's
    allotment and can be spent again. ``in_doubt``: withheld until an operator decides; the amount
    has left the allotment. ``refused``: never billed, because the budget does not exist or the
    amount is invalid; resending does not help.
    """

    BILLED = "billed"
    DUPLICATE = "duplicate"
    IN_DOUBT = "in_doubt"
    REFUSED = "refused"


class ChargeBatchResult(NamedTuple):
    """Outcomes in the order of the batch's charges."""

    outcomes: tuple[ChargeOutcome, ...]


class Transfer(NamedTuple):
    """Report, by either side, that ``amount`` was moved from the donor to the recipient.

    The donor (``giver``) deducts the amount and syncs it to storage first, under its
    ``giver_number``, which starts at 1 and rises by one for each budget. The recipient (``taker``)
    adds the amount under its own ``taker_number``, and reports the transfer before it charges
    against the amount. The donor reports with ``taker_number`` 0. Once either number is recorded, a
    second report changes nothing. A report that arrives before that of the transfer that funded it
    is rejected as ``NOT_READY``, and must be sent again later. ``asked_clock`` is the recipient's
    monotonic clock at its request for the transfer, in seconds.
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
    """Part of the amount that the ledger moved.

    It is less than the amount only if the donor's remainder was freed before and is no longer free.
    The recipient must then drop the difference.
    """

    moved: int


MAX_TRANSFERS_IN_BATCH = 200


class TransferBatch(NamedTuple):
    """Command with several reports of transfers, in any order: one may fund another.

    After a network partition, hosts have tens of transfers to report, and resume drawing from the
    ledger only when all are reported.
    """

    transfers: tuple[Transfer, ...]


class TransferOutcome(NamedTuple):
    """Outcome of one transfer: the amount ``moved``, or the kind of a rejection."""

    moved: int
    kind: str = ""
    message: str = ""


class TransferBatchResult(NamedTuple):
    """Outcomes in the order of the batch's transfers."""

    outcomes: tuple[TransferOutcome, ...]


class Recall(NamedTuple):
    """Command that asks holders other than ``asker`` to return ``amount`` in total.

    Idle holders are asked first. The command changes no sums. Holders receive the recall through
    ``RecallsQuery`` or from ``asker``, and answer with ``Return``.
    """

    budget: str
    asker: Holder
    amount: int
    at: float


class RecallResult(NamedTuple):
    """Holders that were asked, each with the amount requested from it."""

    asked: tuple[HeldAmount, ...]


class RecallsQuery(NamedTuple):
    """Query for the amounts that a holder was asked to return."""

    holder: Holder


class RecalledAmount(NamedTuple):
    """Amount that a holder was asked to return."""

    budget: str
    amount: int


class RecallsResult(NamedTuple):
    """Amounts that a holder was asked to return."""

    recalled: tuple[RecalledAmount, ...]


class BudgetQuery(NamedTuple):
    """Query for one budget's sums and holders."""

    budget: str


class BudgetResult(NamedTuple):
    """Sums of one budget; ``credited = charged + outstanding + in_doubt + free``."""

    budget: str
    unit: str
    credited: int
    charged: int
    outstanding: int
    in_doubt: int
    free: int
    held: tuple[HeldAmount, ...]


class CreditsQuery(NamedTuple):
    """Query for a budget's top-ups that the ledger still stores."""

    budget: str


class CreditsResult(NamedTuple):
    """Top-ups of a budget, oldest first."""

    credits: tuple[Credit, ...]
