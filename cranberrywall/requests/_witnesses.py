"""Check without the ledger whether another host may have sent a call.

If this host reaches no majority, it refuses the call and does not send it. Another host may
have sent an earlier request with the same id, and the ledger cannot be asked. So each entry
host claims a call at two entry hosts, its witnesses, before it sends the call. The refusal
may state that the call did not run only if no witness has recorded another host.
"""

from collections import OrderedDict
from collections.abc import Callable

from cranberrywall.requests._registry import Registry
from cranberrywall.requests.messages import AttemptLocation, RunKey

MAX_SENT_CALLS = 65_536
_MAX_MISSING_HOSTS = 1
"""Each call has two witnesses, so one missing host does not lose the record of a call."""


class Witnesses:
    """Record at other hosts which calls are sent, and query these records."""

    def __init__(self, registry: Registry | None, count_missing: Callable[[], int]) -> None:
        """``count_missing`` returns the number of configured entry hosts that are not alive."""
        self._registry = registry
        self._count_missing = count_missing
        self._sent_calls: OrderedDict[RunKey, None] = OrderedDict()

    async def claim(self, key: RunKey, fingerprint: str) -> bool:
        """Claim the call at its witnesses; return whether it is certain that it was never sent."""
        if self._registry is None:
            return key not in self._sent_calls
        is_granted = await self._registry.claim_unanimously(key, fingerprint)
        return (
            is_granted
            and key not in self._sent_calls
            and self._count_missing() <= _MAX_MISSING_HOSTS
        )

    def record_sent(self, key: RunKey, attempt: AttemptLocation) -> None:
        """Record that this host sends the call."""
        self._sent_calls[key] = None
        if len(self._sent_calls) > MAX_SENT_CALLS:
            self._sent_calls.popitem(last=False)
        if self._registry is not None:
            self._registry.report_attempt(key, attempt)

    def record_not_sent(self, key: RunKey) -> None:
        """Remove the claim of a call that this host did not send."""
        if self._registry is not None and key not in self._sent_calls:
            self._registry.report_attempt(key, AttemptLocation("", ""), failed=True)
