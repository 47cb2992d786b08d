"""Gossip: disseminates items with the probes and by pushes, within a limit of bytes."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any, NamedTuple

from cranberrywall.hosts._table import ItemTable
from cranberrywall.hosts._timings import MembershipTimings
from cranberrywall.hosts.messages import PUSH, Item, PushRequest, Urgency
from cranberrywall.links import Caller
from cranberrywall.runtime import Clock

_SENDS_BY_URGENCY = {Urgency.URGENT: 1, Urgency.NORMAL: 4, Urgency.VOLATILE: 3}
"""Number of probes with which each host that receives an item forwards it. With four sends an item
misses about one host in fifty, with three about one in twenty; the digests find the hosts that
miss non-volatile items. Urgent items are also pushed."""
_DEFERRED_SENDS = 4
"""Number of probes with which an urgent item is sent if the push limit delayed its push."""
_ITEM_OVERHEAD_BYTES = 24
_PUSH_TIMEOUT_S = 2.0
_MAX_PUSH_ITEMS = 500

Receiver = Callable[[Item], None]


class GossipPeer(NamedTuple):
    """Host that receives items from this one."""

    host: str
    place: str
    links: str


class _Pending:
    """Item that waits to be pushed, and the hosts that have it already."""

    __slots__ = ("item", "received_by")

    def __init__(self, item: Item, received_by: set[str]) -> None:
        self.item = item
        self.received_by = received_by

    def is_for(self, peer: GossipPeer) -> bool:
        """Return whether the item must be pushed to ``peer``."""
        return self.item.place in ("", peer.place) and peer.host not in self.received_by


class PiggybackGossip:
    """Publishes own items and forwards those of other hosts; implements ``Gossip``."""

    def __init__(
        self,
        table: ItemTable,
        caller: Caller,
        clock: Clock,
        timings: MembershipTimings,
        peers: Callable[[], Sequence[GossipPeer]],
    ) -> None:
        self._table = table
        self._caller = caller
        self._clock = clock
        self._timings = timings
        self._gossip_peers = peers
        self._receiver_by_topic: dict[str, Receiver] = {}
        # Ordered by urgency: urgent items are sent first, then normal, then volatile ones.
        self._sends_by_urgency: dict[Urgency, dict[tuple[str, str], int]] = {
            urgency: {} for urgency in sorted(Urgency, reverse=True)
        }
        self._urgent: dict[tuple[str, str], _Pending] = {}
        self._push_credit = timings.push_burst_bytes
        self._push_credit_at = clock.now()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_push_scheduled = False
        self.pushed_bytes = 0
        self.delayed_pushes = 0

    def subscribe(self, topic: str, receive: Receiver) -> None:
        """Call ``receive`` with each new item of ``topic``, including items of this host."""
        if topic in self._receiver_by_topic:
            raise ValueError(f"the topic {topic} already has a receiver")
        self._receiver_by_topic[topic] = receive

    def publish(self, item: Item) -> None:
        """Disseminate ``item``; an item that is not newer than the stored one is dropped."""
        self.merge([item])

    def apply(self, item: Item) -> None:
        """Store ``item`` without queueing it; hosts that miss it receive it by a comparison."""
        if self._table.put(item, self._clock.now()):
            self._receive(item)

    def items(self, topic: str) -> Sequence[Item]:
        """Return the newest items of ``topic``, without removed ones."""
        return self._table.items_of_topic(topic)

    def merge(self, items: Iterable[Item], source: str = "") -> None:
        """Store items from the host ``source``, and queue the new ones for other hosts."""
        now = self._clock.now()
        for item in items:
            key = (item.topic, item.key)
            if not self._table.put(item, now):
                pending = self._urgent.get(key)
                if pending is not None and pending.item.version == item.version:
                    pending.received_by.add(source)
                continue
            self._queue(item, _SENDS_BY_URGENCY[item.urgency])
            if item.urgency is Urgency.URGENT:
                self._urgent[key] = _Pending(item, {source})
                self._schedule_push()
            self._receive(item)

    def _receive(self, item: Item) -> None:
        receive = self._receiver_by_topic.get(item.topic)
        if receive is not None:
            receive(item)

    def select_items(self, place: str) -> tuple[Item, ...]:
        """Return the items for a message to a host in ``place``, urgent and newest first."""
        selected: list[Item] = []
        capacity_bytes = self._timings.piggyback_bytes
        for sends_by_key in self._sends_by_urgency.values():
            capacity_bytes -= self._select_from(sends_by_key, place, capacity_bytes, selected)
        return tuple(selected)

    def _select_from(
        self,
        sends_by_key: dict[tuple[str, str], int],
        place: str,
        capacity_bytes: int,
        selected: list[Item],
    ) -> int:
        exhausted: list[tuple[str, str]] = []
        used = 0
        for key, sends in reversed(sends_by_key.items()):
            item = self._table.get(*key)
            if item is None:
                exhausted.append(key)
                continue
            if item.place not in ("", place):
                continue
            if used + size_of(item) > capacity_bytes:
                break
            used += size_of(item)
            selected.append(item)
            sends_by_key[key] = sends - 1
            if sends == 1:
                exhausted.append(key)
        for key in exhausted:
            del sends_by_key[key]
        return used

    async def push_to(self, peer: GossipPeer, items: Sequence[Item]) -> None:
        """Send items to one host immediately, at most ``_MAX_PUSH_ITEMS`` per message."""
        for start in range(0, len(items), _MAX_PUSH_ITEMS):
            batch = tuple(items[start : start + _MAX_PUSH_ITEMS])
            await self._caller.call(peer.links, PUSH, PushRequest(batch), _PUSH_TIMEOUT_S)

    def close(self) -> None:
        """Stop pushing."""
        for task in self._tasks:
            task.cancel()

    def _queue(self, item: Item, sends: int) -> None:
        sends_by_key = self._sends_by_urgency[item.urgency]
        key = (item.topic, item.key)
        # The newest item is sent first, so an item that is queued again moves to the end.
        sends_by_key.pop(key, None)
        sends_by_key[key] = sends

    def _schedule_push(self) -> None:
        if self._is_push_scheduled:
            return
        self._is_push_scheduled = True
        self._start(self._push_after_delay())

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _push_after_delay(self) -> None:
        # Urgent items often arrive two or three at a time; the delay puts them into one message.
        await self._clock.sleep(self._timings.push_delay)
        self._is_push_scheduled = False
        urgent, self._urgent = list(self._urgent.values()), {}
        now = self._clock.now()
        for peer in self._gossip_peers():
            items = [pending.item for pending in urgent if pending.is_for(peer)]
            size_bytes = sum(map(size_of, items))
            if not items:
                continue
            if not self._acquire_push_credit(size_bytes, now):
                # Without this limit, a host that flaps quickly would make all other hosts push
                # all the time. Items that are not pushed are still sent with the probes.
                self.delayed_pushes += 1
                for item in items:
                    self._queue(item, _DEFERRED_SENDS)
                continue
            self.pushed_bytes += size_bytes
            self._start(self.push_to(peer, items))

    def _acquire_push_credit(self, size_bytes: int, now: float) -> bool:
        refill = max(0.0, now - self._push_credit_at) * self._timings.push_bytes_per_s
        self._push_credit = min(self._timings.push_burst_bytes, self._push_credit + refill)
        self._push_credit_at = now
        if size_bytes > self._push_credit:
            return False
        self._push_credit -= size_bytes
        return True


def size_of(item: Item) -> int:
    """Return the approximate size of ``item`` in a message, in bytes."""
    return len(item.topic) + len(item.key) + len(item.payload) + _ITEM_OVERHEAD_BYTES
