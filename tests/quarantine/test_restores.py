"""Restores beside gossip, clearances and decisions of hosts that started without the records."""

import pytest

from cranberrywall.quarantine._decisions import HOLD_DURATION_S
from cranberrywall.quarantine._prompt_quarantine import CLEARED_RETENTION_S
from cranberrywall.quarantine._trials import TRIAL_DELAYS_S
from tests.quarantine.fleet import (
    EVALUATION_S,
    Fleet,
    Host,
    fingerprint_for,
    run_fleet,
    traits_for,
)


def test_a_cleared_part_is_not_held_by_a_loss_of_power_long_after() -> None:
    """Guards against innocent prompts held by ends whose clearance was no longer on record."""

    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        for _ in range(3):
            await fleet.end_under_prompts(host, "intro")
            await host.answer("intro")
            await fleet.clock.sleep(EVALUATION_S)
        for _ in range(int(2 * CLEARED_RETENTION_S)):
            await fleet.clock.sleep(1.0)
            for one in fleet.hosts:
                one.quarantine.expire(fleet.clock.now())
        assert not any(one.refuses_prompt("intro") for one in fleet.hosts)
        await fleet.restart_all()
        await fleet.end_under_prompts(fleet.hosts[1], "intro")
        assert not any(one.refuses_prompt("intro") for one in fleet.hosts)

    run_fleet(scenario, controls=3)


def test_a_late_restore_does_not_release_a_request_that_was_held_since() -> None:
    """Guards against an older decision with a higher number than one made without the records."""

    async def scenario(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
        fleet.hosts[0].quarantine.lift(fingerprint_for("bad"), "operator")
        await fleet.clock.sleep(1.0)
        fleet.hosts = [Host(host.name, fleet) for host in fleet.hosts]
        fleet.connect()
        fleet.board.down = set(fleet.controls)
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
        assert all(host.refuses("bad") for host in fleet.hosts)
        fleet.board.down = set()
        for host in fleet.hosts:
            assert await host.recorded.restore(0.3)
        assert all(host.refuses("bad") for host in fleet.hosts)

    run_fleet(scenario, controls=3)


def test_a_decision_made_without_the_records_survives_the_next_loss_of_power() -> None:
    """Guards against a record that an older decision with a higher number keeps out."""

    async def scenario(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
        fleet.hosts[0].quarantine.lift(fingerprint_for("bad"), "operator")
        await fleet.clock.sleep(1.0)
        fleet.hosts = [Host(host.name, fleet) for host in fleet.hosts]
        fleet.connect()
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
        assert all(host.refuses("bad") for host in fleet.hosts)
        await fleet.clock.sleep(1.0)
        await fleet.restart_all()
        await fleet.clock.sleep(EVALUATION_S)
        assert all(host.refuses("bad") for host in fleet.hosts)

    run_fleet(scenario, controls=3)


async def start_in_turn(fleet: Fleet, first: int) -> None:
    """Start all hosts, beginning with one; each restores before it receives others' items."""
    fleet.hosts = [Host(host.name, fleet) for host in fleet.hosts]
    joined: list[Host] = []
    for host in (*fleet.hosts[first:], *fleet.hosts[:first]):
        assert await host.recorded.restore(0.3)
        joined.append(host)
        for one in joined:
            one.gossip.join([other.gossip for other in joined])


@pytest.mark.parametrize("first", range(3))
def test_hosts_that_start_in_turn_permit_no_trial_that_was_due_before(first: int) -> None:
    """Guards against neighbours that restored first and send the items without their age."""

    async def scenario(fleet: Fleet) -> None:
        for host in (*fleet.hosts, fleet.hosts[0]):
            await fleet.end_under_prompts(host, "bad")
        await fleet.clock.sleep(TRIAL_DELAYS_S[1] + 10.0)
        await start_in_turn(fleet, first)
        await fleet.clock.sleep(TRIAL_DELAYS_S[0] + 1.0)
        assert all(host.refuses("trial", traits_for("bad")) for host in fleet.hosts)

    run_fleet(scenario, controls=3)


def test_items_received_before_the_restore_are_held_no_longer_than_on_record() -> None:
    """Guards against neighbours that restored first and send the items without their age."""

    async def scenario(fleet: Fleet) -> None:
        for _ in range(4):
            await fleet.end_under(fleet.hosts[0], "bad")
        held_at = fleet.clock.now()
        await fleet.clock.sleep(HOLD_DURATION_S - 100.0)
        fleet.hosts = [Host(host.name, fleet) for host in fleet.hosts]
        assert await fleet.hosts[0].recorded.restore(0.3)
        fleet.connect()
        for host in fleet.hosts[1:]:
            assert await host.recorded.restore(0.3)
        await fleet.clock.sleep(held_at + HOLD_DURATION_S + 1.0 - fleet.clock.now())
        for host in fleet.hosts:
            host.quarantine.expire(fleet.clock.now())
        assert not any(host.refuses("bad") for host in fleet.hosts)

    run_fleet(scenario, controls=3)


async def lose_targets_under_a_common_part(fleet: Fleet) -> None:
    """End six targets by themselves, while prompts with the same first part are answered."""
    for number in range(6):
        await fleet.end_under_prompts(fleet.hosts[number % 3], f"system question-{number}")
        for host in fleet.hosts:
            await host.answer(f"system other-{number}")
        for _ in range(30):
            await fleet.clock.sleep(1.0)
            for host in fleet.hosts:
                host.quarantine.expire(fleet.clock.now())
    for _ in range(round(CLEARED_RETENTION_S) + 10):
        await fleet.clock.sleep(1.0)
        for host in fleet.hosts:
            host.quarantine.expire(fleet.clock.now())
            await host.answer("system other")
    assert not any(host.refuses_prompt("system") for host in fleet.hosts)


def test_a_part_of_most_prompts_is_not_held_after_a_loss_of_power() -> None:
    """Guards against ends on record whose clearance was known to the lost hosts only."""

    async def scenario(fleet: Fleet) -> None:
        await lose_targets_under_a_common_part(fleet)
        await fleet.restart_all()
        await fleet.clock.sleep(EVALUATION_S)
        assert not any(host.refuses_prompt("system") for host in fleet.hosts)

    run_fleet(scenario, controls=3)


def test_a_part_of_most_prompts_is_not_held_by_a_host_that_joins() -> None:
    """Guards against ends whose clearance a host that joins does not receive."""

    async def scenario(fleet: Fleet) -> None:
        await lose_targets_under_a_common_part(fleet)
        fleet.add()
        await fleet.clock.sleep(EVALUATION_S)
        assert not any(host.refuses_prompt("system") for host in fleet.hosts)

    run_fleet(scenario, controls=3)
