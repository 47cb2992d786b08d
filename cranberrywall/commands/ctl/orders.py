"""Show the orders to engines, and vouch for a control host that is dead."""

import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._dead_hosts import ask_whether_stopped
from cranberrywall.commands.ctl._output import (
    format_time,
    print_answer,
    print_json,
    print_table,
)
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.errors import Refusal
from cranberrywall.orders import Issuer, OpenOrder, OrdersClient, OrdersView


@click.group("orders")
def command() -> None:
    """Show orders to engines, and decide those that a dead control host left open."""


@command.command("show")
@click.option("--closed", type=click.IntRange(0, 500), default=10, show_default=True)
@pass_ctl
def show(ctl: Ctl, closed: int) -> None:
    """List the open orders, and the newest closed ones with how each ended."""

    async def work(session: Session) -> Result[None, Refusal]:
        found = await OrdersClient(session.control, session.timeout).orders()
        if isinstance(found, Err):
            return Err(found.err_value)
        newest = found.ok_value.closed_orders[max(0, len(found.ok_value.closed_orders) - closed) :]
        view = found.ok_value._replace(closed_orders=newest)
        if ctl.options.is_json:
            print_json(view)
        else:
            _print(view)
        return Ok(None)

    ctl.run(work)


def _print(view: OrdersView) -> None:
    rows = [[*_row(order), "open"] for order in view.open_orders]
    rows += [[*_row(one.order), one.evidence.value] for one in view.closed_orders]
    headers = ["number", "at", "target", "order", "model", "version", "by", "incarnation", "ended"]
    print_table(headers, rows)


def _row(order: OpenOrder) -> list[object]:
    action = order.action
    return [
        order.number,
        format_time(order.at),
        order.target,
        f"{action.kind} {action.adapter}".strip(),
        action.model,
        action.version,
        order.issuer.host,
        order.issuer.incarnation,
    ]


@command.command("confirm-dead")
@click.argument("host")
@click.option("--incarnation", type=int, required=True, help="As `orders show` shows it.")
@click.option("--approver", required=True, help="The second person; not the operator.")
@click.option("--yes", is_flag=True, help="Do not ask.")
@pass_ctl
def confirm_dead(ctl: Ctl, host: str, incarnation: int, approver: str, yes: bool) -> None:
    """Close the orders that control HOST's dead process left open.

    Look at the machine first: an engine that does not check numbers obeys an order from a
    process that was only cut off, whenever it arrives.
    """
    if approver == ctl.options.operator:
        remedy = "let another person look at the machine as well"
        ctl.fail_input("the approver is the operator", "--approver", remedy)
    ask_whether_stopped(host, incarnation, is_sure=yes)

    async def work(session: Session) -> Result[None, Refusal]:
        client = OrdersClient(session.control, session.timeout)
        operators = f"{session.options.operator} and {approver}"
        issuer = Issuer(host, incarnation)
        closed = await client.confirm_dead(issuer, operators, session.clock.wall())
        if isinstance(closed, Err):
            return Err(closed.err_value)
        answer = {"closed": closed.ok_value}
        print_answer(ctl.options.is_json, answer, f"{closed.ok_value} orders are closed")
        return Ok(None)

    ctl.run(work)
