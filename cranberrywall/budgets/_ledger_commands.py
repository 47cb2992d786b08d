"""Draw from a budget's ledger, and return to it, one numbered step at a time."""

from result import Err, Ok, Result

from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets._charge_replication import out_of_reach
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._sizing import view_of
from cranberrywall.budgets.messages import Draw, DrawResult, Return
from cranberrywall.errors import Refusal
from cranberrywall.runtime import Clock

COMMAND_TIMEOUT_S = 1.0


class LedgerCommands:
    """Take the numbered steps of this host's holders.

    A step whose answer was lost may have been applied. It is sent again, unchanged and
    under its number, before any other one: the ledger then gives its first answer, so
    that money is neither drawn twice nor forgotten.
    """

    def __init__(self, ledger: LedgerClient, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self.sent = 0

    async def draw(
        self, allotment: Allotment, amount: int, minimum: int
    ) -> Result[DrawResult, Refusal]:
        """Draw ``amount``, or at least ``minimum``; the grant is added to the allotment."""
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
        """Send again what was not answered; until then its money is of use to nobody."""
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
        # Sent again, it tells of the contact that is made now.
        contact = allotment.queue.contact()
        draw = draw._replace(contact=contact)
        allotment.pending_draw = draw
        self.sent += 1
        answer = await self._ledger.draw(draw, COMMAND_TIMEOUT_S)
        if isinstance(answer, Ok):
            allotment.queue.reach.record_answer(contact)
        if allotment.pending_draw is not draw:
            # Another task sent it as well and got the same answer: it is counted once.
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
        """Return up to ``amount`` of what is spendable; gives what was returned."""
        finished = await self.resend_pending(allotment)
        if isinstance(finished, Err):
            return Err(finished.err_value)
        taken = allotment.take(amount)
        if taken == 0:
            return Ok(0)
        step = Return(
            allotment.budget,
            allotment.queue.holder,
            allotment.next_return,
            taken,
            self._clock.wall(),
        )
        sent = await self._send_return(allotment, step)
        return sent.map(lambda _: taken)

    async def _send_return(self, allotment: Allotment, step: Return) -> Result[None, Refusal]:
        # The amount has left the allotment before the step is sent: were it still
        # spendable, a return whose answer is lost would be spent here and elsewhere.
        allotment.pending_return = step
        self.sent += 1
        answer = await self._ledger.give_back(step, COMMAND_TIMEOUT_S)
        if allotment.pending_return is not step:
            return answer.map(lambda _: None)
        if isinstance(answer, Err):
            if not out_of_reach(answer.err_value):
                # The ledger refused it and changed nothing: the money is still held here.
                allotment.pending_return = None
                allotment.granted(step.amount)
            return Err(answer.err_value)
        allotment.pending_return = None
        allotment.next_return = step.number + 1
        return Ok(None)
