"""Define the calls between entry hosts about money.

Amounts are whole tokens or answered requests.
"""

from typing import NamedTuple

from cranberrywall.budgets.messages import Charge, Holder, Transfer
from cranberrywall.links import Method


class TakeRequest(NamedTuple):
    """Request to a peer for money of ``budget``: ``amount``, or at least ``minimum``.

    ``number`` is random and identifies the request: a repeated one gets the first answer.
    ``taker_number`` is the number of a resulting transfer at the recipient. ``giver`` is the
    incarnation that is asked: a later one has no record of whether the request was answered, and
    refuses it. ``asked_clock`` is the recipient's monotonic clock, in seconds.
    """

    budget: str
    workspace: str
    giver: Holder
    taker: Holder
    number: int
    taker_number: int
    amount: int
    minimum: int
    asked_clock: float = 0.0


class TakeReply(NamedTuple):
    """Transfer that the peer gives, or none, and what the peer holds after it.

    ``is_reported`` states that the ledger has the transfer; otherwise the recipient reports it.

    ``booked`` is all that the ledger books to the donor; the part that is neither spendable nor
    given may be freed later.
    """

    giver: Holder
    transfer: Transfer | None
    is_reported: bool
    spendable: int
    booked: int


class KeepRequest(NamedTuple):
    """Request to a peer to store transfers and charges of ``holder`` until the ledger has them."""

    holder: Holder
    transfers: tuple[Transfer, ...]
    charges: tuple[Charge, ...]


class KeepReply(NamedTuple):
    """Confirmation that the peer stores them; ``on_disk`` if they are synced to its disk."""

    on_disk: bool


class ForgetRequest(NamedTuple):
    """Notice that the ledger has these: transfers by donor, all by budget and number."""

    holder: Holder
    transfers: tuple[tuple[str, Holder, int], ...]
    charges: tuple[tuple[str, int], ...]


class ForgetReply(NamedTuple):
    """Confirmation that the peer discarded them."""


class DeliverRequest(NamedTuple):
    """Request to commit what a peer stores for incarnations of ``host`` before this one."""

    host: str
    incarnation: int


class DeliverReply(NamedTuple):
    """Number of records that the peer still stores after its attempt, and the peer's identity.

    ``on_disk`` states that its records were also on its disk, so that a restart lost none.
    """

    remaining: int
    holder: Holder
    on_disk: bool


TAKE = Method("budgets.take", TakeRequest, TakeReply)
KEEP = Method("budgets.keep", KeepRequest, KeepReply)
FORGET = Method("budgets.forget", ForgetRequest, ForgetReply)
DELIVER = Method("budgets.deliver", DeliverRequest, DeliverReply)
