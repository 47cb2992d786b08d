"""Check that every host holds the request that ends targets, and no other."""

from cranberrywall.errors import ErrorKind, answer_for
from cranberrywall.quarantine import RunEnd
from cranberrywall.quarantine._decisions import HOLD_DURATION_S
from cranberrywall.quarantine._evidence import ENDING_RETENTION_S, MAX_ENDINGS
from cranberrywall.quarantine._suspect_runs import MAX_RUN_S, SETTLING_S
from tests.quarantine.fleet import EVALUATION_S, Fleet, fingerprint_for, run_fleet
from tests.quarantine.scene import announcement


def test_a_request_that_came_to_each_host_once_is_refused_on_all() -> None:
    """Each host detects one end of a target that ran the request; one end alone is no evidence.

    There are four hosts and four targets. A fifth host, which never had the request, refuses it
    too.
    """

    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts[:4]:
            assert not fleet.hosts[4].refuses("bad")
            await fleet.end_under(host, "bad", f"beside-{host.name}")
        assert all(host.refuses("bad") for host in fleet.hosts)
        assert not any(host.refuses("beside-entry-0") for host in fleet.hosts)

    run_fleet(scenario, hosts=5)


def test_the_refusal_is_true_and_states_the_remedy() -> None:
    """The caller is refused immediately; the refusal states that nothing ran and when to retry."""

    async def scenario(fleet: Fleet) -> None:
        [host] = fleet.hosts
        for _ in range(4):
            await fleet.end_under(host, "bad")
        refusal = host.quarantine.check(fingerprint_for("bad"), fleet.clock.now())
        assert refusal is not None
        assert refusal.kind is ErrorKind.QUARANTINED
        assert "4 targets ended" in refusal.message
        assert "operator" in refusal.remedy
        answer = answer_for(refusal)
        assert (answer.status, str(answer.ran)) == (503, "no")
        assert answer.retry_after is not None
        assert HOLD_DURATION_S - 10 < answer.retry_after <= HOLD_DURATION_S

    run_fleet(scenario, hosts=1)


def test_requests_that_were_always_taken_down_together_stay_in_doubt() -> None:
    """A guilty and an innocent request both run at the same four targets that end.

    The hosts cannot determine which one is the cause. One more target, with the guilty request
    alone, shows it.
    """

    async def scenario(fleet: Fleet) -> None:
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

    run_fleet(scenario)


def test_twenty_requests_beside_the_guilty_one_at_each_target_are_served() -> None:
    """Five targets end with twenty requests running at each; some requests ran at two of them."""

    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        for number in range(5):
            beside = [f"{number}-{n}" for n in range(14)] + [
                f"{number // 2}-again-{n}" for n in range(6)
            ]
            await fleet.end_under(host, "bad", *beside)
        assert host.refuses("bad")
        assert not any(host.refuses(f"{n}-{m}") for n in range(5) for m in range(14))
        assert not any(host.refuses(f"{n}-again-{m}") for n in range(3) for m in range(6))

    run_fleet(scenario)


def test_a_rack_that_loses_power_is_no_evidence_against_requests() -> None:
    """Six targets end at the same time with twenty requests each. All are sent again and served."""

    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        runs = [(n, host.send(f"r-{n}-{m}", n)) for n in range(1, 7) for m in range(20)]
        await fleet.clock.sleep(0.05)
        fleet.network.refuses |= {f"10.0.0.1:{n}" for n in range(1, 7)}
        for _, run in runs:
            host.finish(run, RunEnd.BROKEN)
        await fleet.clock.sleep(EVALUATION_S)
        assert host.quarantine.state()["endings"] == 6
        assert host.quarantine.state()["doubted"] == []
        assert host.quarantine.state()["held"] == {}

    run_fleet(scenario)


def test_a_request_that_ran_for_long_at_each_target_that_ended_is_not_the_cause() -> None:
    """A long letter ran at six targets as they ended, each time seconds into its answer.

    Something else ends targets as they start to run it; the letter must not be refused for it.
    """

    async def scenario(fleet: Fleet) -> None:
        for _ in range(6):
            await fleet.end_under(fleet.hosts[0], "long letter", age_s=4.0)
        assert not fleet.hosts[0].refuses("long letter")

    run_fleet(scenario)


def test_a_complete_answer_clears_a_request_on_all_hosts() -> None:
    """Three targets end while they run a request; the fourth answers it completely.

    The request was never the cause. Three more ends by coincidence are counted from zero.
    """

    async def scenario(fleet: Fleet) -> None:
        first, second, _ = fleet.hosts
        for _ in range(3):
            await fleet.end_under(first, "unlucky")
        second.finish(second.send("unlucky", fleet.next_target()), RunEnd.WHOLE)
        await fleet.clock.sleep(EVALUATION_S)
        for _ in range(3):
            await fleet.end_under(first, "unlucky")
        assert not any(host.refuses("unlucky") for host in fleet.hosts)

    run_fleet(scenario)


