"""Hear what targets name on several hosts, in any order, and hold the same on all."""

from cranberrywall.rates import NO_RATE, RateNotice, RateTable
from cranberrywall.rates._known import SETTLE_S
from cranberrywall.targets import Announcement, TargetIncarnation, Targets, make_targets
from tests.fakes.clock import ManualClock
from tests.fakes.spread import MemorySpread

START = TargetIncarnation("engine-1", 7)


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

    def sends(self) -> int:
        """Return what a request that is sent now notes."""
        return self.rates.known(START).number

    def hears(self, notice: RateNotice, sent: int, is_served: bool = True) -> None:
        self.rates.record_response(START, notice, sent, is_served, "id", self.clock.now())

    @property
    def rate(self) -> float | None:
        return self.rates.rate_by_incarnation.get(START)


def fleet(size: int = 3) -> tuple[ManualClock, list[Host]]:
    clock = ManualClock()
    hosts = [Host(f"entry-{number}", clock) for number in range(size)]
    for host in hosts:
        host.gossip.join([other.gossip for other in hosts])
    return clock, hosts


def test_all_hosts_know_what_one_heard_and_that_it_is_over():
    clock, hosts = fleet()
    hosts[0].hears(RateNotice(2.5), hosts[0].sends())
    assert [host.rate for host in hosts] == [2.5, 2.5, 2.5]
    clock.step(1.0)
    hosts[2].hears(NO_RATE, hosts[2].sends())
    assert [host.rate for host in hosts] == [None, None, None]
    clock.step(0.2)
    hosts[1].hears(RateNotice(1.0), hosts[1].sends())
    assert [host.rate for host in hosts] == [1.0, 1.0, 1.0]


def test_a_slow_answer_brings_no_higher_rate_back():
    """An engine is in need; an answer that it wrote before comes late, and hosts forget the need.

    The request was sent before its host heard of the rate, so its answer may be the older one.
    """
    clock, hosts = fleet()
    sent_before = hosts[1].sends()
    hosts[0].hears(RateNotice(1.0), hosts[0].sends())
    clock.step(3.0)
    hosts[1].hears(NO_RATE, sent_before)
    hosts[1].hears(RateNotice(5.0), sent_before)
    assert [host.rate for host in hosts] == [1.0, 1.0, 1.0]


def test_what_may_be_older_is_believed_where_it_asks_for_less():
    clock, hosts = fleet()
    sent_before = hosts[1].sends()
    hosts[0].hears(RateNotice(5.0), hosts[0].sends())
    hosts[1].hears(RateNotice(1.0), sent_before)
    assert [host.rate for host in hosts] == [1.0, 1.0, 1.0]
    clock.step(0.2)
    hosts[1].hears(RateNotice(5.0), hosts[1].sends())
    assert [host.rate for host in hosts] == [5.0, 5.0, 5.0]


def test_of_two_changes_at_the_same_time_the_stricter_one_holds():
    _, hosts = fleet()
    for host in hosts:
        host.gossip.is_cut = True
    hosts[0].hears(RateNotice(8.0), 0)
    hosts[1].hears(RateNotice(3.0), 0)
    hosts[2].hears(RateNotice(5.0), 0)
    for host in hosts:
        host.gossip.mend()
    assert [host.rate for host in hosts] == [3.0, 3.0, 3.0]


def test_an_answer_that_did_not_run_names_a_rate_and_ends_none():
    clock, (host, *_) = fleet(1)
    host.hears(RateNotice(1.0), host.sends(), is_served=False)
    assert host.rate == 1.0
    clock.step(1.0)
    host.hears(NO_RATE, host.sends(), is_served=False)
    assert host.rate == 1.0


def test_unreadable_values_change_nothing():
    clock, (host, *_) = fleet(1)
    host.hears(RateNotice(1.0), host.sends())
    clock.step(1.0)
    for _ in range(100):
        host.hears(RateNotice(None, "1,5"), host.sends())
    assert host.rate == 1.0
    assert host.rates.unreadable == 100


def test_a_number_that_differs_with_each_answer_is_not_told_with_each():
    """An engine names another number in each of its 200 answers a second, up and down."""
    clock, (host, *_) = fleet(1)
    for number in range(400):
        host.hears(RateNotice(100.0 + 10.0 * (number % 7)), host.sends())
        clock.step(0.005)
    # At most one raise, and one fall behind it, in each span in which a rate settles.
    assert host.gossip.published <= 2 * 2.0 / SETTLE_S
    before = host.gossip.published
    for number in range(400):
        host.hears(RateNotice(50.0 + 0.1 * (number % 7)), host.sends())
        clock.step(0.005)
    assert host.gossip.published == before + 1


def test_a_new_start_takes_no_rate_over_and_the_old_one_is_forgotten():
    clock, hosts = fleet()
    hosts[0].hears(RateNotice(1.0), hosts[0].sends())
    for host in hosts:
        host.targets.apply(announcement(8), clock.now())
        host.rates.expire(clock.now())
    assert [host.rates.rate_by_incarnation for host in hosts] == [{}, {}, {}]


def test_a_target_that_is_silent_for_a_while_keeps_its_rate():
    """An engine is out of sight for half a minute, and is still in need as it comes back."""
    clock, (host, *_) = fleet(1)
    host.hears(RateNotice(1.0), host.sends())
    host.targets.discard("engine-1", clock.now())
    for _ in range(30):
        clock.step(1.0)
        host.rates.expire(clock.now())
    host.targets.apply(announcement(counter=2), clock.now())
    host.rates.expire(clock.now())
    assert host.rate == 1.0


def test_a_rate_that_was_forgotten_can_be_named_again():
    """The target was away for an hour; news of it must not look older than what was forgotten."""
    clock, hosts = fleet()
    hosts[0].hears(RateNotice(1.0), hosts[0].sends())
    for host in hosts:
        host.targets.discard("engine-1", clock.now())
        host.rates.expire(clock.now())
    clock.step(61.0)
    for host in hosts:
        host.rates.expire(clock.now())
    assert [host.rate for host in hosts] == [None, None, None]
    hosts[1].hears(RateNotice(2.0), hosts[1].sends())
    assert [host.rate for host in hosts] == [2.0, 2.0, 2.0]


def test_a_host_that_starts_is_told_and_the_one_that_heard_may_be_gone():
    clock, hosts = fleet()
    hosts[0].hears(RateNotice(1.0), hosts[0].sends())
    late = Host("entry-9", clock)
    late.gossip.join([hosts[1].gossip, hosts[2].gossip])
    assert late.rate == 1.0
