"""Test that several hosts that receive rates in any order end with the same rates."""

from cranberrywall.rates import NO_RATE, RateNotice, RateTable
from cranberrywall.rates._rate_table import SETTLE_DELAY_S
from cranberrywall.targets import Announcement, TargetIncarnation, Targets, make_targets
from tests.fakes.clock import ManualClock
from tests.fakes.spread import MemorySpread

INCARNATION = TargetIncarnation("engine-1", 7)


def announcement(incarnation: int = 7, counter: int = 1) -> Announcement:
    return Announcement(
        "engine-1", incarnation, counter, "engine", "m", "p", "http://10.0.0.1:80", 8
    )


class Host:
    def __init__(self, name: str, clock: ManualClock) -> None:
        self.clock = clock
        self.targets: Targets = make_targets()
        self.targets.apply(announcement(), clock.now())
        self.gossip = MemorySpread()
        self.rates = RateTable(name, self.targets, self.gossip, clock)

    def sent_number(self) -> int:
        """Return the record number that a request sent now carries."""
        return self.rates.record_of(INCARNATION).number

    def receive_answer(self, notice: RateNotice, sent_number: int, is_served: bool = True) -> None:
        self.rates.apply_notice(INCARNATION, notice, sent_number, is_served, "id", self.clock.now())

    @property
    def rate(self) -> float | None:
        return self.rates.rate_by_incarnation.get(INCARNATION)


def fleet(size: int = 3) -> tuple[ManualClock, list[Host]]:
    clock = ManualClock()
    hosts = [Host(f"entry-{number}", clock) for number in range(size)]
    for host in hosts:
        host.gossip.join([other.gossip for other in hosts])
    return clock, hosts


def test_all_hosts_have_the_rate_that_one_received_and_its_end():
    clock, hosts = fleet()
    hosts[0].receive_answer(RateNotice(2.5), hosts[0].sent_number())
    assert [host.rate for host in hosts] == [2.5, 2.5, 2.5]
    clock.step(1.0)
    hosts[2].receive_answer(NO_RATE, hosts[2].sent_number())
    assert [host.rate for host in hosts] == [None, None, None]
    clock.step(0.2)
    hosts[1].receive_answer(RateNotice(1.0), hosts[1].sent_number())
    assert [host.rate for host in hosts] == [1.0, 1.0, 1.0]


def test_a_slow_answer_does_not_restore_a_higher_rate():
    """A delayed answer from before an engine was throttled must not remove its rate limit.

    The request was sent before its host received the rate, so its answer may be older than the
    rate.
    """
    clock, hosts = fleet()
    sent_before = hosts[1].sent_number()
    hosts[0].receive_answer(RateNotice(1.0), hosts[0].sent_number())
    clock.step(3.0)
    hosts[1].receive_answer(NO_RATE, sent_before)
    hosts[1].receive_answer(RateNotice(5.0), sent_before)
    assert [host.rate for host in hosts] == [1.0, 1.0, 1.0]


def test_an_answer_that_may_be_older_is_applied_if_its_rate_is_lower():
    clock, hosts = fleet()
    sent_before = hosts[1].sent_number()
    hosts[0].receive_answer(RateNotice(5.0), hosts[0].sent_number())
    hosts[1].receive_answer(RateNotice(1.0), sent_before)
    assert [host.rate for host in hosts] == [1.0, 1.0, 1.0]
    clock.step(0.2)
    hosts[1].receive_answer(RateNotice(5.0), hosts[1].sent_number())
    assert [host.rate for host in hosts] == [5.0, 5.0, 5.0]


def test_of_two_changes_at_the_same_time_the_stricter_one_applies():
    _, hosts = fleet()
    for host in hosts:
        host.gossip.is_cut = True
    hosts[0].receive_answer(RateNotice(8.0), 0)
    hosts[1].receive_answer(RateNotice(3.0), 0)
    hosts[2].receive_answer(RateNotice(5.0), 0)
    for host in hosts:
        host.gossip.heal()
    assert [host.rate for host in hosts] == [3.0, 3.0, 3.0]


def test_an_answer_that_did_not_run_states_a_rate_and_ends_none():
    clock, (host, *_) = fleet(1)
    host.receive_answer(RateNotice(1.0), host.sent_number(), is_served=False)
    assert host.rate == 1.0
    clock.step(1.0)
    host.receive_answer(NO_RATE, host.sent_number(), is_served=False)
    assert host.rate == 1.0


def test_unreadable_values_change_nothing():
    clock, (host, *_) = fleet(1)
    host.receive_answer(RateNotice(1.0), host.sent_number())
    clock.step(1.0)
    for _ in range(100):
        host.receive_answer(RateNotice(None, "1,5"), host.sent_number())
    assert host.rate == 1.0
    assert host.rates.unreadable == 100


def test_a_rate_that_differs_with_each_answer_is_not_gossiped_with_each():
    """An engine states another number in each of its 200 answers a second, up and down."""
    clock, (host, *_) = fleet(1)
    for number in range(400):
        host.receive_answer(RateNotice(100.0 + 10.0 * (number % 7)), host.sent_number())
        clock.step(0.005)
    # At most one increase, and one decrease after it, in each span in which a rate settles.
    assert host.gossip.published <= 2 * 2.0 / SETTLE_DELAY_S
    before = host.gossip.published
    for number in range(400):
        host.receive_answer(RateNotice(50.0 + 0.1 * (number % 7)), host.sent_number())
        clock.step(0.005)
    assert host.gossip.published == before + 1


def test_a_new_incarnation_has_no_rate_and_the_old_rate_is_removed():
    clock, hosts = fleet()
    hosts[0].receive_answer(RateNotice(1.0), hosts[0].sent_number())
    for host in hosts:
        host.targets.apply(announcement(8), clock.now())
        host.rates.expire(clock.now())
    assert [host.rates.rate_by_incarnation for host in hosts] == [{}, {}, {}]


def test_a_target_that_is_unresponsive_for_a_while_keeps_its_rate():
    """An engine is unreachable for half a minute, and is still throttled when it returns."""
    clock, (host, *_) = fleet(1)
    host.receive_answer(RateNotice(1.0), host.sent_number())
    host.targets.discard("engine-1", clock.now())
    for _ in range(30):
        clock.step(1.0)
        host.rates.expire(clock.now())
    host.targets.apply(announcement(counter=2), clock.now())
    host.rates.expire(clock.now())
    assert host.rate == 1.0


def test_a_rate_that_was_removed_can_be_announced_again():
    """A target was away for an hour; its new rate must not look older than the removed one."""
    clock, hosts = fleet()
    hosts[0].receive_answer(RateNotice(1.0), hosts[0].sent_number())
    for host in hosts:
        host.targets.discard("engine-1", clock.now())
        host.rates.expire(clock.now())
    clock.step(61.0)
    for host in hosts:
        host.rates.expire(clock.now())
    assert [host.rate for host in hosts] == [None, None, None]
    hosts[1].receive_answer(RateNotice(2.0), hosts[1].sent_number())
    assert [host.rate for host in hosts] == [2.0, 2.0, 2.0]


def test_a_host_that_starts_receives_rates_also_without_the_host_that_received_them_first():
    clock, hosts = fleet()
    hosts[0].receive_answer(RateNotice(1.0), hosts[0].sent_number())
    late = Host("entry-9", clock)
    late.gossip.join([hosts[1].gossip, hosts[2].gossip])
    assert late.rate == 1.0