def test_a_request_in_doubt_runs_at_one_target_of_a_host_at_a_time() -> None:
    """Two targets ended with a request. While a third one runs it, its next arrival is refused."""

    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        for _ in range(2):
            await fleet.end_under(host, "bad")
        run = host.send("bad", fleet.next_target())
        assert host.refuses("bad")
        assert not host.refuses("other")
        host.finish(run, RunEnd.GIVEN_UP)
        assert not host.refuses("bad")

    run_fleet(scenario)


def test_what_hosts_have_of_a_held_request_at_targets_is_ended() -> None:
    """A held request is still queued at a target of another host: that target is spared."""

    async def scenario(fleet: Fleet) -> None:
        first, second, _ = fleet.hosts
        waiting = second.send("bad", 40, answered=False)
        for _ in range(4):
            await fleet.end_under(first, "bad")
        assert second.stopped == ["bad"]
        assert waiting.is_stopped

    run_fleet(scenario)


def test_a_host_that_starts_later_or_was_partitioned_receives_the_decision() -> None:
    """One host is partitioned while the others hold a request; another one starts after that."""

    async def scenario(fleet: Fleet) -> None:
        first, _, partitioned = fleet.hosts
        partitioned.gossip.is_cut = True
        for _ in range(4):
            await fleet.end_under(first, "bad")
        assert not partitioned.refuses("bad")
        partitioned.gossip.heal()
        assert partitioned.refuses("bad")
        assert fleet.add().refuses("bad")

    run_fleet(scenario)


def test_reports_of_a_partitioned_host_are_sent_when_the_partition_ends() -> None:
    """Two ends are detected on either side of a partition. Together they are enough."""

    async def scenario(fleet: Fleet) -> None:
        first, _, partitioned = fleet.hosts
        partitioned.gossip.is_cut = True
        for _ in range(2):
            await fleet.end_under(first, "bad")
            await fleet.end_under(partitioned, "bad")
        assert not first.refuses("bad")
        partitioned.gossip.heal()
        await fleet.clock.sleep(EVALUATION_S)
        assert all(host.refuses("bad") for host in fleet.hosts)

    run_fleet(scenario)


def test_a_host_whose_connections_were_idle_reports_its_requests_there() -> None:
    """One host detects an end. Another one, which detects nothing, ran the guilty request there."""

    async def scenario(fleet: Fleet) -> None:
        detecting, idle, _ = fleet.hosts
        for number in range(4):
            target = fleet.next_target()
            idle.send("bad", target)
            beside = detecting.send(f"beside-{number}", target)
            await fleet.clock.sleep(0.05)
            await fleet.end((detecting, beside))
        assert all(host.refuses("bad") for host in fleet.hosts)

    run_fleet(scenario)


def test_an_operator_lifts_a_verdict_and_adds_one() -> None:
    """The targets were fixed: the request runs again until an operator holds it."""

    async def scenario(fleet: Fleet) -> None:
        first, second, _ = fleet.hosts
        for _ in range(4):
            await fleet.end_under(first, "bad")
        second.quarantine.lift(fingerprint_for("bad"), "asha")
        assert not any(host.refuses("bad") for host in fleet.hosts)
        await fleet.end_under(first, "bad")
        assert not first.refuses("bad")
        second.quarantine.hold(fingerprint_for("bad"), "asha")
        assert all(host.refuses("bad") for host in fleet.hosts)

    run_fleet(scenario)


