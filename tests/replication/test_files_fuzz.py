"""Check that no change to a group's files makes its recovery fail, or believe what was not."""

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from cranberrywall.errors import ErrorKind
from cranberrywall.replication._files import GroupFiles
from tests.replication.test_files import contents, entries, written

WORDS = (b"word-1", b"word-2", b"word-3")
NAMES = sorted(f"groups/g/{name}" for name in written().names("groups/g"))


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    name=st.sampled_from(NAMES),
    position=st.integers(0, 200),
    removed=st.integers(0, 200),
    put=st.one_of(st.binary(max_size=40), st.just(b"cwl1" + bytes(12)), st.just(bytes(64))),
)
def test_any_splice_is_refused_or_leaves_a_beginning(
    name: str, position: int, removed: int, put: bytes
) -> None:
    """Bytes of one file are lost, added or replaced, as by a bad disk or a wrong copy.

    The member then refuses with the file's name, or goes on with a beginning of what was
    written, whose vote is the one that was given; it never makes entries up and never raises.
    What it appends after that is found by the next recovery.
    """
    storage = written()
    whole = storage.read(name) or b""
    storage.replace(name, whole[:position] + put + whole[position + removed :])
    opened = GroupFiles(storage, "g").open("other")
    if isinstance(opened, Err):
        assert opened.err_value.kind is ErrorKind.CORRUPT
        assert opened.err_value.remedy
        return
    found = contents(opened.ok_value)
    assert found.term == 1
    assert found.words == WORDS[: len(found.words)]
    files = GroupFiles(storage, "g")
    index = files.open("other").unwrap().log.last_index + 1
    files.append(index, entries(9, "later"))
    again = contents(GroupFiles(storage, "g").open("other").unwrap())
    assert again.words == (*found.words, b"later")
