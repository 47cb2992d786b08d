"""Hold back, on every host, the request that ends targets, and no other."""

from cranberrywall.errors import ErrorKind, answer_for
from cranberrywall.quarantine import RunEnd
from cranberrywall.quarantine._decisions import HELD_S
from cranberrywall.quarantine._evidence import KEPT_S, MOST_ENDINGS
from tests.quarantine.fleet import SOON_S, Fleet, in_fleet, named
from tests.quarantine.scene import announcement


def test_a_request_that_came_to_each_host_once_is_refused_on_all() -> None:
    """Each host sees one target end under the request, and none could tell by itself.

    Four hosts, four targets; a fifth host, which never had it, refuses it too.
    """

    async def story(fleet: Fleet) -> None:
        for host in fleet.hosts[:4]:
            assert not fleet.hosts[4].refuses("bad")
            await fleet.end_under(host, "bad", f"beside-{host.name}")
        assert all(host.refuses("bad") for host in fleet.hosts)
        assert not any(host.refuses("beside-entry-0") for host in fleet.hosts)

    in_fleet(story, hosts=5)


def test_the_refusal_is_true_and_says_what_to_do() -> None:
    """The caller is refused at once, is told that nothing ran, and when to come back."""

    async def story(fleet: Fleet) -> None:
        [host] = fleet.hosts
        for _ in range(4):
            await fleet.end_under(host, "bad")
        refusal = host.quarantine.check(named("bad"), fleet.clock.now())
        assert refusal is not None
        assert refusal.kind is ErrorKind.QUARANTINED
        assert "4 targets ended" in refusal.message
        assert "operator" in refusal.remedy
        answer = answer_for(refusal)
        assert (answer.status, str(answer.ran)) == (503, "no")
        assert answer.retry_after is not None
        assert HELD_S - 10 < answer.retry_after <= HELD_S

    in_fleet(story, hosts=1)


def test_requests_that_were_always_taken_down_together_stay_in_doubt() -> None:
    """A guilty and an innocent request end up at the same four targets.

    Nobody can tell which it was. One more target, with the guilty one alone, tells.
    """

    async def story(fleet: Fleet) -> None:
        first, second, _ = fleet.hosts
        for _ in range(4):
            target = fleet.next_target()
            runs = [(first, first.send("bad", target)), (second, second.send("good", target))]
            await fleet.clock.sleep(0.05)
            await fleet.end(*runs)
        assert not first.refuses("bad")
        assert not first.refuses("good")
        for _ in range(2):
            await fleet.end_under(first, "bad")
        assert first.refuses("bad")
        assert not first.refuses("good")

    in_fleet(story)


