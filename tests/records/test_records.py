"""Records that entry hosts write to control hosts."""

import asyncio
from collections.abc import Sequence

import pytest

from cranberrywall.records import Record, RecordClient, RecordStore
from cranberrywall.records import _table as table_module
from cranberrywall.records._client import COPIES, WRITE_INTERVAL_S
from cranberrywall.records._table import RecordTable
from cranberrywall.records.messages import WRITE_RECORDS
from tests.fakes.clock import ManualClock
from tests.fakes.links import Switchboard
from tests.fakes.storage import FakeStorage

LIMIT_S = 0.3


def record(key: str, number: int = 1, payload: bytes = b"fact", is_durable: bool = True) -> Record:
    return Record("topic", key, (number,), payload, 60.0, is_durable=is_durable)


class Controls:
    """Control hosts that reach each other unless they are down, and one entry host."""

    def __init__(self, count: int) -> None:
        self.names = [f"control-{number}" for number in range(count)]
        self.board = Switchboard()
        self.clock = ManualClock()
        self.storage_by_host = {name: FakeStorage() for name in self.names}
        self.task_by_host: dict[str, asyncio.Task[None]] = {}
        for name in self.names:
            self.start(name)
        self.client = self.entry_host("entry-1")

    def start(self, name: str) -> None:
        others = [other for other in self.names if other != name]
        store = RecordStore(
            lambda: others, self.board.caller(name), self.clock, self.storage_by_host[name]
        )
        store.register(self.board.server(name))
        self.task_by_host[name] = asyncio.get_running_loop().create_task(store.run())

    def entry_host(self, name: str) -> RecordClient:
        return RecordClient(lambda: self.names, self.board.caller(name), self.clock)

    def kill(self, name: str) -> None:
        self.task_by_host.pop(name).cancel()
        self.board.down.add(name)

    def restart(self, name: str) -> None:
        self.board.down.discard(name)
        self.start(name)

    async def fetch(self) -> dict[str, Record]:
        found: dict[str, Record] = {}

        def receive(records: Sequence[Record]) -> None:
            found.update({one.key: one for one in records})

        await self.entry_host("entry-2").make_fetch(["topic"]).run(receive, LIMIT_S)
        return found


async def test_records_are_there_for_a_host_that_starts_after_all_others_were_killed() -> None:
    controls = Controls(3)
    controls.client.write(record("a"))
    await controls.clock.advance(0.1)
    await controls.clock.advance(20.0)
    found = (await controls.fetch())["a"]
    assert (found.payload, round(found.age_s), round(found.lifetime_s)) == (b"fact", 20, 40)


async def test_a_record_is_found_with_any_two_of_five_control_hosts_lost() -> None:
    controls = Controls(5)
    controls.client.write(record("a", is_durable=False))
    await controls.clock.advance(0.1)
    for first in range(5):
        for second in range(first):
            controls.board.down = {controls.names[first], controls.names[second]}
            found = await controls.entry_host("entry-2").read("topic", "a", LIMIT_S)
            assert found.unwrap() is not None
    assert COPIES == 3


async def test_a_record_is_written_without_a_delay() -> None:
    """Hosts that lost power just after an event did not write the origin of its stream."""
    controls = Controls(3)
    controls.client.write(record("a", is_durable=False))
    await asyncio.sleep(0.01)
    found = await controls.entry_host("entry-2").read("topic", "a", LIMIT_S)
    assert found.unwrap() is not None


@pytest.mark.parametrize(("count", "down"), [(3, {"control-1"}), (2, set[str]())])
async def test_a_record_that_a_control_host_may_have_is_not_called_unknown(
    count: int, down: set[str]
) -> None:
    """Guards against a record taken for lost while a host that may store it is out of reach."""
    controls = Controls(count)
    controls.board.down = down
    assert (await controls.client.read("topic", "a", LIMIT_S)).is_err()


async def test_a_record_that_no_control_host_has_is_unknown() -> None:
    assert (await Controls(3).client.read("topic", "a", LIMIT_S)).unwrap() is None


@pytest.mark.parametrize("is_down", [False, True])
async def test_records_that_follow_each_other_are_written_together(is_down: bool) -> None:
    """Guards against a call for each record, also to a control host that is out of reach."""
    controls = Controls(1)
    if is_down:
        controls.board.down = {"control-0"}
    for number in range(20):
        controls.client.write(record(f"{number}", is_durable=False))
        await controls.clock.advance(WRITE_INTERVAL_S / 40)
    await controls.clock.advance(WRITE_INTERVAL_S)
    assert controls.board.called.count(WRITE_RECORDS.name) == 2


