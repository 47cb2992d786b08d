"""Transfer money between hosts without the ledger.

The donor deducts the amount and makes the transfer durable before it answers. The recipient adds
the money when the answer arrives. A failure at any step can strand the amount but never double it:
at each moment at most one of the two hosts can spend it.
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
# Half of ``TAKE_TIMEOUT_S``: a donor that has just lost the ledger still answers in time.
COMMIT_TIMEOUT_S = 0.25
# A peer that did not answer is not asked again for this long, in seconds. A network partition lasts
# a few seconds, and the peer may only have waited for its replica holders.
PEER_RETRY_DELAY_S = 1.5
# If a peer gave money and its answer was lost, the ledger books the amount to this host once the
# peer or one of its replica holders reports the transfer. A replica holder does so by itself after
# a minute, and the next incarnation of a lost host soon after its start. The ledger is asked for
# this long, in seconds, with one small call per review.
CHECK_DURATION_S = 120.0
# A donor answers repeated requests from this many cached answers; a recipient repeats only its last
# request.
MAX_CACHED_ANSWERS = 1024


class _RequestKey(NamedTuple):
    taker: Holder
    budget: str
    number: int
    taker_number: int


class _GivenTransfer(NamedTuple):
    """Transfer that has left this host; ``is_durable`` states whether it was made durable."""

    transfer: Transfer
    is_reported: bool
    is_durable: bool


class _PeerBudget(NamedTuple):
    host: str
    budget: str


class _Numbering(NamedTuple):
    taker: Holder
    budget: str


class TransferDonor:
    """Answer peers that have a shortfall."""

    def __init__(self, ledger: LedgerClient, replicator: ChargeReplicator, clock: Clock) -> None:
        self._ledger = ledger
        self._replicator = replicator
        self._clock = clock
        self._given_by_request: OrderedDict[_RequestKey, _GivenTransfer] = OrderedDict()
        self._requests_in_progress: set[_RequestKey] = set()
        self.given = 0

    async def give(self, request: TakeRequest, allotment: Allotment) -> Result[TakeReply, Refusal]:
        """Give up to half of what is spendable, or the minimum if that is more."""
        request_key = _RequestKey(
            request.taker, request.budget, request.number, request.taker_number
        )
        if request_key in self._requests_in_progress:
            return Err(Refusal(ErrorKind.NOT_READY, "the transfer is being made durable"))
        if request_key in self._given_by_request:
            return self._repeat_answer(request_key, allotment)
        queue = allotment.queue
        if not (queue.in_reach or self._replicator.can_persist(queue.reach.may_store_at)):
            # The transfer could not be made durable, and its money would be stranded.
            return Ok(_reply(allotment, None, False))
        if _has_smaller_shortfall(allotment, request):
            return Ok(_reply(allotment, None, False))
        amount = allotment.take(
            _amount_to_give(allotment.removable, request.amount, request.minimum)
        )
        if amount == 0:
            return Ok(_reply(allotment, None, False))
        with allotment.transferring():
            return await self._transfer(request_key, amount, request.asked_clock, allotment)

    async def _transfer(
        self, request_key: _RequestKey, amount: int, asked_clock: float, allotment: Allotment
    ) -> Result[TakeReply, Refusal]:
        """Make a transfer durable and give it; ``amount`` was deducted from the allotment."""
        transfer = Transfer(
            request_key.budget,
            allotment.queue.holder,
            allotment.next_give,
            request_key.taker,
            request_key.taker_number,
            amount,
            self._clock.wall(),
            asked_clock,
        )
        allotment.next_give += 1
        self._requests_in_progress.add(request_key)
        is_reported = await self._commit(transfer, allotment)
        kept: Result[None, Refusal] = Ok(None)
        if not is_reported:
            # Whatever the outcome, this host no longer owns the money: a restart may still find the
            # record of a failed write, and would then report the transfer.
            allotment.queue.report(transfer, None)
            kept = await self._persist(transfer, allotment)
        self._requests_in_progress.discard(request_key)
        # The answer is cached even if the transfer could not be made durable, since it will be
        # reported under the recipient's number. Otherwise a repeated request would get another
        # amount under that number, or the answer that the number is free. The ledger would book
        # only one of the two amounts, and both would be spent.
        self._cache_answer(request_key, _GivenTransfer(transfer, is_reported, isinstance(kept, Ok)))
        if isinstance(kept, Err):
            return Err(kept.err_value)
        self.given += 1
        log_event(
            "INFO",
            "transfer_given",
            budget=request_key.budget,
            to=request_key.taker.host,
            amount=amount,
        )
        return Ok(_reply(allotment, transfer, is_reported))

    def _repeat_answer(
        self, request_key: _RequestKey, allotment: Allotment
    ) -> Result[TakeReply, Refusal]:
        """Answer a repeated request in the same way as the first time."""
        given = self._given_by_request[request_key]
        if not given.is_durable and given.transfer in allotment.queue.unreported:
            return Err(Refusal(ErrorKind.NOT_READY, "the transfer is not durable yet"))
        # If the ledger has refused the transfer meanwhile, the recipient learns that from its own
        # report.
        return Ok(_reply(allotment, given.transfer, given.is_reported))

    async def _persist(self, transfer: Transfer, allotment: Allotment) -> Result[None, Refusal]:
        """Replicate a transfer that the ledger does not have to peers, without a time limit."""
        queue = allotment.queue
        if not allotment.try_give_unreported(transfer.amount):
            # The transfer was started while the ledger was reachable. The ledger will book it to
            # the recipient, which finds it there.
            return Err(
                Refusal(
                    ErrorKind.BUDGET_UNREACHABLE, "the ledger did not commit the transfer in time"
                )
            )
        return await self._replicator.persist(
            Kept(transfer.giver, (transfer,), ()), queue.reach.may_store_at
        )

    async def _commit(self, transfer: Transfer, allotment: Allotment) -> bool:
        """Commit the transfer at the ledger if it is in reach: one message serves both hosts."""
        if not allotment.queue.in_reach:
            return False
        committed = await self._ledger.transfer(transfer, COMMIT_TIMEOUT_S)
        return isinstance(committed, Ok)

    def _cache_answer(self, request_key: _RequestKey, given: _GivenTransfer) -> None:
        self._given_by_request[request_key] = given
        if len(self._given_by_request) > MAX_CACHED_ANSWERS:
            self._given_by_request.popitem(last=False)


def _reply(allotment: Allotment, transfer: Transfer | None, is_reported: bool) -> TakeReply:
    holder = allotment.queue.holder
    return TakeReply(holder, transfer, is_reported, allotment.usable, allotment.booked)


def _has_smaller_shortfall(allotment: Allotment, request: TakeRequest) -> bool:
    """Return whether this host has a shortfall, smaller than that of the requesting host.

    Two hosts with a shortfall at the same time would swap their last parts, and both would refuse a
    request that either could have served with the two parts. The host with the smaller shortfall
    gets them.
    """
    missing = (
        allotment.reservation_queue.shortfall() if allotment.reservation_queue is not None else 0
    )
    own = (missing, allotment.queue.holder.host)
    return missing > 0 and own < (request.minimum, request.taker.host)


def _amount_to_give(spendable: int, amount: int, minimum: int) -> int:
    """Return the amount to give to a peer that asks for ``amount``, or at least ``minimum``.

    >>> _amount_to_give(100, amount=30, minimum=10), _amount_to_give(100, amount=90, minimum=10)
    (30, 50)
    >>> _amount_to_give(12, amount=90, minimum=10), _amount_to_give(8, amount=90, minimum=10)
    (12, 8)
    """
    given_amount = min(spendable, max(min(amount, spendable // 2), minimum))
    # If the rest is too small for a request like this one, it is given as well.
    return spendable if spendable - given_amount < minimum else given_amount


class TransferRecipient:
    """Ask peers for money."""

    def __init__(
        self,
        caller: Caller,
        replicator: ChargeReplicator,
        is_ended: Callable[[Holder], bool],
        clock: Clock,
        random: Random,
    ) -> None:
        self._caller = caller
        self._replicator = replicator
        self._is_ended = is_ended
        self._clock = clock
        self._random = random
        self._retry_at_by_host: dict[str, float] = {}
        self._unanswered: dict[_PeerBudget, TakeRequest] = {}
        self._unused_by_numbering: dict[_Numbering, list[int]] = {}
        self.sent = 0

    async def take(
        self, peer: PeerHost, allotment: Allotment, amount: int, minimum: int
    ) -> TakeReply | None:
        """Ask one peer and add what it gives; return ``None`` if it did not answer.

        A peer that did not answer is not asked again for some time: during a network partition each
        call would cost a request most of its time.
        """
        if self._clock.now() < self._retry_at_by_host.get(peer.host, float("-inf")):
            return None
        holder = allotment.queue.holder
        # The number is random and not a counter: after a restart a counter could repeat the number
        # of an earlier request, and the peer would give that request's transfer again.
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
        key = _PeerBudget(peer.host, allotment.budget)
        unanswered = self._unanswered.pop(key, None)
        if unanswered is not None:
            await self._ask(peer, key, unanswered, allotment)
        return await self._ask(peer, key, request, allotment)

    def discard_unanswered(self, budget: str) -> None:
        """Discard unanswered requests for a budget: their outcome is already accounted for."""
        for key in [key for key in self._unanswered if key.budget == budget]:
            del self._unanswered[key]

    async def repeat_unanswered(self, peers: Sequence[PeerHost], allotment: Allotment) -> None:
        """Repeat unanswered requests: a donor may already have deducted the money for this host."""
        for peer in peers:
            key = _PeerBudget(peer.host, allotment.budget)
            request = self._unanswered.get(key)
            if request is not None and self._clock.now() >= self._retry_at_by_host.get(
                peer.host, float("-inf")
            ):
                del self._unanswered[key]
                await self._ask(peer, key, request, allotment)

    async def _ask(
        self,
        peer: PeerHost,
        key: _PeerBudget,
        request: TakeRequest,
        allotment: Allotment,
    ) -> TakeReply | None:
        """Ask a peer and add what it gives; store the request if there is no answer."""
        with allotment.transferring():
            return await self._ask_and_accept(peer, key, request, allotment)

    async def _ask_and_accept(
        self,
        peer: PeerHost,
        key: _PeerBudget,
        request: TakeRequest,
        allotment: Allotment,
    ) -> TakeReply | None:
        self.sent += 1
        answer = await self._caller.call(peer.links, TAKE, request, TAKE_TIMEOUT_S)
        if isinstance(answer, Err):
            if answer.err_value.kind is ErrorKind.CONFLICT:
                # The incarnation that was asked has ended. Other hosts report what it may have
                # given.
                allotment.checked_until = self._clock.now() + CHECK_DURATION_S
                return None
            # The peer may have given money. If the same request is sent again, the peer answers
            # with the same transfer.
            self._unanswered.setdefault(key, request)
            now = self._clock.now()
            allotment.checked_until = now + CHECK_DURATION_S
            self._retry_at_by_host[peer.host] = now + PEER_RETRY_DELAY_S
            return None
        reply = answer.ok_value
        if reply.transfer is not None:
            await self._accept(reply.transfer, reply.is_reported, allotment)
        else:
            # No transfer has this number, so a later request may use it.
            numbering = _Numbering(request.taker, request.budget)
            heapq.heappush(
                self._unused_by_numbering.setdefault(numbering, []), request.taker_number
            )
        return reply

    def _next_number(self, allotment: Allotment) -> int:
        """Return the lowest number that no transfer to this holder has or may have.

        Most hosts that are asked at the same time give nothing. If their numbers were left out, the
        ledger would soon refuse the other transfers as too far ahead of the first missing number.
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
            # A late answer. This host has already confirmed to the donor's successor that it
            # stores nothing of the donor, or has become another holder itself. The amount is
            # released with a remainder.
            return
        if not is_reported:
            # The report is queued before the money can be spent, so that it reaches the ledger, or
            # a replica holder, before any charge against it.
            allotment.queue.report(transfer, allotment)
            allotment.add_unreported_receipt(transfer.amount, transfer.asked_clock)
            if not allotment.queue.in_reach:
                queue = allotment.queue
                await self._replicator.persist(
                    Kept(queue.holder, (transfer,), ()), queue.reach.may_store_at
                )
        allotment.granted(transfer.amount)