def test_twenty_requests_beside_the_guilty_one_at_each_target_are_served() -> None:
    """Three targets end with twenty requests under way at each; some were at two of them."""

    async def story(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        for number in range(5):
            beside = [f"{number}-{n}" for n in range(14)] + [
                f"{number // 2}-again-{n}" for n in range(6)
            ]
            await fleet.end_under(host, "bad", *beside)
        assert host.refuses("bad")
        assert not any(host.refuses(f"{n}-{m}") for n in range(5) for m in range(14))
        assert not any(host.refuses(f"{n}-again-{m}") for n in range(3) for m in range(6))

    in_fleet(story)


def test_a_rack_that_loses_power_speaks_against_nobody() -> None:
    """Six targets end at once under twenty requests each. All come again, and are served."""

    async def story(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        runs = [(n, host.send(f"r-{n}-{m}", n)) for n in range(1, 7) for m in range(20)]
        await fleet.clock.sleep(0.05)
        fleet.network.refuses |= {f"10.0.0.1:{n}" for n in range(1, 7)}
        for _, run in runs:
            host.finish(run, RunEnd.BROKEN)
        await fleet.clock.sleep(SOON_S)
        assert host.quarantine.state()["endings"] == 6
        assert host.quarantine.state()["doubted"] == []
        assert host.quarantine.state()["held"] == {}

    in_fleet(story)


def test_a_request_that_ran_for_long_at_each_target_that_ended_is_not_the_cause() -> None:
    """A long letter was at three targets as they ended, each time seconds into its answer.

    Something else takes the targets down as it begins; the letter is not refused for it.
    """

    async def story(fleet: Fleet) -> None:
        for _ in range(6):
            await fleet.end_under(fleet.hosts[0], "long letter", age_s=4.0)
        assert not fleet.hosts[0].refuses("long letter")

    in_fleet(story)


def test_a_whole_answer_clears_a_request_on_all_hosts() -> None:
    """Three targets end under a request; at the fourth it is answered whole.

    It was never the cause. Three more ends by bad luck are counted from the start.
    """

    async def story(fleet: Fleet) -> None:
        first, second, _ = fleet.hosts
        for _ in range(3):
            await fleet.end_under(first, "unlucky")
        second.finish(second.send("unlucky", fleet.next_target()), RunEnd.WHOLE)
        await fleet.clock.sleep(SOON_S)
        for _ in range(3):
            await fleet.end_under(first, "unlucky")
        assert not any(host.refuses("unlucky") for host in fleet.hosts)

    in_fleet(story)


def test_a_request_in_doubt_runs_at_one_target_of_a_host_at_a_time() -> None:
    """Two targets ended under a request. While it is tried at a third, its next arrival waits."""

    async def story(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        for _ in range(2):
            await fleet.end_under(host, "bad")
        run = host.send("bad", fleet.next_target())
        assert host.refuses("bad")
        assert not host.refuses("other")
        host.finish(run, RunEnd.GIVEN_UP)
        assert not host.refuses("bad")

    in_fleet(story)


def test_what_hosts_have_of_a_held_request_at_targets_is_ended() -> None:
    """It waits its turn at a target of another host as the verdict comes: that target is spared."""

    async def story(fleet: Fleet) -> None:
        first, second, _ = fleet.hosts
        waiting = second.send("bad", 40, answered=False)
        for _ in range(4):
            await fleet.end_under(first, "bad")
        assert second.stopped == ["bad"]
        assert waiting.is_stopped

    in_fleet(story)


def test_a_host_that_starts_later_or_was_cut_off_learns_what_the_others_know() -> None:
    """One host is cut off as the others find the request out; another one starts after that."""

    async def story(fleet: Fleet) -> None:
        first, _, cut_off = fleet.hosts
        cut_off.gossip.is_cut = True
        for _ in range(4):
            await fleet.end_under(first, "bad")
        assert not cut_off.refuses("bad")
        cut_off.gossip.mend()
        assert cut_off.refuses("bad")
        assert fleet.add().refuses("bad")

    in_fleet(story)


def test_what_a_host_learned_while_cut_off_is_told_when_the_cut_heals() -> None:
    """Two ends were seen on either side of a cut. Together they are enough."""

    async def story(fleet: Fleet) -> None:
        first, _, cut_off = fleet.hosts
        cut_off.gossip.is_cut = True
        for _ in range(2):
            await fleet.end_under(first, "bad")
            await fleet.end_under(cut_off, "bad")
        assert not first.refuses("bad")
        cut_off.gossip.mend()
        await fleet.clock.sleep(SOON_S)
        assert all(host.refuses("bad") for host in fleet.hosts)

    in_fleet(story)


def test_a_host_whose_connections_were_silent_adds_what_it_had_there() -> None:
    """One host sees a target end. Another, which sees nothing, had the guilty request there."""

    async def story(fleet: Fleet) -> None:
        seeing, silent, _ = fleet.hosts
        for number in range(4):
            target = fleet.next_target()
            silent.send("bad", target)
            beside = seeing.send(f"beside-{number}", target)
            await fleet.clock.sleep(0.05)
            await fleet.end((seeing, beside))
        assert all(host.refuses("bad") for host in fleet.hosts)

    in_fleet(story)


def test_an_operator_lifts_a_verdict_and_adds_one() -> None:
    """The targets were mended: the request runs again, and four more ends hold it back again."""

    async def story(fleet: Fleet) -> None:
        first, second, _ = fleet.hosts
        for _ in range(4):
            await fleet.end_under(first, "bad")
        second.quarantine.lift(named("bad"), "asha")
        assert not any(host.refuses("bad") for host in fleet.hosts)
        await fleet.end_under(first, "bad")
        assert not first.refuses("bad")
        second.quarantine.hold(named("bad"), "asha")
        assert all(host.refuses("bad") for host in fleet.hosts)

    in_fleet(story)


def test_a_held_request_comes_free_by_itself() -> None:
    async def story(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
        await fleet.clock.sleep(HELD_S)
        for host in fleet.hosts:
            host.quarantine.expire(fleet.clock.now())
        assert not any(host.refuses("bad") for host in fleet.hosts)
        assert fleet.hosts[0].quarantine.state()["held"] == {}
        await fleet.end_under(fleet.hosts[0], "bad")
        assert not fleet.hosts[0].refuses("bad")

    in_fleet(story)


def test_hosts_tell_each_other_nothing_while_no_target_ends() -> None:
    """A thousand requests are answered, broken off by targets that live on, or given up."""

    async def story(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        for number in range(1000):
            end = (RunEnd.WHOLE, RunEnd.BROKEN, RunEnd.GIVEN_UP)[number % 3]
            host.finish(host.send(f"r-{number}", 1 + number % 40), end)
        await fleet.clock.sleep(5.0)
        assert host.gossip.published == 0

    in_fleet(story)


def test_a_target_that_ended_gets_nothing_more_from_any_host_until_it_is_heard_again() -> None:
    """One host sees a target end; the others would send their next requests there, and fail."""

    async def story(fleet: Fleet) -> None:
        await fleet.end_under(fleet.hosts[0], "r-1")
        assert all("t1" not in host.targets.by_id for host in fleet.hosts)
        for host in fleet.hosts:
            host.targets.apply(announcement("t1", 1, incarnation=2), fleet.clock.now())
        assert all("t1" in host.targets.by_id for host in fleet.hosts)

    in_fleet(story)


def test_what_is_kept_of_ends_is_bounded_and_ends_with_its_time() -> None:
    """Targets crash for hours. Each host keeps the newest ends, and takes its old reports back."""

    async def story(fleet: Fleet) -> None:
        first, second, _ = fleet.hosts
        for number in range(MOST_ENDINGS + 20):
            start = announcement(f"u{number}", 100)
            first.targets.apply(start, fleet.clock.now())
            fleet.network.refuses.add("10.0.0.1:100")
            tracker = first.quarantine.tracker
            run = tracker.begin(f"r-{number}", f"u{number}", named(f"r-{number}"), True)
            tracker.finish(run, RunEnd.BROKEN, start.url, fleet.clock.now())
            await fleet.clock.sleep(0.05)
        for host in fleet.hosts:
            assert host.quarantine.state()["endings"] == MOST_ENDINGS
        assert len(second.gossip.items("target-ended")) == MOST_ENDINGS
        await fleet.clock.sleep(KEPT_S + 1.0)
        for host in fleet.hosts:
            host.quarantine.expire(fleet.clock.now())
            assert host.quarantine.state()["endings"] == 0
        assert second.gossip.items("target-ended") == []
        assert second.gossip.published == 0

    in_fleet(story)
