"""Learn, without the ledger, whether a call may have been sent by another host.

A call that is refused because no majority was reached was not sent by this host. Whether an
earlier arrival of its id was sent elsewhere, the ledger would know. Without it, other entry
hosts are asked: each tells two of them, before it sends, that it is about to. Only where
they know of nobody may the refusal say that the call did not run.
"""

from collections import OrderedDict
from collections.abc import Callable

from cranberrywall.requests._registry import Registry
from cranberrywall.requests.messages import Attempted, RunKey

MOST_REMEMBERED = 65_536
_TOLERATED_MISSING = 1
"""With two witnesses for each call, one host may be lost without losing what it saw."""


class Witnesses:
    """Tell other hosts of calls about to be sent, and ask them."""

    def __init__(self, registry: Registry | None, count_missing: Callable[[], int]) -> None:
        """``count_missing`` returns how many configured entry hosts are not alive."""
        self._registry = registry
        self._count_missing = count_missing
        self._sent: OrderedDict[RunKey, None] = OrderedDict()

    async def claim(self, key: RunKey, fingerprint: str) -> bool:
        """Tell the witnesses, and return whether it is certain that nobody else sent."""
        if self._registry is None:
            return key not in self._sent
        first = await self._registry.claim_first(key, fingerprint)
        return first and key not in self._sent and self._count_missing() <= _TOLERATED_MISSING

    def note_sent(self, key: RunKey, attempted: Attempted) -> None:
        """Remember that the call is being sent."""
        self._sent[key] = None
        if len(self._sent) > MOST_REMEMBERED:
            self._sent.popitem(last=False)
        if self._registry is not None:
            self._registry.note(key, attempted)

    def note_not_sent(self, key: RunKey) -> None:
        """Let the witnesses forget a call that was not sent."""
        if self._registry is not None and key not in self._sent:
            self._registry.note(key, Attempted("", ""), failed=True)
