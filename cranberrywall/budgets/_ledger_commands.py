"""Sends the draws and returns of an entry host's allotments to the ledger."""

from functools import partial

from result import Err, Ok, Result

from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets._charge_replication import out_of_reach
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._sizing import view_of
from cranberrywall.budgets.messages import Draw, DrawResult, Return
from cranberrywall.errors import Refusal
from cranberrywall.runtime import Clock


class LedgerCommands:
    """Sender of draws and returns, which are numbered for each holder and budget.

    A command whose answer was lost may have been applied. It is sent again, unchanged and with the
    same number, before any other command of the allotment. The ledger then repeats its first
    answer, so no amount is drawn twice or lost.
    """

    def __init__(self, ledger: LedgerClient, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self.sent = 0

    async def draw(
        self, allotment: Allotment, amount: int, minimum: int
    ) -> Result[DrawResult, Refusal]:
        """Draw up to ``amount``, and at least ``minimum``; add the grant to the allotment."""
        finished = await self.resend_pending(allotment)
        if isinstance(finished, Err):
            return Err(finished.err_value)
        draw = Draw(
            allotment.budget,
            allotment.queue.holder,
            allotment.next_draw,
            max(1, amount, minimum),
            max(1, minimum),
            self._clock.wall(),
        )
        return await self._send_draw(allotment, draw)

    async def resend_pending(self, allotment: Allotment) -> Result[None, Refusal]:
        """Send unanswered commands of the allotment again.

        Until they are answered, their amounts cannot be spent by any holder.
        """
        if allotment.pending_return is not None:
            returned = await self._send_return(allotment, allotment.pending_return)
            if isinstance(returned, Err) and out_of_reach(returned.err_value):
                return returned
        if allotment.pending_draw is not None:
            drawn = await self._send_draw(allotment, allotment.pending_draw)
            if isinstance(drawn, Err) and out_of_reach(drawn.err_value):
                return Err(drawn.err_value)
        return Ok(None)

    async def _send_draw(self, allotment: Allotment, draw: Draw) -> Result[DrawResult, Refusal]:
        # A resent draw reports the current contact.
        contact = allotment.queue.contact()
        draw = draw._replace(contact=contact)
        allotment.pending_draw = draw
        self.sent += 1
        answer = await allotment.queue.call(partial(self._ledger.draw, draw))
        if isinstance(answer, Ok):
            allotment.queue.reach.record_answer(contact)
        if allotment.pending_draw is not draw:
            # Another task sent the same draw and got the same answer, which is counted only once.
            return answer
        if isinstance(answer, Err):
            if not out_of_reach(answer.err_value):
                allotment.pending_draw = None
            return answer
        result = answer.ok_value
        allotment.pending_draw = None
        allotment.next_draw = draw.number + 1
        allotment.granted(result.granted)
        allotment.update_view(view_of(result, self._clock.now()))
        return answer

    async def give_back(self, allotment: Allotment, amount: int) -> Result[int, Refusal]:
        """Return up to ``amount`` of the spendable amount; return what was given back."""
        finished = await self.resend_pending(allotment)
        if isinstance(finished, Err):
            return Err(finished.err_value)
        returned = allotment.take(min(amount, allotment.removable))
        if returned == 0:
            return Ok(0)
        command = Return(
            allotment.budget,
            allotment.queue.holder,
            allotment.next_return,
            returned,
            self._clock.wall(),
        )
        sent = await self._send_return(allotment, command)
        return sent.map(lambda _: returned)

    async def _send_return(self, allotment: Allotment, command: Return) -> Result[None, Refusal]:
        # The amount is deducted before the command is sent. Otherwise, if the answer is lost, it
        # could be spent here and again by the holder that draws it next.
        allotment.pending_return = command
        self.sent += 1
        answer = await allotment.queue.call(partial(self._ledger.give_back, command))
        if allotment.pending_return is not command:
            return answer.map(lambda _: None)
        if isinstance(answer, Err):
            if not out_of_reach(answer.err_value):
                # The ledger rejected the command and changed nothing, so the amount is still held
                # here.
                allotment.pending_return = None
                allotment.granted(command.amount)
            return Err(answer.err_value)
        allotment.pending_return = None
        allotment.next_return = command.number + 1
        return Ok(None)
