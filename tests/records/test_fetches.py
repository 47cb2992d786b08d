"""Records that hosts fetch as they start."""

import asyncio
from typing import Any

from result import Err, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Method
from cranberrywall.records import Record, RecordClient
from tests.fakes.clock import ManualClock
from tests.fakes.links import LocalCaller
from tests.fakes.storage import FakeStorage
from tests.records.test_records import LIMIT_S, Controls, record


class SlowCaller:
    """Calls that take a time, as over a long link to a busy host."""

    def __init__(self, caller: LocalCaller, clock: ManualClock, seconds: float) -> None:
        self._caller = caller
        self._clock = clock
        self._seconds = seconds

    async def call(
        self, address: str, method: Method[Any, Any], request: Any, timeout: float
    ) -> Result[Any, Refusal]:
        await self._clock.sleep(min(self._seconds, timeout))
        if self._seconds >= timeout:
            return Err(Refusal(ErrorKind.TIMEOUT, address))
        return await self._caller.call(address, method, request, timeout)


async def test_a_fetch_goes_on_until_control_hosts_with_records_answer() -> None:
    """Guards against a start that an empty control host ended before the others were up."""
    controls = Controls(3)
    controls.client.write(record("a"))
    await controls.clock.advance(1.0)
    for name in controls.names:
        controls.kill(name)
    controls.storage_by_host["control-0"] = FakeStorage()
    controls.restart("control-0")
    await controls.clock.advance(0.1)
    found: list[Record] = []
    fetch = controls.entry_host("entry-2").make_fetch(["topic"])
    await fetch.run(found.extend, LIMIT_S)
    assert not found and not fetch.is_complete
    controls.restart("control-1")
    await controls.clock.advance(0.1)
    await fetch.run(found.extend, LIMIT_S)
    assert [one.key for one in found] == ["a"]


async def test_a_fetch_of_many_pages_ends() -> None:
    """Guards against hosts that ask for the same first pages again and again."""
    controls = Controls(1)
    for number in range(100):
        controls.client.write(record(f"key-{number}", payload=bytes(20_000)))
    await controls.clock.advance(1.0)
    slow = SlowCaller(controls.board.caller("entry-2"), controls.clock, 0.1)
    client = RecordClient(lambda: controls.names, slow, controls.clock)
    found: set[str] = set()

    async def restore() -> None:
        fetch = client.make_fetch(["topic"])
        while not fetch.is_complete:
            await fetch.run(lambda records: found.update(one.key for one in records), LIMIT_S)
            await controls.clock.sleep(0.1)

    task = asyncio.get_running_loop().create_task(restore())
    await controls.clock.advance(60.0)
    task.cancel()
    assert len(found) == 100
