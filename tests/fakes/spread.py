"""Pass items on between the hosts that a test names, at once or when it says so."""

from collections.abc import Callable, Sequence

from cranberrywall.hosts import Item

Receiver = Callable[[Item], None]


class MemorySpread:
    """Hold one host's items; ``join`` ties hosts together, ``cut`` and ``heal`` its ties."""

    def __init__(self) -> None:
        self.item_by_key: dict[tuple[str, str], Item] = {}
        self.is_cut = False
        self.published = 0
        self._receiver_by_topic: dict[str, Receiver] = {}
        self._peers: list[MemorySpread] = []

    def join(self, peers: "Sequence[MemorySpread]") -> None:
        self._peers = [peer for peer in peers if peer is not self]
        for peer in self._peers:
            for item in list(peer.item_by_key.values()):
                self.take(item)

    def subscribe(self, topic: str, receive: Receiver) -> None:
        self._receiver_by_topic[topic] = receive

    def publish(self, item: Item) -> None:
        self.published += 1
        self.take(item)

    def apply(self, item: Item) -> None:
        peers, self._peers = self._peers, []
        self.take(item)
        self._peers = peers

    def items(self, topic: str) -> Sequence[Item]:
        return [one for one in self.item_by_key.values() if one.topic == topic and one.payload]

    def take(self, item: Item) -> None:
        key = (item.topic, item.key)
        held = self.item_by_key.get(key)
        if held is not None and item.version <= held.version:
            return
        self.item_by_key[key] = item
        receive = self._receiver_by_topic.get(item.topic)
        if receive is not None:
            receive(item)
        for peer in self._peers:
            if not (self.is_cut or peer.is_cut):
                peer.take(item)

    def heal(self) -> None:
        """End a cut: both sides tell each other what they have."""
        self.is_cut = False
        for peer in self._peers:
            for item in list(self.item_by_key.values()):
                peer.take(item)
            for item in list(peer.item_by_key.values()):
                self.take(item)