def test_a_held_request_comes_free_by_itself() -> None:
    async def scenario(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
        await fleet.clock.sleep(HOLD_DURATION_S)
        for host in fleet.hosts:
            host.quarantine.expire(fleet.clock.now())
        assert not any(host.refuses("bad") for host in fleet.hosts)
        assert fleet.hosts[0].quarantine.state()["held"] == {}
        await fleet.end_under(fleet.hosts[0], "other")
        assert not any(host.refuses("bad") or host.refuses("other") for host in fleet.hosts)

    run_fleet(scenario)


def test_one_end_holds_a_request_again_whose_time_was_over() -> None:
    """Guards against four more ended targets after each time that a request was held."""

    async def scenario(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
        for host in fleet.hosts:
            await fleet.pass_time(HOLD_DURATION_S)
            assert not any(one.refuses("bad") for one in fleet.hosts)
            await fleet.end_under(host, "bad", "beside")
            assert all(one.refuses("bad") for one in fleet.hosts)
            assert not any(one.refuses("beside") for one in fleet.hosts)

    run_fleet(scenario)


def test_a_request_whose_time_was_over_runs_at_one_target_at_a_time() -> None:
    """Guards against a request that ends many targets at once when it is no longer held."""

    async def scenario(fleet: Fleet) -> None:
        [host] = fleet.hosts
        for _ in range(4):
            await fleet.end_under(host, "bad")
        await fleet.pass_time(HOLD_DURATION_S)
        run = host.send("bad", 39)
        assert host.refuses("bad")
        host.finish(run, RunEnd.NOT_SERVED)
        assert not host.refuses("bad")

    run_fleet(scenario, hosts=1)


def test_a_suspect_request_runs_at_one_target_of_the_fleet_at_a_time() -> None:
    """Guards against a request that had ended three targets, and ends one more at each host."""

    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts[:3]:
            await fleet.end_under(host, "bad")
        sent = []
        for host in fleet.hosts:
            await fleet.clock.sleep(0.05)
            if not host.refuses("bad"):
                sent.append((host, host.send("bad", fleet.next_target())))
        assert len(sent) == 1
        await fleet.end(*sent)
        assert all(host.refuses("bad") for host in fleet.hosts)

    run_fleet(scenario, hosts=8)


def test_a_suspect_request_is_not_sent_again_before_the_end_of_its_target_is_known() -> None:
    """Guards against one more ended target for each arrival while the hosts decide."""

    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts:
            await fleet.end_under(host, "bad")
        first, second, _ = fleet.hosts
        run = first.send("bad", 39)
        first.finish(run, RunEnd.BROKEN)
        assert first.refuses("bad")
        assert second.refuses("bad")
        await fleet.clock.sleep(SETTLING_S)
        assert not first.refuses("bad")
        assert not second.refuses("bad")

    run_fleet(scenario)


def test_a_suspect_request_is_sent_again_after_its_host_was_lost() -> None:
    """Guards against a request that nobody sends, as a lost host never ended its run."""

    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts:
            await fleet.end_under(host, "slow")
        first, second, _ = fleet.hosts
        first.send("slow", 39)
        assert second.refuses("slow")
        await fleet.pass_time(MAX_RUN_S)
        assert not second.refuses("slow")
        run = second.send("slow", 38)
        second.finish(run, RunEnd.WHOLE)
        assert not second.refuses("slow")

    run_fleet(scenario)


def test_a_whole_answer_clears_a_request_whose_time_was_over() -> None:
    """Guards against a request that one unrelated end holds after its targets were repaired."""

    async def scenario(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "repaired")
        await fleet.pass_time(HOLD_DURATION_S)
        fleet.hosts[1].finish(fleet.hosts[1].send("repaired", 40), RunEnd.WHOLE)
        await fleet.clock.sleep(EVALUATION_S)
        for host in fleet.hosts:
            await fleet.end_under(host, "repaired")
        assert not any(host.refuses("repaired") for host in fleet.hosts)

    run_fleet(scenario)


def test_hosts_send_each_other_nothing_while_no_target_ends() -> None:
    """A thousand requests are answered, truncated by targets that still work, or abandoned."""

    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        for number in range(1000):
            end = (RunEnd.WHOLE, RunEnd.BROKEN, RunEnd.GIVEN_UP)[number % 3]
            host.finish(host.send(f"r-{number}", 1 + number % 40), end)
        await fleet.clock.sleep(5.0)
        assert host.gossip.published == 0

    run_fleet(scenario)


def test_a_target_that_ended_gets_no_requests_from_any_host_until_it_announces_itself() -> None:
    """One host detects an end; the others would send their next requests there, and fail."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.end_under(fleet.hosts[0], "r-1")
        assert all("t1" not in host.targets.by_id for host in fleet.hosts)
        for host in fleet.hosts:
            host.targets.apply(announcement("t1", 1, incarnation=2), fleet.clock.now())
        assert all("t1" in host.targets.by_id for host in fleet.hosts)

    run_fleet(scenario)


def test_what_is_kept_of_ends_is_bounded_and_ends_with_its_time() -> None:
    """Targets crash for hours. Each host keeps the newest ends, and retracts its old reports."""

    async def scenario(fleet: Fleet) -> None:
        first, second, _ = fleet.hosts
        for number in range(MAX_ENDINGS + 20):
            announced = announcement(f"u{number}", 100)
            first.targets.apply(announced, fleet.clock.now())
            fleet.network.refuses.add("10.0.0.1:100")
            tracker = first.quarantine.tracker
            run = tracker.begin(f"r-{number}", f"u{number}", fingerprint_for(f"r-{number}"), True)
            tracker.finish(run, RunEnd.BROKEN, announced.url, fleet.clock.now())
            await fleet.clock.sleep(0.05)
        for host in fleet.hosts:
            assert host.quarantine.state()["endings"] == MAX_ENDINGS
        assert len(second.gossip.items("target-ended")) == MAX_ENDINGS
        await fleet.clock.sleep(ENDING_RETENTION_S + 1.0)
        for host in fleet.hosts:
            host.quarantine.expire(fleet.clock.now())
            assert host.quarantine.state()["endings"] == 0
        assert second.gossip.items("target-ended") == []
        assert second.gossip.published == 0

    run_fleet(scenario)
