"""Move money between hosts without the ledger.

The giver deducts and makes the transfer durable before it answers; the taker adds the
money when the answer comes. A loss at any step can strand the amount, and never double
it: at each moment at most one of the two can spend it.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets._charge_replication import ChargeReplicator, Kept
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._interfaces import PeerHost
from cranberrywall.budgets._peer_messages import TAKE, TakeReply, TakeRequest
from cranberrywall.budgets.messages import Holder, Transfer
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock, Random

TAKE_TIMEOUT_S = 0.5
# Half of the above: a giver that has just lost the ledger still answers in time.
COMMIT_TIMEOUT_S = 0.25
# A peer that did not answer is left alone for so long, in seconds: a cut lasts a few of them, and
# the peer may only have waited for its keepers.
PEER_REST_S = 1.5
# What a peer gave without its answer reaching us is booked to us once it or a keeper of its
# charges reports it: a keeper does so on its own after a minute, and a lost host's next run soon
# after its start. The ledger is asked for so long, in seconds, at one small call a review.
CHECK_FOR_S = 120.0
# A giver answers a repeated request from these; a taker repeats only its last one.
ANSWERS_KEPT = 1024


class _Asked(NamedTuple):
    taker: Holder
    budget: str
    number: int
    taker_number: int


class _Given(NamedTuple):
    """Hold a transfer that has left this host; ``is_durable`` says that its taker may have it."""

    transfer: Transfer
    is_reported: bool
    is_durable: bool


class _Line(NamedTuple):
    host: str
    budget: str


class _Numbering(NamedTuple):
    taker: Holder
    budget: str


class TransferDonor:
    """Answer peers that are short of money."""

    def __init__(self, ledger: LedgerClient, keeper: ChargeReplicator, clock: Clock) -> None:
        self._ledger = ledger
        self._keeper = keeper
        self._clock = clock
        self._given_by_asked: OrderedDict[_Asked, _Given] = OrderedDict()
        self._being_kept: set[_Asked] = set()
        self.given = 0

    async def give(self, request: TakeRequest, allotment: Allotment) -> Result[TakeReply, Refusal]:
        """Give up to half of what is spendable, or the minimum where that is more."""
        asked = _Asked(request.taker, request.budget, request.number, request.taker_number)
        if asked in self._being_kept:
            return Err(Refusal(ErrorKind.NOT_READY, "the transfer is being made durable"))
        if asked in self._given_by_asked:
            return self._give_again(asked, allotment)
        queue = allotment.queue
        if not (queue.in_reach or self._keeper.can_keep(queue.reach.may_keep_at)):
            # The transfer could not be made durable, and its money would be stranded.
            return Ok(_reply(allotment, None, False))
        if _is_needed_more_here(allotment, request):
            return Ok(_reply(allotment, None, False))
        amount = allotment.take(_gift(allotment.usable, request.amount, request.minimum))
        if amount == 0:
            return Ok(_reply(allotment, None, False))
        with allotment.transferring():
            return await self._transfer(asked, amount, request.asked_clock, allotment)

    async def _transfer(
        self, asked: _Asked, amount: int, asked_clock: float, allotment: Allotment
    ) -> Result[TakeReply, Refusal]:
        """Make a transfer durable and give it; ``amount`` has left the allotment."""
        transfer = Transfer(
            asked.budget,
            allotment.queue.holder,
            allotment.next_give,
            asked.taker,
            asked.taker_number,
            amount,
            self._clock.wall(),
            asked_clock,
        )
        allotment.next_give += 1
        self._being_kept.add(asked)
        is_reported = await self._commit(transfer, allotment)
        kept: Result[None, Refusal] = Ok(None)
        if not is_reported:
            # Whatever comes of the rest, the money is no longer ours: a write that failed
            # may still be found by a restart, which would then report the transfer.
            allotment.queue.report(transfer, None)
            kept = await self._keep(transfer, allotment)
        self._being_kept.discard(asked)
        # Also where it could not be kept: it will be reported under the taker's number. Asked
        # again, this host would give another amount under that number, or say that the number
        # is free; the ledger would book one of the two amounts only, and both would be spent.
        self._remember(asked, _Given(transfer, is_reported, isinstance(kept, Ok)))
        if isinstance(kept, Err):
            return Err(kept.err_value)
        self.given += 1
        log_event("INFO", "transfer_given", budget=asked.budget, to=asked.taker.host, amount=amount)
        return Ok(_reply(allotment, transfer, is_reported))

    def _give_again(self, asked: _Asked, allotment: Allotment) -> Result[TakeReply, Refusal]:
        """Answer a request that is repeated as it was answered first."""
        given = self._given_by_asked[asked]
        if not given.is_durable and given.transfer in allotment.queue.unreported:
            return Err(Refusal(ErrorKind.NOT_READY, "the transfer is not durable yet"))
        # Where the ledger refused it meanwhile, the taker's own report finds that out.
        return Ok(_reply(allotment, given.transfer, given.is_reported))

    async def _keep(self, transfer: Transfer, allotment: Allotment) -> Result[None, Refusal]:
        """Have peers keep a transfer that the ledger has not got, for as long as it takes."""
        queue = allotment.queue
        if not allotment.try_give_unseen(transfer.amount):
            # It was begun in the ledger's sight. The ledger will book it to the taker, who finds
            # it there.
            return Err(Refusal(ErrorKind.BUDGET_UNREACHABLE, "the ledger did not answer"))
        return await self._keeper.keep(
            Kept(transfer.giver, (transfer,), ()), queue.reach.may_keep_at
        )

    async def _commit(self, transfer: Transfer, allotment: Allotment) -> bool:
        """Have the ledger commit the transfer, where it is in reach: one message for both."""
        if not allotment.queue.in_reach:
            return False
        committed = await self._ledger.transfer(transfer, COMMIT_TIMEOUT_S)
        return isinstance(committed, Ok)

    def _remember(self, asked: _Asked, given: _Given) -> None:
        self._given_by_asked[asked] = given
        if len(self._given_by_asked) > ANSWERS_KEPT:
            self._given_by_asked.popitem(last=False)


def _reply(allotment: Allotment, transfer: Transfer | None, is_reported: bool) -> TakeReply:
    holder = allotment.queue.holder
    return TakeReply(holder, transfer, is_reported, allotment.usable, allotment.booked)


def _is_needed_more_here(allotment: Allotment, request: TakeRequest) -> bool:
    """Say whether this host is short of less than the one that asks.

    Two hosts that are short at the same time would swap their last parts, and both refuse what
    either could have served with the two. The one that needs less gets them.
    """
    missing = allotment.scarce.shortfall() if allotment.scarce is not None else 0
    own = (missing, allotment.queue.holder.host)
    return missing > 0 and own < (request.minimum, request.taker.host)


def _gift(spendable: int, amount: int, minimum: int) -> int:
    """Return what to give to a peer that asks for ``amount``, or at least ``minimum``.

    >>> _gift(100, amount=30, minimum=10), _gift(100, amount=90, minimum=10)
    (30, 50)
    >>> _gift(12, amount=90, minimum=10), _gift(8, amount=90, minimum=10)
    (12, 8)
    """
    gift = min(spendable, max(min(amount, spendable // 2), minimum))
    # What would stay is too little for a request like this one: whole parts move on.
    return spendable if spendable - gift < minimum else gift


class TransferRecipient:
    """Ask peers for money."""

    def __init__(
        self,
        caller: Caller,
        keeper: ChargeReplicator,
        is_ended: Callable[[Holder], bool],
        clock: Clock,
        random: Random,
    ) -> None:
        self._caller = caller
        self._keeper = keeper
        self._is_ended = is_ended
        self._clock = clock
        self._random = random
        self._rests_until: dict[str, float] = {}
        self._unanswered: dict[_Line, TakeRequest] = {}
        self._unused_by_numbering: dict[_Numbering, list[int]] = {}
        self.sent = 0

    async def take(
        self, peer: PeerHost, allotment: Allotment, amount: int, minimum: int
    ) -> TakeReply | None:
        """Ask one peer; what it gives is added. ``None`` where it did not answer.

        A peer that did not answer is left alone for a while: over a cut each call would
        cost a request most of its time.
        """
        if self._clock.now() < self._rests_until.get(peer.host, 0.0):
            return None
        holder = allotment.queue.holder
        # Chance, not a counter: after a restart a counter would name an earlier request,
        # whose transfer the peer would give again.
        number = self._random.getrandbits(63)
        request = TakeRequest(
            allotment.budget,
            allotment.workspace,
            Holder(peer.host, peer.incarnation),
            holder,
            number,
            self._next_number(allotment),
            amount,
            minimum,
            self._clock.now(),
        )
        key = _Line(peer.host, allotment.budget)
        unanswered = self._unanswered.pop(key, None)
        if unanswered is not None:
            await self._ask(peer, key, unanswered, allotment)
        return await self._ask(peer, key, request, allotment)

    def forget_unanswered(self, budget: str) -> None:
        """Give up requests for a budget: what came of them is accounted for otherwise."""
        for key in [key for key in self._unanswered if key.budget == budget]:
            del self._unanswered[key]

    async def ask_again(self, peers: Sequence[PeerHost], allotment: Allotment) -> None:
        """Repeat what was not answered: the money may have left its giver for this host."""
        for peer in peers:
            key = _Line(peer.host, allotment.budget)
            request = self._unanswered.get(key)
            if request is not None and self._clock.now() >= self._rests_until.get(peer.host, 0.0):
                del self._unanswered[key]
                await self._ask(peer, key, request, allotment)

    async def _ask(
        self,
        peer: PeerHost,
        key: _Line,
        request: TakeRequest,
        allotment: Allotment,
    ) -> TakeReply | None:
        """Ask, and add what is given; the request is remembered where no answer came."""
        with allotment.transferring():
            return await self._ask_and_accept(peer, key, request, allotment)

    async def _ask_and_accept(
        self,
        peer: PeerHost,
        key: _Line,
        request: TakeRequest,
        allotment: Allotment,
    ) -> TakeReply | None:
        self.sent += 1
        answer = await self._caller.call(peer.links, TAKE, request, TAKE_TIMEOUT_S)
        if isinstance(answer, Err):
            if answer.err_value.kind is ErrorKind.CONFLICT:
                # The run that was asked is gone. What it may have given, others report.
                allotment.checked_until = self._clock.now() + CHECK_FOR_S
                return None
            # The peer may have given. The same request, sent again, gets what it gave.
            self._unanswered.setdefault(key, request)
            now = self._clock.now()
            allotment.checked_until = now + CHECK_FOR_S
            self._rests_until[peer.host] = now + PEER_REST_S
            return None
        reply = answer.ok_value
        if reply.transfer is not None:
            await self._accept(reply.transfer, reply.is_reported, allotment)
        else:
            # No transfer bears the number: a later request may have it.
            numbering = _Numbering(request.taker, request.budget)
            heapq.heappush(
                self._unused_by_numbering.setdefault(numbering, []), request.taker_number
            )
        return reply

    def _next_number(self, allotment: Allotment) -> int:
        """Return the lowest number that no transfer to this holder has or may have.

        Hosts that are asked at once mostly give nothing. Were their numbers left out, the
        ledger would soon refuse the others as too far ahead of the first missing one.
        """
        numbering = _Numbering(allotment.queue.holder, allotment.budget)
        unused = self._unused_by_numbering.get(numbering)
        if unused:
            number = heapq.heappop(unused)
            if not unused:
                del self._unused_by_numbering[numbering]
            return number
        allotment.next_accept += 1
        return allotment.next_accept - 1

    async def _accept(self, transfer: Transfer, is_reported: bool, allotment: Allotment) -> None:
        if self._is_ended(transfer.giver) or transfer.taker != allotment.queue.holder:
            # A late answer. This host has told the giver's successor that nothing of the
            # giver is left here, or has itself become another holder since: the amount
            # comes back with a remainder.
            return
        if not is_reported:
            # The report is queued before the money can be spent, so that it reaches the
            # ledger, or the keeper, before any charge against it.
            allotment.queue.report(transfer, allotment)
            allotment.got_unseen(transfer.amount, transfer.asked_clock)
            if not allotment.queue.in_reach:
                queue = allotment.queue
                await self._keeper.keep(
                    Kept(queue.holder, (transfer,), ()), queue.reach.may_keep_at
                )
        allotment.granted(transfer.amount)
