"""Limits of records under floods and failures."""

import pytest

from cranberrywall.records import _journal as journal_module
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
