"""Check histories against one copy of the state that nothing ever happens to.

A history is what clients saw: changes, each with a change id, and reads of the whole state.
The replicas' own order of commands is replayed on the single copy; what the clients saw must
be what the single copy would have answered at one moment between call and answer.
"""

import json
from collections.abc import Sequence
from typing import NamedTuple


class Change(NamedTuple):
    """One acknowledged change: its id, its answer, and when it was begun and answered."""

    change_id: str
    answer: bytes
    begun_at: float
    answered_at: float


class Read(NamedTuple):
    """One answered read: the ids it showed, and when it was begun and answered."""

    ids: tuple[str, ...]
    begun_at: float
    answered_at: float


class Verdict(NamedTuple):
    """Count what must not be."""

    lost: int
    reverted: int
    applied_twice: int


class SingleCopy:
    """Apply each change id once, and answer it with its place, also when it is sent again."""

    def __init__(self) -> None:
        self.commands: list[str] = []
        self.place_by_id: dict[str, int] = {}

    def apply(self, command: bytes) -> bytes:
        change_id = command.decode()
        self.commands.append(change_id)
        place = self.place_by_id.setdefault(change_id, len(self.place_by_id))
        return str(place).encode()

    def query(self, query: bytes) -> bytes:
        return json.dumps(list(self.place_by_id)).encode()

    def snapshot(self) -> bytes:
        return json.dumps(self.commands).encode()

    def restore(self, snapshot: bytes) -> None:
        self.commands = []
        self.place_by_id = {}
        for change_id in json.loads(snapshot):
            self.apply(change_id.encode())


def judge(
    changes: Sequence[Change], reads: Sequence[Read], replicas: Sequence[SingleCopy]
) -> Verdict:
    """Compare what clients saw, and the replicas, with a single copy."""
    longest = max(replicas, key=lambda replica: len(replica.commands))
    single = SingleCopy()
    for command in longest.commands:
        single.apply(command.encode())
    ids = tuple(single.place_by_id)
    lost = sum(change.change_id not in single.place_by_id for change in changes)
    wrong = sum(
        change.answer != str(single.place_by_id.get(change.change_id)).encode()
        for change in changes
        if change.change_id in single.place_by_id
    )
    # A replica that skipped or repeated a command holds another sequence, also where the
    # change ids hide it from the clients.
    diverged = sum(
        replica.commands != longest.commands[: len(replica.commands)] for replica in replicas
    )
    reverted = _count_reverted(changes, reads, ids, single)
    return Verdict(lost, reverted, wrong + diverged)


def _count_reverted(
    changes: Sequence[Change], reads: Sequence[Read], ids: tuple[str, ...], single: SingleCopy
) -> int:
    """Count reads that lack what was answered before them, or show what came after."""
    sizes_seen = [(read.answered_at, len(read.ids)) for read in reads]
    for change in changes:
        place = single.place_by_id.get(change.change_id, -1)
        sizes_seen.append((change.answered_at, place + 1))
    reverted = 0
    for read in reads:
        least = max((size for at, size in sizes_seen if at < read.begun_at), default=0)
        if read.ids != ids[: len(read.ids)] or len(read.ids) < least:
            reverted += 1
            continue
        begun_later = [change for change in changes if change.begun_at > read.answered_at]
        if any(single.place_by_id.get(c.change_id, 0) < len(read.ids) for c in begun_later):
            reverted += 1
    return reverted
