"""Anti-entropy: two hosts compare all their items and exchange the ones that differ.

It updates a host that joins or returns, and repairs items that gossip did not deliver.
"""

from result import Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.hosts._spread import GossipPeer, PiggybackGossip
from cranberrywall.hosts._table import ItemTable
from cranberrywall.hosts._timings import MembershipTimings
from cranberrywall.hosts.messages import SYNC, Item, ProbeReply, SyncReply, SyncRequest
from cranberrywall.links import Caller, Peer
from cranberrywall.runtime import Clock

_SYNC_TIMEOUT_S = 5.0


class AntiEntropy:
    """Compares this host's items with other hosts, and answers their comparisons."""

    def __init__(
        self,
        host: str,
        place: str,
        table: ItemTable,
        gossip: PiggybackGossip,
        caller: Caller,
        clock: Clock,
        timings: MembershipTimings,
    ) -> None:
        self._host = host
        self._place = place
        self._table = table
        self._gossip = gossip
        self._caller = caller
        self._clock = clock
        self._timings = timings
        self._differs_since: dict[str, float] = {}
        self._synced_at = float("-inf")
        self.syncs = 0

    def is_due(self, host: str, place: str, reply: ProbeReply) -> bool:
        """Return whether the neighbour that sent ``reply`` has differed for ``sync_delay``.

        Items in flight make any two hosts differ for a short time. Only a difference that
        lasts requires a comparison.
        """
        now = self._clock.now()
        differs = self._table.fleet_digest != reply.fleet_digest
        if place == self._place:
            differs = differs or self._table.place_digest != reply.place_digest
        if not differs:
            self._differs_since.pop(host, None)
            return False
        since = self._differs_since.setdefault(host, now)
        wait = self._timings.sync_delay
        return now - since >= wait and now - self._synced_at >= wait

    async def sync_with(self, links: str) -> bool:
        """Synchronize with the host at ``links``, and return whether it answered."""
        self._synced_at = self._clock.now()
        request = SyncRequest(*self._table.digests())
        result = await self._caller.call(links, SYNC, request, _SYNC_TIMEOUT_S)
        if not isinstance(result, Ok):
            return False
        self.syncs += 1
        reply = result.ok_value
        self._differs_since.pop(reply.host, None)
        self._gossip.merge(reply.items, reply.host)
        newer = self._newer_than(reply)
        if newer:
            await self._gossip.push_to(GossipPeer(reply.host, reply.place, links), newer)
        return True

    async def answer(self, request: SyncRequest, peer: Peer) -> Result[SyncReply, Refusal]:
        """Answer a ``SYNC`` call with the buckets that differ and this host's items in them."""
        is_near = peer.place == self._place
        buckets = self._table.differing_buckets(
            request.fleet_digests, request.place_digests, is_near
        )
        items = self._table.items_in_buckets(buckets, peer.place)
        return Ok(SyncReply(self._host, self._place, tuple(buckets), tuple(items)))

    def _newer_than(self, reply: SyncReply) -> list[Item]:
        version_by_key = {(item.topic, item.key): item.version for item in reply.items}
        return [
            item
            for item in self._table.items_in_buckets(reply.buckets, reply.place)
            if item.version > version_by_key.get((item.topic, item.key), ())
        ]
