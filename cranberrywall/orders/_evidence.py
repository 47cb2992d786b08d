"""Find evidence that open orders are finished or can no longer be sent.

Without evidence an order stays open, and a successor sends nothing to an engine that
could not tell the two apart. No time that passes is evidence by itself: a paused process
sends what it had in hand whenever it goes on.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from result import Err

from cranberrywall.links import Caller
from cranberrywall.orders._engines import EngineView, shows_effect
from cranberrywall.orders._machine import draws_on_store
from cranberrywall.orders._outbox import Outbox
from cranberrywall.orders.messages import (
    STOP_SENDING,
    Evidence,
    Fate,
    OpenOrder,
    StoppedSending,
    StopSending,
)

ASK_TIMEOUT_S = 2.0


class Finding(NamedTuple):
    """Pair an open order with evidence, or, where there is none yet, with the reason."""

    order: OpenOrder
    evidence: Evidence | None
    reason: str = ""


class EvidenceFinder:
    """Look at announcements, own fates and predecessors' answers."""

    def __init__(
        self,
        outbox: Outbox,
        caller: Caller,
        links_by_host: Mapping[str, str],
        load_limit: float,
    ) -> None:
        self._outbox = outbox
        self._caller = caller
        self._links_by_host = links_by_host
        self._load_limit = load_limit
        self._unsendable_since: dict[str, float] = {}

    async def find(
        self, orders: Sequence[OpenOrder], engines: Mapping[str, EngineView], now: float
    ) -> list[Finding]:
        """Return a finding for each open order."""
        answers = await self._ask_predecessors(orders)
        open_ids = {order.order_id for order in orders}
        self._unsendable_since = {
            order_id: since
            for order_id, since in self._unsendable_since.items()
            if order_id in open_ids
        }
        open_by_target = Counter(order.target for order in orders)
        return [
            self._judge(
                order,
                answers,
                order.alone
                and open_by_target[order.target] == 1
                and order.target in engines
                and shows_effect(engines[order.target], order),
                now,
            )
            for order in orders
        ]

    async def _ask_predecessors(
        self, orders: Sequence[OpenOrder]
    ) -> dict[str, StoppedSending | str]:
        ids_by_host: dict[str, list[str]] = {}
        for order in orders:
            if order.issuer != self._outbox.issuer:
                ids_by_host.setdefault(order.issuer.host, []).append(order.order_id)
        answers: dict[str, StoppedSending | str] = {}
        for host, order_ids in ids_by_host.items():
            answers[host] = await self._ask(host, order_ids)
        return answers

    async def _ask(self, host: str, order_ids: list[str]) -> StoppedSending | str:
        if host == self._outbox.issuer.host:
            # This is a later run on the issuer's own host.
            return StoppedSending(self._outbox.issuer, ())
        if host not in self._links_by_host:
            return f"{host} is no control host any more"
        request = StopSending(tuple(order_ids))
        result = await self._caller.call(
            self._links_by_host[host], STOP_SENDING, request, ASK_TIMEOUT_S
        )
        if isinstance(result, Err):
            return f"{host}, which committed it, does not answer ({result.err_value.kind})"
        return result.ok_value

    def _judge(
        self,
        order: OpenOrder,
        answers: Mapping[str, StoppedSending | str],
        is_seen: bool,
        now: float,
    ) -> Finding:
        """Prefer what the issuer itself says; what is announced decides where it cannot."""
        if order.issuer == self._outbox.issuer:
            return self._judge_fate(order, self._outbox.fate(order.order_id), is_seen, now)
        answer = answers[order.issuer.host]
        if isinstance(answer, str):
            return Finding(order, Evidence.SEEN if is_seen else None, answer)
        if answer.issuer.incarnation > order.issuer.incarnation:
            return self._unsendable(order, Evidence.RESTARTED, is_seen, now)
        fate_by_id = {fate.order_id: fate.fate for fate in answer.fates}
        if answer.issuer != order.issuer or order.order_id not in fate_by_id:
            return Finding(order, None, f"{order.issuer.host} answers for another run")
        return self._judge_fate(order, fate_by_id[order.order_id], is_seen, now)

    def _judge_fate(self, order: OpenOrder, fate: Fate, is_seen: bool, now: float) -> Finding:
        if fate in _EVIDENCE_BY_FATE:
            return Finding(order, _EVIDENCE_BY_FATE[fate])
        if fate is Fate.SENDING:
            return Finding(order, None, f"{order.issuer.host} waits for the engine's answer")
        return self._unsendable(order, Evidence.STOPPED, is_seen, now)

    def _unsendable(
        self, order: OpenOrder, evidence: Evidence, is_seen: bool, now: float
    ) -> Finding:
        """Judge an order that cannot be sent any more, but may have arrived.

        The engine, or a later run of it, may still fetch weights for it, so a load keeps
        its permit until the time is over in which any load is done.
        """
        if is_seen:
            return Finding(order, Evidence.SEEN)
        if not draws_on_store(order.action):
            return Finding(order, evidence)
        since = self._unsendable_since.setdefault(order.order_id, now)
        if now - since >= self._load_limit:
            return Finding(order, evidence)
        return Finding(order, None, "the engine may still fetch the weights for it")


_EVIDENCE_BY_FATE = {
    Fate.DONE: Evidence.DONE,
    Fate.FAILED: Evidence.FAILED,
    Fate.REFUSED: Evidence.REFUSED,
    Fate.NEVER_SENT: Evidence.UNSENT,
}
