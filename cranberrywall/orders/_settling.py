"""Tell which engines' announcements do not show yet what came of their last order.

The answer to an order comes before the announcement that shows its effect. Were the next
order decided on the older announcement, its effect might seem to be there because of the
one before, and an order that is still on its way would count as finished.
"""

from collections.abc import Mapping, Sequence

from cranberrywall.orders._engines import EngineView, has_effect
from cranberrywall.orders.messages import ClosedOrder, Evidence, OpenOrder

_WITHOUT_EFFECT = frozenset({Evidence.UNSENT, Evidence.REFUSED})
_WITH_EFFECT = frozenset({Evidence.DONE, Evidence.SEEN})


class Settling:
    """Follow each engine's last closed order until an announcement is surely later.

    An announcement that shows the order's effect is later. One of a later run of the
    engine need not be: an order that was on its way may reach that run too. Where the
    effect is unknown or never shows, one is taken as later after ``longest_lag`` seconds,
    counted from when this host first saw the order closed. An engine that failed an order
    rests as long.
    """

    def __init__(self, longest_lag: float) -> None:
        self._longest_lag = longest_lag
        self._seen_at_by_number: dict[int, float] = {}

    def find(
        self, closed: Sequence[ClosedOrder], engines: Mapping[str, EngineView], now: float
    ) -> list[OpenOrder]:
        """Return the last orders of the engines that have not settled."""
        last_by_target = {one.order.target: one for one in closed}
        self._seen_at_by_number = {
            one.order.number: self._seen_at_by_number.get(one.order.number, now)
            for one in last_by_target.values()
        }
        return [
            one.order
            for target, one in last_by_target.items()
            if target in engines and not self._is_settled(one, engines[target], now)
        ]

    def _is_settled(self, closed: ClosedOrder, engine: EngineView, now: float) -> bool:
        order = closed.order
        if closed.evidence in _WITHOUT_EFFECT:
            return True
        if now - self._seen_at_by_number[order.number] >= self._longest_lag:
            return True
        decided_on = (order.incarnation, order.counter)
        is_later = (engine.incarnation, engine.counter) > decided_on
        return closed.evidence in _WITH_EFFECT and is_later and has_effect(engine, order.action)
