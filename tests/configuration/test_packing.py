"""Pack revisions, and refuse what no host packed."""

import msgspec
import pytest

from cranberrywall.configuration._packing import PACKS_KEPT, Packs, pack, unpack
from cranberrywall.configuration.messages import DocumentAt, Pack
from cranberrywall.errors import ErrorKind
from measurements.confirmed_changes import with_routes
from tests.configuration.documents import make_document

WHOLE = Pack((), DocumentAt(7, make_document(), 3))


def test_a_pack_holds_what_was_put_in() -> None:
    assert unpack(pack(WHOLE), Pack).unwrap() == WHOLE


def test_many_routes_take_a_tenth_of_their_bytes() -> None:
    content = Pack((), DocumentAt(7, with_routes(1400), 3))
    assert len(pack(content)) < len(msgspec.msgpack.encode(content)) / 10


@pytest.mark.parametrize("cut", [0, 1, 20])
def test_a_pack_that_is_cut_short_is_refused(cut: int) -> None:
    refused = unpack(pack(WHOLE)[:cut], Pack).unwrap_err()
    assert refused.kind is ErrorKind.MALFORMED


def test_a_pack_that_would_fill_the_memory_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """A peer sends some kilobytes that unpack to far more than any document takes."""
    monkeypatch.setattr("cranberrywall.configuration._packing.MOST_BYTES", 100)
    assert unpack(pack(WHOLE), Pack).unwrap_err().kind is ErrorKind.MALFORMED


def test_hosts_that_ask_for_the_same_share_one_pack() -> None:
    made: list[int] = []

    def make() -> Pack:
        made.append(1)
        return WHOLE

    packs = Packs()
    for _ in range(5):
        packs.get(1, 7, make)
    assert len(made) == 1
    for number in range(PACKS_KEPT + 1):
        packs.get(number, 8, make)
    packs.get(1, 7, make)
    assert len(made) == 1 + PACKS_KEPT + 2
