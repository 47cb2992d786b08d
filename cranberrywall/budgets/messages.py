"""Define the commands, queries and results of a ledger group.

Amounts are whole tokens or answered requests, as the budget's unit says. Times are
seconds since the Unix epoch, given by the proposer. Every command is idempotent.
"""

from typing import NamedTuple

from cranberrywall.links import MessageCodec


class Holder(NamedTuple):
    """Identify one run of one entry host; ``incarnation`` rises with each start."""

    host: str
    incarnation: int


class Credit(NamedTuple):
    """Add ``amount`` to a budget, once per ``change_id``; a new budget is made by it."""

    budget: str
    workspace: str
    unit: str
    amount: int
    change_id: str
    operator: str
    at: float


class Draw(NamedTuple):
    """Move up to ``amount`` (at least ``minimum``) from what is free to a holder.

    ``number`` rises by one with each draw of this holder and budget; a repeated number
    gets the first answer.
    """

    budget: str
    holder: Holder
    number: int
    amount: int
    minimum: int
    at: float


class DrawResult(NamedTuple):
    """Give what was granted, with the ledger's sums after it.

    ``granted`` is 0 where less than ``minimum`` was free. ``outstanding`` is held by all
    holders, this one's grant included.
    """

    granted: int
    free: int
    outstanding: int
    credited: int
    charged: int


class Return(NamedTuple):
    """Give ``amount`` of a holder's allotment back, once per ``number``."""

    budget: str
    holder: Holder
    number: int
    amount: int
    at: float


class Charge(NamedTuple):
    """Charge one request's cost against a holder's allotment.

    ``reserved_at`` decides the period. The ledger bills each ``request_id`` of a
    workspace once; a second one is recorded as a duplicate and its amount goes back.
    """

    budget: str
    workspace: str
    request_id: str
    number: int
    amount: int
    reserved_at: float


class ChargeBatch(NamedTuple):
    """Charge several requests of one holder in one command."""

    holder: Holder
    charges: tuple[Charge, ...]
    at: float


class ChargeBatchResult(NamedTuple):
    """List the numbers that were billed, and those that were duplicates of another's id."""

    billed: tuple[int, ...]
    duplicates: tuple[int, ...]


class Accepted(NamedTuple):
    """Say that a command was applied, now or at its first arrival."""


class Rejected(NamedTuple):
    """Say that a command was refused and changed nothing; ``kind`` is an ``ErrorKind``."""

    kind: str
    message: str
    field: str = ""
    remedy: str = ""


LEDGER_CODEC = MessageCodec(
    [Credit, Draw, DrawResult, Return, ChargeBatch, ChargeBatchResult, Accepted, Rejected]
)
