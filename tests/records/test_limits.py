"""Limits of records under floods and failures."""

from typing import Any

import pytest
from result import Result

from cranberrywall.errors import Refusal
from cranberrywall.links import Limits, Peer
from cranberrywall.records import _client as client_module
from cranberrywall.records import _journal as journal_module
from cranberrywall.records._journal import FILE, RecordJournal
from cranberrywall.records.messages import (
    WRITE_RECORDS,
    StoredRecord,
    WriteReply,
    WriteRequest,
)
from tests.fakes.storage import FakeStorage
from tests.records.test_records import Controls, record


async def test_a_file_of_many_live_records_is_not_rewritten_by_each_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a disk that is busy with one rewrite after the other."""
    monkeypatch.setattr(journal_module, "MAX_FILE_BYTES", 1000)
    controls = Controls(1)
    for number in range(40):
        controls.client.write(record(f"key-{number}", payload=bytes(100)))
        await controls.clock.advance(0.1)
    log = controls.storage_by_host["control-0"].log
    rewrites = [line for line in log if line.startswith("rename")]
    assert len(rewrites) < 10


def test_a_file_to_which_nothing_can_be_added_is_closed() -> None:
    """Guards against a full disk that uses up the file descriptors."""
    storage = FakeStorage()
    journal = RecordJournal(storage)
    journal.rewrite([])
    closed: list[bool] = []
    file: Any = journal._file
    file.close = lambda: closed.append(True)
    storage.error_by_operation = {storage.operations + 1: 28}
    with pytest.raises(OSError):
        journal.append([StoredRecord(record("a"), 0.0, 60.0)])
    assert closed


def test_records_before_the_damage_of_a_file_are_read() -> None:
    """Guards against all verdicts that one damaged block erased."""
    storage = FakeStorage()
    journal = RecordJournal(storage)
    journal.rewrite([StoredRecord(record("a"), 0.0, 60.0)])
    before = len(storage.read(FILE) or b"")
    journal.append([StoredRecord(record("b"), 0.0, 60.0)])
    journal.append([StoredRecord(record("c"), 0.0, 60.0)])
    data = bytearray(storage.read(FILE) or b"")
    data[before + 30] ^= 0xFF
    storage.replace(FILE, bytes(data))
    assert [one.record.key for one in RecordJournal(storage).read()] == ["a"]


async def test_records_that_failed_to_reach_the_disk_do_so_once_it_works() -> None:
    """Guards against verdicts that were in memory only after a disk had failed for a moment."""
    controls = Controls(1)
    storage = controls.storage_by_host["control-0"]
    await controls.clock.advance(0.1)
    storage.error_by_operation = dict.fromkeys(range(storage.operations, 10), 28)
    controls.client.write(record("a"))
    await controls.clock.advance(1.0)
    storage.error_by_operation = {}
    await controls.clock.advance(40.0)
    controls.kill("control-0")
    storage.restart()
    controls.restart("control-0")
    await controls.clock.advance(1.0)
    assert set(await controls.fetch()) == {"a"}


async def test_durable_records_wait_longer_than_others_when_too_many_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against verdicts that origins of streams displaced while control was out of reach."""
    monkeypatch.setattr(client_module, "MAX_PENDING", 10)
    controls = Controls(1)
    controls.board.down = set(controls.names)
    controls.client.write(record("verdict"))
    for number in range(20):
        controls.client.write(record(f"origin-{number}", is_durable=False))
    controls.board.down = set()
    await controls.clock.advance(1.0)
    found = await controls.fetch()
    assert "verdict" in found
    assert len(found) == 10


async def test_large_records_are_written_in_several_calls() -> None:
    """Guards against a call beyond the size of a frame, behind which all other records wait."""
    controls = Controls(1)
    store = controls.board.server_by_address["control-0"]
    write = store.handler_by_name[WRITE_RECORDS.name]
    sizes: list[int] = []

    async def write_and_measure(request: WriteRequest, peer: Peer) -> Result[WriteReply, Refusal]:
        sizes.append(sum(len(one.payload) for one in request.records))
        result: Result[WriteReply, Refusal] = await write(request, peer)
        return result

    store.handler_by_name[WRITE_RECORDS.name] = write_and_measure
    for number in range(60):
        controls.client.write(record(f"report-{number}", payload=bytes(60_000)))
    await controls.clock.advance(1.0)
    assert max(sizes) <= Limits().frame_bytes // 16
    assert len(await controls.fetch()) == 60