async def test_the_newest_version_wins_in_whichever_order_records_arrive() -> None:
    controls = Controls(3)
    controls.client.write(record("a", 2, b"newer"))
    await controls.clock.advance(0.1)
    controls.entry_host("entry-3").write(record("a", 1, b"older"))
    await controls.clock.advance(0.1)
    assert (await controls.fetch())["a"].payload == b"newer"


async def test_durable_records_survive_the_end_of_all_control_hosts() -> None:
    """All machines lost power, and the fleet had forgotten which requests end targets."""
    controls = Controls(3)
    controls.client.write(record("a"))
    controls.client.write(record("b", is_durable=False))
    await controls.clock.advance(1.0)
    for name in controls.names:
        controls.kill(name)
    for name in controls.names:
        controls.storage_by_host[name].restart()
        controls.restart(name)
    await controls.clock.advance(1.0)
    found = await controls.fetch()
    assert set(found) == {"a"}
    assert 57.0 < found["a"].lifetime_s < 59.0


async def test_a_control_host_that_starts_empty_copies_the_others() -> None:
    controls = Controls(3)
    controls.client.write(record("a"))
    await controls.clock.advance(1.0)
    controls.kill("control-0")
    controls.storage_by_host["control-0"] = FakeStorage()
    controls.restart("control-0")
    await controls.clock.advance(1.0)
    controls.board.down = {"control-1", "control-2"}
    assert set(await controls.fetch()) == {"a"}


async def test_durable_records_are_written_once_control_hosts_are_back() -> None:
    """What was found while control hosts were lost was lost with the entry hosts."""
    controls = Controls(3)
    controls.board.down = set(controls.names)
    controls.client.write(record("a"))
    await controls.clock.advance(10.0)
    controls.board.down = set()
    await controls.clock.advance(6.0)
    found = (await controls.fetch())["a"]
    assert 10.0 < found.age_s < 17.0


async def test_a_disk_that_fails_leaves_the_records_in_memory() -> None:
    controls = Controls(1)
    storage = controls.storage_by_host["control-0"]
    storage.error_by_operation = dict.fromkeys(range(storage.operations, 10), 28)
    controls.client.write(record("a"))
    await controls.clock.advance(1.0)
    assert set(await controls.fetch()) == {"a"}
    controls.client.write(record("b"))
    storage.error_by_operation = {}
    await controls.clock.advance(1.0)
    controls.kill("control-0")
    storage.restart()
    controls.restart("control-0")
    await controls.clock.advance(1.0)
    assert set(await controls.fetch()) == {"a", "b"}


async def test_a_list_of_many_records_arrives_in_pages() -> None:
    controls = Controls(1)
    for number in range(100):
        controls.client.write(record(f"key-{number}", payload=bytes(20_000)))
    await controls.clock.advance(1.0)
    assert len(await controls.fetch()) == 100


@pytest.mark.parametrize(
    ("limit", "is_durable"), [("MAX_TOPIC_RECORDS", False), ("MAX_DURABLE_RECORDS", True)]
)
def test_records_expire_and_the_oldest_are_evicted(
    limit: str, is_durable: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(table_module, limit, 3)
    table = RecordTable()
    for number in range(5):
        table.put(record(f"key-{number}", is_durable=is_durable), now=float(number))
    assert [entry.record.key for entry in table.entries(now=5.0)] == ["key-2", "key-3", "key-4"]
    assert table.get("topic", "key-3", now=62.9) is not None
    assert table.get("topic", "key-3", now=63.0) is None


def test_the_size_of_a_topic_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(table_module, "MAX_TOPIC_BYTES", 1000)
    table = RecordTable()
    for number in range(20):
        table.put(record(f"key-{number}", payload=bytes(94)), now=0.0)
    assert len(table) == 10


def test_the_number_of_topics_is_limited() -> None:
    table = RecordTable()
    for number in range(table_module.MAX_TOPICS + 5):
        table.put(record("a")._replace(topic=f"topic-{number}"), now=0.0)
    assert len(table) == table_module.MAX_TOPICS


async def test_records_go_to_other_control_hosts_in_place_of_those_that_are_gone() -> None:
    """Guards against origins that are found nowhere as their control hosts were exchanged."""
    controls = Controls(6)
    controls.board.down = set(controls.names[:3])
    for number in range(50):
        controls.client.write(record(f"key-{number}", is_durable=False))
    await controls.clock.advance(0.2)
    reader = controls.entry_host("entry-2")
    found = [await reader.read("topic", f"key-{number}", LIMIT_S) for number in range(50)]
    assert all(one.is_ok() and one.unwrap() is not None for one in found)
