"""Compare all items with another host and exchange what differs.

It brings a host up to date that joins or comes back, and finds what passing-on missed.
"""

from result import Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.hosts._pace import MembershipTimings
from cranberrywall.hosts._spread import Contact, Spreading
from cranberrywall.hosts._table import Table
from cranberrywall.hosts.messages import SYNC, Item, ProbeReply, SyncReply, SyncRequest
from cranberrywall.links import Caller, Peer
from cranberrywall.runtime import Clock

_SYNC_TIMEOUT_S = 5.0


class Syncing:
    """Hold this host's end of the comparison."""

    def __init__(
        self,
        host: str,
        place: str,
        table: Table,
        spreading: Spreading,
        caller: Caller,
        clock: Clock,
        pace: MembershipTimings,
    ) -> None:
        self._host = host
        self._place = place
        self._table = table
        self._spreading = spreading
        self._caller = caller
        self._clock = clock
        self._pace = pace
        self._differs_since: dict[str, float] = {}
        self._synced_at = float("-inf")
        self.syncs = 0

    def is_due(self, host: str, place: str, reply: ProbeReply) -> bool:
        """Say whether the neighbour that gave ``reply`` has differed for long enough.

        News on its way makes any two hosts differ for a moment; only a lasting difference
        is worth a comparison.
        """
        now = self._clock.now()
        differs = self._table.fleet_digest != reply.fleet_digest
        if place == self._place:
            differs = differs or self._table.place_digest != reply.place_digest
        if not differs:
            self._differs_since.pop(host, None)
            return False
        since = self._differs_since.setdefault(host, now)
        wait = self._pace.sync_after
        return now - since >= wait and now - self._synced_at >= wait

    async def sync_with(self, links: str) -> bool:
        """Compare with the host at ``links``, and return whether it answered."""
        self._synced_at = self._clock.now()
        request = SyncRequest(*self._table.digests())
        result = await self._caller.call(links, SYNC, request, _SYNC_TIMEOUT_S)
        if not isinstance(result, Ok):
            return False
        self.syncs += 1
        reply = result.ok_value
        self._differs_since.pop(reply.host, None)
        self._spreading.absorb(reply.items, reply.host)
        newer = self._newer_than(reply)
        if newer:
            await self._spreading.push_to(Contact(reply.host, reply.place, links), newer)
        return True

    async def answer(self, request: SyncRequest, peer: Peer) -> Result[SyncReply, Refusal]:
        """Answer another host's comparison."""
        is_near = peer.place == self._place
        buckets = self._table.differing(request.fleet_digests, request.place_digests, is_near)
        items = self._table.in_buckets(buckets, peer.place)
        return Ok(SyncReply(self._host, self._place, tuple(buckets), tuple(items)))

    def _newer_than(self, reply: SyncReply) -> list[Item]:
        version_by_key = {(item.topic, item.key): item.version for item in reply.items}
        return [
            item
            for item in self._table.in_buckets(reply.buckets, reply.place)
            if item.version > version_by_key.get((item.topic, item.key), ())
        ]
