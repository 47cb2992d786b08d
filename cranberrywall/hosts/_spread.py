"""Pass items on, within a budget of bytes."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any, NamedTuple

from cranberrywall.hosts._pace import MembershipTimings
from cranberrywall.hosts._table import Table
from cranberrywall.hosts.messages import PUSH, Item, PushRequest, Urgency
from cranberrywall.links import Caller
from cranberrywall.runtime import Clock

_SENDS_BY_URGENCY = {Urgency.URGENT: 1, Urgency.NORMAL: 4, Urgency.VOLATILE: 3}
"""How often an item goes out with a probe from each host that gets it. Passed on four times,
news misses about one host in fifty, three times one in twenty; the digests find those that
miss lasting items. Urgent items are pushed besides."""
_HELD_BACK_SENDS = 4
_ITEM_OVERHEAD_BYTES = 24
_PUSH_TIMEOUT_S = 2.0
_PUSH_ITEMS = 500

Receiver = Callable[[Item], None]


class Contact(NamedTuple):
    """Name a host to which items go."""

    host: str
    place: str
    links: str


class _Pending:
    """Hold an item that is to be pushed, and the hosts that have it already."""

    __slots__ = ("item", "known_by")

    def __init__(self, item: Item, known_by: set[str]) -> None:
        self.item = item
        self.known_by = known_by

    def is_for(self, contact: Contact) -> bool:
        """Say whether the contact should get the item."""
        return self.item.place in ("", contact.place) and contact.host not in self.known_by


class Spreading:
    """Publish items and pass on those of others; it implements ``Gossip``."""

    def __init__(
        self,
        table: Table,
        caller: Caller,
        clock: Clock,
        pace: MembershipTimings,
        contacts: Callable[[], Sequence[Contact]],
    ) -> None:
        self._table = table
        self._caller = caller
        self._clock = clock
        self._pace = pace
        self._contacts = contacts
        self._receiver_by_topic: dict[str, Receiver] = {}
        # Urgent items go before normal ones, and those before volatile ones.
        self._sends_by_urgency: dict[Urgency, dict[tuple[str, str], int]] = {
            urgency: {} for urgency in sorted(Urgency, reverse=True)
        }
        self._urgent: dict[tuple[str, str], _Pending] = {}
        self._push_credit = pace.push_burst_bytes
        self._push_credit_at = clock.now()
        self._tasks: set[asyncio.Task[None]] = set()
        self._push_waits = False
        self.pushed_bytes = 0
        self.delayed_pushes = 0

    def subscribe(self, topic: str, receive: Receiver) -> None:
        """Call ``receive`` with each item of ``topic`` that is news, own ones included."""
        if topic in self._receiver_by_topic:
            raise ValueError(f"the topic {topic} has a receiver already")
        self._receiver_by_topic[topic] = receive

    def publish(self, item: Item) -> None:
        """Spread an item; one that is not newer than what is known is dropped."""
        self.absorb([item])

    def items(self, topic: str) -> Sequence[Item]:
        """Return the newest items of a topic, without those that are gone."""
        return self._table.of_topic(topic)

    def absorb(self, items: Iterable[Item], source: str = "") -> None:
        """Take in items from the host ``source``, and queue the news among them for others."""
        now = self._clock.now()
        for item in items:
            key = (item.topic, item.key)
            if not self._table.put(item, now):
                pending = self._urgent.get(key)
                if pending is not None and pending.item.version == item.version:
                    pending.known_by.add(source)
                continue
            self._queue(item, _SENDS_BY_URGENCY[item.urgency])
            if item.urgency is Urgency.URGENT:
                self._urgent[key] = _Pending(item, {source})
                self._push_soon()
            receive = self._receiver_by_topic.get(item.topic)
            if receive is not None:
                receive(item)

    def take(self, place: str) -> tuple[Item, ...]:
        """Return what goes with a message to a host in ``place``: urgent, then newest first."""
        taken: list[Item] = []
        room = self._pace.piggyback_bytes
        for sends_by_key in self._sends_by_urgency.values():
            room -= self._take_from(sends_by_key, place, room, taken)
        return tuple(taken)

    def _take_from(
        self, sends_by_key: dict[tuple[str, str], int], place: str, room: int, taken: list[Item]
    ) -> int:
        spent: list[tuple[str, str]] = []
        used = 0
        for key, sends in reversed(sends_by_key.items()):
            item = self._table.get(*key)
            if item is None:
                spent.append(key)
                continue
            if item.place not in ("", place):
                continue
            if used + size_of(item) > room:
                break
            used += size_of(item)
            taken.append(item)
            sends_by_key[key] = sends - 1
            if sends == 1:
                spent.append(key)
        for key in spent:
            del sends_by_key[key]
        return used

    async def push_to(self, contact: Contact, items: Sequence[Item]) -> None:
        """Send items to one host at once, some hundred a message."""
        for start in range(0, len(items), _PUSH_ITEMS):
            batch = tuple(items[start : start + _PUSH_ITEMS])
            await self._caller.call(contact.links, PUSH, PushRequest(batch), _PUSH_TIMEOUT_S)

    def close(self) -> None:
        """Stop pushing."""
        for task in self._tasks:
            task.cancel()

    def _queue(self, item: Item, sends: int) -> None:
        sends_by_key = self._sends_by_urgency[item.urgency]
        key = (item.topic, item.key)
        # The newest goes first, so that an item that is queued again moves to the end.
        sends_by_key.pop(key, None)
        sends_by_key[key] = sends

    def _push_soon(self) -> None:
        if self._push_waits:
            return
        self._push_waits = True
        self._start(self._push_after_delay())

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _push_after_delay(self) -> None:
        # News often comes in twos and threes: the delay lets them share a message.
        await self._clock.sleep(self._pace.push_delay)
        self._push_waits = False
        urgent, self._urgent = list(self._urgent.values()), {}
        now = self._clock.now()
        for contact in self._contacts():
            items = [pending.item for pending in urgent if pending.is_for(contact)]
            cost = sum(map(size_of, items))
            if not items:
                continue
            if not self._may_push(cost, now):
                # Without the bound, a host that flaps quickly would make all others push
                # without end. What is not pushed still goes out with the probes.
                self.delayed_pushes += 1
                for item in items:
                    self._queue(item, _HELD_BACK_SENDS)
                continue
            self.pushed_bytes += cost
            self._start(self.push_to(contact, items))

    def _may_push(self, cost: int, now: float) -> bool:
        earned = max(0.0, now - self._push_credit_at) * self._pace.push_bytes_per_s
        self._push_credit = min(self._pace.push_burst_bytes, self._push_credit + earned)
        self._push_credit_at = now
        if cost > self._push_credit:
            return False
        self._push_credit -= cost
        return True


def size_of(item: Item) -> int:
    """Return about how many bytes an item takes in a message."""
    return len(item.topic) + len(item.key) + len(item.payload) + _ITEM_OVERHEAD_BYTES
