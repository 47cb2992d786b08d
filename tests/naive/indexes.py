"""Know exactly which blocks each target has, from complete events."""

from collections.abc import Sequence


class ExactIndex:
    def __init__(self) -> None:
        self.blocks_by_target: dict[str, set[bytes]] = {}

    def add(self, target: str, block: bytes) -> None:
        self.blocks_by_target.setdefault(target, set()).add(block)

    def drop(self, target: str, block: bytes) -> None:
        self.blocks_by_target.get(target, set()).discard(block)

    def matches(self, prefix: Sequence[bytes]) -> dict[str, int]:
        """Return the position behind the last cached block, by target."""
        found = {}
        for target, blocks in self.blocks_by_target.items():
            held = [position + 1 for position, block in enumerate(prefix) if block in blocks]
            if held:
                found[target] = max(held)
        return found
