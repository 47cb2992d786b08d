"""Check the prefix cache's memory, order and spoilt events."""

from standins._load import LaggingLoad
from standins._prefixes import PrefixCache


def test_a_shared_beginning_is_found_and_the_oldest_block_goes() -> None:
    cache = PrefixCache(blocks=3, delay_s=0.0, loss=0.0, seed=1)
    assert cache.use("a" * 512, now=0.0) == 0
    assert cache.use("a" * 512 + "b" * 256, now=0.0) == 2
    cache.use("c" * 256, now=0.0)
    events = cache.take_events(now=0.0)
    assert [event["op"] for event in events] == ["add", "add", "add", "add", "drop"]
    assert events[4]["prefix"] == events[0]["prefix"]
    assert len(cache) == 3


def test_events_come_late_and_leave_gaps_in_their_numbers() -> None:
    cache = PrefixCache(blocks=1000, delay_s=2.0, loss=0.3, seed=1)
    for number in range(100):
        cache.use(f"{number:03d}" * 100, now=0.0)
    assert cache.take_events(now=1.9) == []
    numbers = [event["seq"] for event in cache.take_events(now=2.0)]
    assert numbers == sorted(numbers)
    assert 50 < len(numbers) < 90


def test_load_is_reported_as_it_was() -> None:
    load = LaggingLoad(lag_s=1.0)
    load.record(running=1, waiting=0, at=10.0)
    load.record(running=5, waiting=3, at=10.8)
    assert load.report(at=11.5) == {"running": 1, "waiting": 0, "at": 10.5}
    assert load.report(at=12.0)["running"] == 5
