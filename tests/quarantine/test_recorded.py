"""What hosts found out about requests, after all of them lost power at the same moment."""

import pytest

from cranberrywall.quarantine import RunEnd
from cranberrywall.quarantine._decisions import HOLD_DURATION_S
from cranberrywall.quarantine._evidence import ENDING_RETENTION_S
from cranberrywall.quarantine._trials import TRIAL_DELAYS_S
from tests.quarantine.fleet import EVALUATION_S, Fleet, fingerprint_for, run_fleet, traits_for


def test_a_held_request_stays_held_until_its_time_is_over() -> None:
    """Guards against four more ended targets after each loss of power."""

    async def scenario(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
        held_at = fleet.clock.now()
        await fleet.clock.sleep(100.0)
        await fleet.restart_all()
        assert all(host.refuses("bad") for host in fleet.hosts)
        await fleet.clock.sleep(held_at + HOLD_DURATION_S - fleet.clock.now() - 1.0)
        assert all(host.refuses("bad") for host in fleet.hosts)
        await fleet.clock.sleep(1.0)
        assert not any(host.refuses("bad") for host in fleet.hosts)

    run_fleet(scenario, controls=3)


def test_ends_before_a_loss_of_power_count_with_those_after_it() -> None:
    """Guards against evidence that each loss of power erased before it was enough."""

    async def scenario(fleet: Fleet) -> None:
        for _ in range(3):
            await fleet.end_under(fleet.hosts[0], "bad")
            await fleet.end_under_prompts(fleet.hosts[1], "intro worse")
            await fleet.restart_all()
        assert not fleet.hosts[2].refuses("bad")
        assert not fleet.hosts[2].refuses_prompt("worse")
        await fleet.end_under(fleet.hosts[2], "bad")
        await fleet.end_under_prompts(fleet.hosts[2], "worse terms")
        assert all(host.refuses("bad") for host in fleet.hosts)
        assert all(host.refuses_prompt("worse") for host in fleet.hosts)

    run_fleet(scenario, controls=3)


def test_a_loss_of_power_permits_no_trial_that_was_due_before() -> None:
    """Guards against one more ended target after each loss of power."""

    async def scenario(fleet: Fleet) -> None:
        for host in (*fleet.hosts, fleet.hosts[0]):
            await fleet.end_under_prompts(host, "bad")
        await fleet.clock.sleep(TRIAL_DELAYS_S[0] + 1.0)
        await fleet.restart_all()
        assert all(host.refuses("trial", traits_for("bad")) for host in fleet.hosts)
        await fleet.clock.sleep(TRIAL_DELAYS_S[1])
        tried = [host for host in fleet.hosts if not host.refuses("trial", traits_for("bad"))]
        assert len(tried) == 1

    run_fleet(scenario, controls=3)


def test_a_request_that_was_cleared_is_not_held_after_a_loss_of_power() -> None:
    """Guards against innocent requests that the records hold anew."""

    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        for _ in range(4):
            await fleet.end_under(host, "slow")
        assert host.refuses("slow")
        host.finish(host.send("slow", 40), RunEnd.WHOLE)
        await fleet.clock.sleep(EVALUATION_S)
        await fleet.restart_all()
        await fleet.clock.sleep(EVALUATION_S)
        assert not any(one.refuses("slow") for one in fleet.hosts)
        await fleet.end_under(fleet.hosts[1], "slow")
        assert not any(one.refuses("slow") for one in fleet.hosts)

    run_fleet(scenario, controls=3)


@pytest.mark.parametrize("duration_s", [HOLD_DURATION_S, 0.5 * ENDING_RETENTION_S])
def test_a_request_that_was_cleared_long_ago_is_not_held_after_a_loss_of_power(
    duration_s: float,
) -> None:
    """Guards against records of ends that outlive the record of the clearance."""

    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        for _ in range(4):
            await fleet.end_under(host, "slow")
        host.finish(host.send("slow", 40), RunEnd.WHOLE)
        await fleet.pass_time(duration_s + 1.0)
        await fleet.restart_all()
        await fleet.clock.sleep(EVALUATION_S)
        assert not any(one.refuses("slow") for one in fleet.hosts)

    run_fleet(scenario, controls=3)


@pytest.mark.parametrize("duration_s", [60.0, HOLD_DURATION_S, 0.5 * ENDING_RETENTION_S])
def test_a_part_that_was_cleared_long_ago_is_not_held_after_a_loss_of_power(
    duration_s: float,
) -> None:
    """Guards against records of ends that outlive the record of the clearance."""

    async def scenario(fleet: Fleet) -> None:
        for number in range(6):
            await fleet.end_under_prompts(fleet.hosts[0], f"intro ended-{number}")
            await fleet.hosts[1].answer(f"intro whole-{number}")
            await fleet.clock.sleep(EVALUATION_S)
        await fleet.pass_time(duration_s + 1.0)
        assert not any(host.refuses_prompt("intro") for host in fleet.hosts)
        await fleet.restart_all()
        await fleet.clock.sleep(EVALUATION_S)
        assert not any(host.refuses_prompt("intro") for host in fleet.hosts)

    run_fleet(scenario, controls=3)


def test_what_an_operator_released_is_not_held_after_a_loss_of_power() -> None:
    """Guards against ends on record that hold a part anew although an operator released it."""

    async def scenario(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
            await fleet.end_under_prompts(fleet.hosts[0], "worse")
        for fingerprint in fleet.hosts[1].quarantine.held_fingerprints():
            fleet.hosts[1].quarantine.lift(fingerprint, "asha")
        await fleet.restart_all()
        await fleet.clock.sleep(EVALUATION_S)
        assert not any(host.refuses("bad") for host in fleet.hosts)
        assert not any(host.refuses_prompt("worse") for host in fleet.hosts)

    run_fleet(scenario, controls=3)


def test_one_end_holds_a_request_again_also_after_a_loss_of_power() -> None:
    """Guards against four more ended targets, as hosts that start know of no earlier hold."""

    async def scenario(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
        await fleet.pass_time(2.0 * HOLD_DURATION_S)
        await fleet.restart_all()
        await fleet.pass_time(1.0)
        assert not any(host.refuses("bad") for host in fleet.hosts)
        await fleet.end_under(fleet.hosts[1], "bad")
        assert all(host.refuses("bad") for host in fleet.hosts)

    run_fleet(scenario, controls=3)


def test_hosts_that_reach_no_control_host_serve_and_learn_anew() -> None:
    async def scenario(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
        fleet.board.down = set(fleet.controls)
        await fleet.clock.sleep(0.1)
        restored = [await host.recorded.restore(0.3) for host in fleet.hosts]
        assert restored == [False] * 3
        assert not fleet.hosts[0].refuses("good")

    run_fleet(scenario, controls=3)


def test_a_lifted_request_is_not_held_by_a_loss_of_power_long_after() -> None:
    """Guards against ends on record that outlive the decision which discarded them."""

    async def scenario(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "innocent")
        fleet.hosts[1].quarantine.lift(fingerprint_for("innocent"), "operator")
        await fleet.clock.sleep(HOLD_DURATION_S + 1.0)
        await fleet.restart_all()
        await fleet.clock.sleep(EVALUATION_S)
        assert not any(host.refuses("innocent") for host in fleet.hosts)

    run_fleet(scenario, controls=3)


def test_a_cleared_request_is_not_held_by_a_loss_of_power_long_after() -> None:
    """Guards against innocent requests held by ends that a whole answer had explained."""

    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        for _ in range(4):
            await fleet.end_under(host, "slow")
        host.finish(host.send("slow", 40), RunEnd.WHOLE)
        await fleet.clock.sleep(HOLD_DURATION_S + 1.0)
        await fleet.restart_all()
        await fleet.clock.sleep(EVALUATION_S)
        assert not any(host.refuses("slow") for host in fleet.hosts)

    run_fleet(scenario, controls=3)
