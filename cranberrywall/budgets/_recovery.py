"""Resume from the journal after a restart without the ledger."""

from collections.abc import Callable, Sequence

from cranberrywall.budgets._allotment import Allotment, StepNumbers
from cranberrywall.budgets._charge_replication import Kept
from cranberrywall.budgets._charges import ChargeQueue
from cranberrywall.budgets._journal import Checkpoint, HeldRow
from cranberrywall.budgets.messages import Charge, Transfer

SKIPPED_ACCEPT_NUMBERS = 64
"""Count of recipient numbers that are skipped after a restart. Before it, this host may have asked
as many peers for money without receiving their answers. If such a number were used again, the
ledger would take two transfers for one, and strand the second."""

MakeAllotment = Callable[[str, str], Allotment]


def checkpoint_of(queue: ChargeQueue, allotments: Sequence[Allotment]) -> Checkpoint:
    """Return what this host holds at one group, including charges that are not committed."""
    rows = tuple(
        HeldRow(one.budget, one.workspace, one.booked, one.numbers())
        for one in allotments
        if one.queue is queue
    )
    return Checkpoint(queue.group, queue.holder, rows)


def resume(
    checkpoint: Checkpoint, kept: Kept, queue: ChargeQueue, make_allotment: MakeAllotment
) -> None:
    """Restore what the checkpoint's holder held, less what it spent since.

    This incarnation continues as that holder, with its numbers, until the ledger is in reach.
    """
    queue.holder = checkpoint.holder
    queue.start_out_of_reach()
    row_by_budget = {row.budget: row for row in checkpoint.rows}
    allotment_by_budget: dict[str, Allotment] = {}
    for budget, workspace in _budgets(checkpoint, kept):
        allotment = make_allotment(budget, workspace)
        allotment_by_budget[budget] = allotment
        row = row_by_budget.get(budget, HeldRow(budget, workspace, 0, StepNumbers()))
        charges = [charge for charge in kept.charges if charge.budget == budget]
        transfers = [one for one in kept.transfers if one.budget == budget]
        allotment.resume_numbers(_next_numbers(row.numbers, charges, transfers, checkpoint))
        allotment.charging = sum(charge.amount for charge in charges)
        allotment.spendable = row.held - allotment.charging
    for transfer in kept.transfers:
        is_taker = transfer.taker == checkpoint.holder
        queue.report(transfer, allotment_by_budget[transfer.budget] if is_taker else None)
    for charge in kept.charges:
        queue.adopt(charge, allotment_by_budget[charge.budget])


def _budgets(checkpoint: Checkpoint, kept: Kept) -> list[tuple[str, str]]:
    """Return every budget with a workspace that spends it."""
    workspace_by_budget = {transfer.budget: "" for transfer in kept.transfers}
    workspace_by_budget.update((charge.budget, charge.workspace) for charge in kept.charges)
    workspace_by_budget.update((row.budget, row.workspace) for row in checkpoint.rows)
    return sorted(workspace_by_budget.items())


def _next_numbers(
    numbers: StepNumbers,
    charges: Sequence[Charge],
    transfers: Sequence[Transfer],
    checkpoint: Checkpoint,
) -> StepNumbers:
    """Return numbers above every number that was used since the checkpoint."""
    given = [one.giver_number for one in transfers if one.giver == checkpoint.holder]
    taken = [one.taker_number for one in transfers if one.taker == checkpoint.holder]
    return numbers._replace(
        charge=max([numbers.charge, *(charge.number + 1 for charge in charges)]),
        give=max([numbers.give, *(number + 1 for number in given)]),
        accept=max([numbers.accept, *(number + 1 for number in taken)]) + SKIPPED_ACCEPT_NUMBERS,
    )


def hand_over(
    allotments: Sequence[Allotment], queue: ChargeQueue, at: float
) -> list[tuple[Transfer, Allotment]]:
    """Transfer what is held as the queue's holder to its successor, and restart the numbering.

    A draw or return whose answer was lost is abandoned. What it moved belongs to the old holder's
    remainder, which is released when the successor registers.
    """
    assert queue.successor is not None
    transfers = []
    for allotment in allotments:
        if allotment.queue is not queue:
            continue
        numbers = allotment.numbers()
        allotment.resume_numbers(StepNumbers())
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
