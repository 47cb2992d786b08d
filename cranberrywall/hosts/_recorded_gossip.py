"""Gossip whose items outlive all entry hosts: control hosts store them as records.

Items that entry hosts exchange survive the loss of any of these hosts, but not of all at the same
moment. A host that starts restores the items from the records.
"""

from collections.abc import Callable, Mapping, Sequence

from cranberrywall.hosts._interfaces import RestorableGossip
from cranberrywall.hosts.messages import Item, Urgency
from cranberrywall.observability import log_event
from cranberrywall.records import Record, RecordClient
from cranberrywall.runtime import Clock


class RecordedGossip:
    """Publishes items, and writes those of some topics as records; implements ``Gossip``.

    ``lifetime_by_topic`` has the lifetimes of the records, in seconds. Each host records the items
    that it publishes itself. ``clock`` is the clock for receivers of these topics: while an item is
    restored, its present time is that at which the item was published.
    """

    def __init__(
        self,
        gossip: RestorableGossip,
        records: RecordClient,
        clock: Clock,
        lifetime_by_topic: Mapping[str, float],
    ) -> None:
        self.clock = _ReplayClock(clock)
        self._gossip = gossip
        self._records = records
        self._lifetime_by_topic = lifetime_by_topic
        self._fetch = records.make_fetch(list(lifetime_by_topic))

    def subscribe(self, topic: str, receive: Callable[[Item], None]) -> None:
        """Call ``receive`` with each new item of ``topic``, including items of this host."""
        self._gossip.subscribe(topic, receive)

    def publish(self, item: Item) -> None:
        """Disseminate ``item``; an item that is not newer than the stored one is dropped."""
        self._gossip.publish(item)
        lifetime_s = self._lifetime_by_topic.get(item.topic)
        if lifetime_s is not None:
            record = Record(item.topic, item.key, item.version, item.payload, lifetime_s)
            self._records.write(record)

    def items(self, topic: str) -> Sequence[Item]:
        """Return the newest items of ``topic``, without removed ones."""
        return self._gossip.items(topic)

    async def restore(self, timeout_s: float) -> bool:
        """Apply the items on record, and return whether all control hosts have sent theirs.

        It is called again until then, and goes on where the call before ended.
        """
        await self._fetch.run(self._restore_from, timeout_s)
        return self._fetch.is_complete

    def _restore_from(self, records: Sequence[Record]) -> None:
        for record in sorted(records, key=lambda one: -one.age_s):
            self._apply(record)
        log_event("INFO", "records_restored", records=len(records))

    def _apply(self, record: Record) -> None:
        # Other hosts restore the items themselves: one that received them by gossip would not know
        # their age.
        item = Item(
            record.topic, record.key, record.version, record.payload, urgency=Urgency.URGENT
        )
        self.clock.set_back(record.age_s)
        try:
            self._gossip.apply(item)
        finally:
            self.clock.set_back(0.0)


class _ReplayClock:
    """Clock whose present time can be set back."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._back_s = 0.0

    def set_back(self, seconds: float) -> None:
        self._back_s = seconds

    def now(self) -> float:
        return self._clock.now() - self._back_s

    def wall(self) -> float:
        return self._clock.wall() - self._back_s

    async def sleep(self, seconds: float) -> None:
        await self._clock.sleep(seconds)
