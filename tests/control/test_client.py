"""Clients find the ledger's leader, and find the next one after its loss."""

import pytest
from result import Err, Ok

from cranberrywall.budgets.ledger import LEDGER_FEATURES
from cranberrywall.budgets.messages import Accepted, BudgetQuery, Credit, Draw, DrawResult, Holder
from cranberrywall.control import make_control_client
from cranberrywall.errors import ErrorKind
from tests.budgets.ledgers import NOW
from tests.control.hosts import CLIENT_IP, ControlCluster, run_controls

A1 = Holder("entry-a", 1)
CREDIT = Credit("desk", "clerks", "tokens", 100, "c1", "ann", NOW)


def test_a_client_finds_the_leader_from_any_control_host():
    async def test(cluster: ControlCluster) -> None:
        assert await cluster.ledger.credit(CREDIT, 10.0) == Ok(Accepted())
        for address in cluster.address_by_host.values():
            client = make_control_client(cluster.caller, cluster.clock, [address])
            assert isinstance(await client.query("ledger-0", b"\x90", 10.0), Ok)

    run_controls(test)


@pytest.mark.parametrize("seed", range(4))
def test_a_draw_is_granted_once_if_the_leader_dies_during_it(seed: int):
    """A host draws 60 of 100, and the ledger's leader loses power before it answers.

    The host gets a timeout, cannot determine whether the draw was committed, and sends it again
    to the next leader. If the draw is granted twice, no host spends the second grant, which is
    the remaining 40. If it is not granted, the host refuses callers whose budget has money.
    """

    async def test(cluster: ControlCluster) -> None:
        await cluster.ledger.credit(CREDIT, 10.0)
        leader = await cluster.wait_for_leader()
        draw = Draw("desk", A1, 1, 60, 1, NOW)
        # The command reaches the leader, but the answer is lost.
        cluster.fabric.cut_one_way(cluster.ip_by_host[leader], CLIENT_IP)
        lost = await cluster.ledger.draw(draw, 0.01 * seed)
        assert isinstance(lost, Err)
        assert lost.err_value.kind in (ErrorKind.TIMEOUT, ErrorKind.UNREACHABLE)
        await cluster.kill(leader)
        resent = (await cluster.ledger.draw(draw, 30.0)).unwrap()
        assert resent == DrawResult(60, 40, 60, 100, 0, 1)
        sums = (await cluster.ledger.budget(BudgetQuery("desk"), 10.0)).unwrap()
        assert (sums.outstanding, sums.free) == (60, 40)

    run_controls(test, seed)


def test_a_feature_is_supported_only_if_all_members_have_it():
    """Replicas would free different amounts of a lost host if one of them is of an older build."""

    async def test(cluster: ControlCluster) -> None:
        leader = await cluster.wait_for_leader()
        feature = LEDGER_FEATURES[0]
        assert await cluster.client.supports("ledger-0", feature, 10.0) == Ok(True)
        assert await cluster.client.supports("ledger-0", "unknown", 10.0) == Ok(False)
        other = next(host for host in cluster.address_by_host if host != leader)
        await cluster.kill(other)
        assert await cluster.client.supports("ledger-0", feature, 10.0) == Ok(False)
        cluster.features_by_host[other] = ()
        await cluster.start(other)
        assert await cluster.client.supports("ledger-0", feature, 10.0) == Ok(False)

    run_controls(test)


def test_an_isolated_leader_answers_neither_reads_nor_draws():
    """The leader is partitioned from the other control hosts, but not from a client.

    The other hosts elect a leader, which grants the free amount. The client calls the old leader
    first. The old leader must not answer from its outdated sums, and the new leader serves the
    client in the same call.
    """

    async def test(cluster: ControlCluster) -> None:
        await cluster.ledger.credit(CREDIT, 10.0)
        old = await cluster.wait_for_leader()
        cluster.isolate(old)
        granted = (await cluster.ledger.draw(Draw("desk", A1, 1, 100, 100, NOW), 30.0)).unwrap()
        assert granted.granted == 100
        client = make_control_client(
            cluster.caller, cluster.clock, [cluster.address_by_host[old]], cluster.random
        )
        refused = await client.query("ledger-0", b"\x90", 3.0)
        assert isinstance(refused, Err)
        assert refused.err_value.kind is ErrorKind.UNREACHABLE

    run_controls(test)


def test_a_state_survives_the_loss_of_power_of_all_control_hosts():
    async def test(cluster: ControlCluster) -> None:
        for number in range(100):
            change = CREDIT._replace(change_id=f"c{number}", amount=1)
            await cluster.ledger.credit(change, 10.0)
        for host in cluster.ip_by_host:
            await cluster.kill(host)
        for host in cluster.ip_by_host:
            await cluster.start(host)
        resent = CREDIT._replace(amount=1, change_id="c5")
        assert await cluster.ledger.credit(resent, 30.0) == Ok(Accepted())
        sums = (await cluster.ledger.budget(BudgetQuery("desk"), 30.0)).unwrap()
        assert sums.credited == 100

    run_controls(test)


def test_an_unknown_group_is_refused_with_the_remedy():
    async def test(cluster: ControlCluster) -> None:
        refused = await cluster.client.query("ledger-9", b"", 10.0)
        assert isinstance(refused, Err)
        assert refused.err_value.kind is ErrorKind.NOT_FOUND
        assert "ledger_groups" in refused.err_value.remedy

    run_controls(test)
