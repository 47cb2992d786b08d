"""Define the calls between entry hosts about money.

Amounts are whole tokens or answered requests.
"""

from typing import NamedTuple

from cranberrywall.budgets.messages import Charge, Holder, Transfer
from cranberrywall.links import Method


class TakeRequest(NamedTuple):
    """Ask a peer for money of ``budget``: ``amount``, or at least ``minimum``.

    ``number`` is drawn at random and names the request: a repeated one gets the first
    answer. ``taker_number`` is the number that a transfer will have at the taker. ``giver`` is
    the run that is asked: a later one does not know whether it was answered, and refuses.
    ``asked_clock`` is the taker's steady clock, in seconds.
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
    """Give a transfer, or none, with what the giver still holds after it.

    ``is_reported`` says that the ledger has the transfer; else the taker reports it.

    ``booked`` is all that the ledger books to the giver; the part of it that is neither
    spendable nor given may come free later.
    """

    giver: Holder
    transfer: Transfer | None
    is_reported: bool
    spendable: int
    booked: int


class KeepRequest(NamedTuple):
    """Ask a peer to hold transfers and charges of ``holder`` until the ledger has them."""

    holder: Holder
    transfers: tuple[Transfer, ...]
    charges: tuple[Charge, ...]


class KeepReply(NamedTuple):
    """Say that the peer holds them; ``on_disk`` that they are synced to its disk."""

    on_disk: bool


class ForgetRequest(NamedTuple):
    """Tell a peer that the ledger has these: transfers by giver, all by budget and number."""

    holder: Holder
    transfers: tuple[tuple[str, Holder, int], ...]
    charges: tuple[tuple[str, int], ...]


class ForgetReply(NamedTuple):
    """Say that the peer dropped them."""


class DeliverRequest(NamedTuple):
    """Ask a peer to commit what it holds for incarnations of ``host`` before this one."""

    host: str
    incarnation: int


class DeliverReply(NamedTuple):
    """Say how many entries the peer still holds after it tried, and who it is.

    ``on_disk`` says that what it held was on its disk too, so that it forgot nothing.
    """

    remaining: int
    holder: Holder
    on_disk: bool


TAKE = Method("budgets.take", TakeRequest, TakeReply)
KEEP = Method("budgets.keep", KeepRequest, KeepReply)
FORGET = Method("budgets.forget", ForgetRequest, ForgetReply)
DELIVER = Method("budgets.deliver", DeliverRequest, DeliverReply)
