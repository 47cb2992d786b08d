"""Refusals of requests that no money was found for, and the figures that they rest on."""

from typing import NamedTuple

from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets._interfaces import ReserveRequest
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event


class SearchResult(NamedTuple):
    """Result of a round: the ledger's free sum, and what other holders could not give.

    ``free`` is ``None`` if the ledger could not be asked. ``unreached`` is held by holders that did
    not answer. Of those that did, ``withheld`` is spendable but was not given, because they search
    as well, and ``in_use`` is reserved or not yet committed. ``uncredited`` is what the ledger has
    not yet credited of the total that the configuration sets.
    """

    free: int | None
    unreached: int
    withheld: int = 0
    in_use: int = 0
    uncredited: int = 0


def make_refusal(request: ReserveRequest, found: SearchResult) -> Refusal:
    """Return the refusal of a request that a search found too little for."""
    if found.free is None:
        return Refusal(
            ErrorKind.BUDGET_UNREACHABLE,
            "this host's part is spent and the ledger is out of reach",
            "budget",
            "send the request again, or to a host of another place",
        )
    if found.free + found.unreached >= request.bound:
        return Refusal(
            ErrorKind.BUDGET_UNREACHABLE,
            f"{found.unreached} are left, held by hosts that are out of reach",
            "budget",
            "send the request again later",
        )
    if found.free + found.unreached + found.uncredited >= request.bound:
        return Refusal(
            ErrorKind.BUDGET_UNREACHABLE,
            f"the ledger has not credited {found.uncredited} of the configured total yet",
            "budget",
            "send the request again later",
        )
    return Refusal(
        ErrorKind.BUDGET_EXHAUSTED,
        f"fewer than {request.bound} are left in the budget",
        "budget",
        "top up the budget, or ask for a shorter answer",
    )


def log_refusal(
    request: ReserveRequest,
    refusal: Refusal,
    found: SearchResult,
    allotment: Allotment,
    now: float,
) -> None:
    """Log what this host and the ledger had of the budget, with the age of the ledger's sums."""
    view = allotment.view
    log_event(
        "INFO",
        "budget_refused",
        request=request.request_id,
        budget=request.budget,
        kind=refusal.kind,
        bound=request.bound,
        usable=allotment.usable,
        reserved=allotment.reserved,
        charging=allotment.charging,
        free="" if found.free is None else found.free,
        unreached=found.unreached,
        withheld=found.withheld,
        in_use=found.in_use,
        uncredited=found.uncredited,
        credited=view.credited if view else "",
        charged=view.charged if view else "",
        outstanding=view.outstanding if view else "",
        in_doubt=view.credited - view.charged - view.outstanding - view.free if view else "",
        ledger_age_s=round(now - view.at, 3) if view else "",
        out_of_reach_s=round(allotment.queue.reach.out_of_reach_s(now), 3),
    )
