"""Fetch of records from all control hosts, by a host that starts."""

import asyncio
from collections.abc import Callable, Sequence

from result import Err

from cranberrywall.links import Caller
from cranberrywall.records.messages import LIST_RECORDS, ListRequest, Record
from cranberrywall.runtime import Clock


class RecordFetch:
    """Fetch of the records of topics, from all control hosts because each may lack some.

    ``run`` may be called again and again, and goes on where the call before ended.
    """

    def __init__(
        self,
        controls: Callable[[], Sequence[str]],
        caller: Caller,
        clock: Clock,
        topics: Sequence[str],
    ) -> None:
        self._controls = controls
        self._caller = caller
        self._clock = clock
        self._topics = tuple(topics)
        self._before_by_address: dict[str, int] = {}
        self._received_by_address: dict[str, list[tuple[Record, float]]] = {}
        self._finished: set[str] = set()

    @property
    def is_complete(self) -> bool:
        """Return whether all control hosts that are known have sent their records."""
        return self._finished.issuperset(self._controls())

    async def run(self, receive: Callable[[Sequence[Record]], None], timeout_s: float) -> None:
        """Fetch for at most so many seconds; ``receive`` is called with each host's records.

        Pages are in order from the newest record to the oldest. A host's records are passed on
        together, because an older one may be obsolete by a newer one of another key.
        """
        addresses = [one for one in self._controls() if one not in self._finished]
        until = self._clock.now() + timeout_s
        await asyncio.gather(*(self._fetch_from(one, receive, until) for one in addresses))

    async def _fetch_from(
        self, address: str, receive: Callable[[Sequence[Record]], None], until: float
    ) -> None:
        received = self._received_by_address.setdefault(address, [])
        while (remaining_s := until - self._clock.now()) > 0.0:
            request = ListRequest(self._topics, self._before_by_address.get(address, 0))
            answer = await self._caller.call(address, LIST_RECORDS, request, remaining_s)
            if isinstance(answer, Err):
                return
            now, page = self._clock.now(), answer.ok_value
            received += [(record, now) for record in page.records]
            self._before_by_address[address] = page.before
            if not page.before:
                self._finished.add(address)
                del self._received_by_address[address]
                receive([aged(record, now - at) for record, at in received])
                return


def aged(record: Record, seconds: float) -> Record:
    """Return a record as of some seconds later."""
    return record._replace(lifetime_s=record.lifetime_s - seconds, age_s=record.age_s + seconds)
