"""Find the ledger's leader, and lose it."""

import pytest
from result import Err, Ok

from cranberrywall.budgets.messages import Accepted, BudgetQuery, Credit, Draw, DrawResult, Holder
from cranberrywall.control import make_control_client
from cranberrywall.errors import ErrorKind
from tests.budgets.ledgers import NOW
from tests.control.hosts import CLIENT_IP, Controls, run_controls

A1 = Holder("entry-a", 1)
CREDIT = Credit("desk", "clerks", "tokens", 100, "c1", "ann", NOW)


def test_a_client_finds_the_leader_from_any_control_host():
    async def test(controls: Controls) -> None:
        assert await controls.ledger.credit(CREDIT, 10.0) == Ok(Accepted())
        for address in controls.address_by_host.values():
            client = make_control_client(controls.caller, controls.clock, [address])
            assert isinstance(await client.query("ledger-0", b"\x90", 10.0), Ok)

    run_controls(test)


@pytest.mark.parametrize("seed", range(4))
def test_a_draw_is_granted_once_where_the_leader_dies_in_it(seed: int):
    """A host draws 60 of 100, and the ledger's leader loses power before it answers.

    The host sees a timeout, cannot tell whether the draw was committed, and sends it again
    to the next leader. Granted twice, the second 40 would be spent by nobody; not granted,
    the host would refuse callers whose budget has money.
    """

    async def test(controls: Controls) -> None:
        await controls.ledger.credit(CREDIT, 10.0)
        leader = await controls.leader()
        draw = Draw("desk", A1, 1, 60, 1, NOW)
        # The command reaches the leader, and no answer comes back from it.
        controls.fabric.cut_one_way(controls.ip_by_host[leader], CLIENT_IP)
        lost = await controls.ledger.draw(draw, 0.01 * seed)
        assert isinstance(lost, Err)
        assert lost.err_value.kind in (ErrorKind.TIMEOUT, ErrorKind.UNREACHABLE)
        await controls.kill(leader)
        resent = (await controls.ledger.draw(draw, 30.0)).unwrap()
        assert resent == DrawResult(60, 40, 60, 100, 0, 1)
        sums = (await controls.ledger.budget(BudgetQuery("desk"), 10.0)).unwrap()
        assert (sums.outstanding, sums.free) == (60, 40)

    run_controls(test, seed)


def test_a_leader_that_is_cut_off_answers_neither_reads_nor_draws():
    """The leader is silently cut off from the other control hosts, and a client is not.

    The others elect another and grant what was free. The client first asks the old leader,
    which must not answer from its old sums, and is served by the new one in the same call.
    """

    async def test(controls: Controls) -> None:
        await controls.ledger.credit(CREDIT, 10.0)
        old = await controls.leader()
        controls.cut_off(old)
        granted = (await controls.ledger.draw(Draw("desk", A1, 1, 100, 100, NOW), 30.0)).unwrap()
        assert granted.granted == 100
        alone = make_control_client(
            controls.caller, controls.clock, [controls.address_by_host[old]], controls.random
        )
        refused = await alone.query("ledger-0", b"\x90", 3.0)
        assert isinstance(refused, Err)
        assert refused.err_value.kind is ErrorKind.UNREACHABLE

    run_controls(test)


def test_a_state_survives_the_loss_of_power_of_all_control_hosts():
    async def test(controls: Controls) -> None:
        for number in range(100):
            change = CREDIT._replace(change_id=f"c{number}", amount=1)
            await controls.ledger.credit(change, 10.0)
        for host in controls.ip_by_host:
            await controls.kill(host)
        for host in controls.ip_by_host:
            await controls.start(host)
        resent = CREDIT._replace(amount=1, change_id="c5")
        assert await controls.ledger.credit(resent, 30.0) == Ok(Accepted())
        sums = (await controls.ledger.budget(BudgetQuery("desk"), 30.0)).unwrap()
        assert sums.credited == 100

    run_controls(test)


def test_an_unknown_group_is_refused_with_the_remedy():
    async def test(controls: Controls) -> None:
        refused = await controls.client.query("ledger-9", b"", 10.0)
        assert isinstance(refused, Err)
        assert refused.err_value.kind is ErrorKind.NOT_FOUND
        assert "ledger_groups" in refused.err_value.remedy

    run_controls(test)
