"""Go on, after a restart without the ledger, from what the journal holds."""

from collections.abc import Callable, Sequence

from cranberrywall.budgets._allotment import Allotment, Numbers
from cranberrywall.budgets._charge_replication import Kept
from cranberrywall.budgets._charges import ChargeQueue
from cranberrywall.budgets._journal import Checkpoint, HeldRow
from cranberrywall.budgets.messages import Charge, Transfer

LOST_ACCEPTS = 64
"""Numbers that are left out after a restart: as many peers may have been asked for money whose
answers this host never saw. Were such a number used again, the ledger would take two transfers
for one, and strand the second."""

MakeAllotment = Callable[[str, str], Allotment]


def checkpoint_of(queue: ChargeQueue, allotments: Sequence[Allotment]) -> Checkpoint:
    """Describe what this host holds at one group, charges not yet committed included."""
    rows = tuple(
        HeldRow(one.budget, one.workspace, one.booked, one.numbers())
        for one in allotments
        if one.queue is queue
    )
    return Checkpoint(queue.group, queue.holder, rows)


def resume(
    checkpoint: Checkpoint, kept: Kept, queue: ChargeQueue, make_allotment: MakeAllotment
) -> None:
    """Hold again what the checkpoint's holder held, less what it spent since.

    The run goes on as that holder, under its numbers, until the ledger is in reach.
    """
    queue.holder = checkpoint.holder
    queue.start_out_of_reach()
    row_by_budget = {row.budget: row for row in checkpoint.rows}
    allotment_by_budget: dict[str, Allotment] = {}
    for budget, workspace in _budgets(checkpoint, kept):
        allotment = make_allotment(budget, workspace)
        allotment_by_budget[budget] = allotment
        row = row_by_budget.get(budget, HeldRow(budget, workspace, 0, Numbers()))
        charges = [charge for charge in kept.charges if charge.budget == budget]
        transfers = [one for one in kept.transfers if one.budget == budget]
        allotment.number_from(_next_numbers(row.numbers, charges, transfers, checkpoint))
        allotment.charging = sum(charge.amount for charge in charges)
        allotment.spendable = row.held - allotment.charging
    for transfer in kept.transfers:
        is_taker = transfer.taker == checkpoint.holder
        queue.report(transfer, allotment_by_budget[transfer.budget] if is_taker else None)
    for charge in kept.charges:
        queue.adopt(charge, allotment_by_budget[charge.budget])


def _budgets(checkpoint: Checkpoint, kept: Kept) -> list[tuple[str, str]]:
    """Pair every budget with a workspace that spends it."""
    workspace_by_budget = {transfer.budget: "" for transfer in kept.transfers}
    workspace_by_budget.update((charge.budget, charge.workspace) for charge in kept.charges)
    workspace_by_budget.update((row.budget, row.workspace) for row in checkpoint.rows)
    return sorted(workspace_by_budget.items())


def _next_numbers(
    numbers: Numbers,
    charges: Sequence[Charge],
    transfers: Sequence[Transfer],
    checkpoint: Checkpoint,
) -> Numbers:
    """Return numbers past every one that was used since the checkpoint."""
    given = [one.giver_number for one in transfers if one.giver == checkpoint.holder]
    taken = [one.taker_number for one in transfers if one.taker == checkpoint.holder]
    return numbers._replace(
        charge=max([numbers.charge, *(charge.number + 1 for charge in charges)]),
        give=max([numbers.give, *(number + 1 for number in given)]),
        accept=max([numbers.accept, *(number + 1 for number in taken)]) + LOST_ACCEPTS,
    )


def hand_over(
    allotments: Sequence[Allotment], queue: ChargeQueue, at: float
) -> list[tuple[Transfer, Allotment]]:
    """Move what is held as the queue's holder to its successor, and number anew.

    A draw or return whose answer is lost is given up: what it moved is the old holder's
    remainder, which comes back when the successor registers.
    """
    assert queue.successor is not None
    transfers = []
    for allotment in allotments:
        if allotment.queue is not queue:
            continue
        numbers = allotment.numbers()
        allotment.number_from(Numbers())
        allotment.pending_draw = None
        allotment.pending_return = None
        if allotment.booked <= 0:
            continue
        transfer = Transfer(
            allotment.budget,
            queue.holder,
            numbers.give,
            queue.successor,
            allotment.next_accept,
            allotment.booked,
            at,
        )
        allotment.next_accept += 1
        transfers.append((transfer, allotment))
    return transfers
