"""Start, end and list the evacuations of places."""

import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._output import (
    format_time,
    print_answer,
    print_json,
    print_table,
)
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.configuration import EvacuationOrders
from cranberrywall.errors import ErrorKind, Refusal


@click.group("evacuations")
def command() -> None:
    """Places whose targets get no requests."""


@command.command("start")
@click.argument("place")
@pass_ctl
def start(ctl: Ctl, place: str) -> None:
    """Send nothing more to the targets in PLACE; what runs there ends there."""
    _order(ctl, place, is_active=True)


@command.command("end")
@click.argument("place")
@pass_ctl
def end(ctl: Ctl, place: str) -> None:
    """Use the targets in PLACE again."""
    _order(ctl, place, is_active=False)


@command.command("list")
@pass_ctl
def list_orders(ctl: Ctl) -> None:
    """List the last order about each place."""

    async def work(session: Session) -> Result[None, Refusal]:
        document = await session.document()
        if isinstance(document, Err):
            return Err(document.err_value)
        orders = document.ok_value.get("evacuations", {})
        if ctl.options.is_json:
            print_json({"evacuations": dict(orders)})
            return Ok(None)
        rows = [
            [
                place,
                "evacuated" if order["is_active"] else "in use",
                order["operator"],
                format_time(order["at"]),
                str(order["revision"]),
            ]
            for place, order in sorted(orders.items())
        ]
        print_table(["place", "targets", "by", "since", "revision"], rows)
        return Ok(None)

    ctl.run(work)


def _order(ctl: Ctl, place: str, is_active: bool) -> None:
    async def work(session: Session) -> Result[None, Refusal]:
        seen = await session.configuration.document()
        if isinstance(seen, Err):
            return Err(seen.err_value)
        orders = EvacuationOrders(session.control, session.caller, session.timeout)
        ordered = await orders.order(
            place,
            is_active,
            seen.ok_value.revision,
            session.options.operator,
            session.clock.wall(),
        )
        if isinstance(ordered, Err):
            return Err(_explain(ordered.err_value, seen.ok_value.document["places"]))
        revision = ordered.ok_value.revision
        text = f"{place} is {'evacuated' if is_active else 'in use'} since revision {revision}"
        answer = {"place": place, "is_active": is_active, "revision": revision}
        print_answer(ctl.options.is_json, answer, text)
        return Ok(None)

    ctl.run(work)


def _explain(refusal: Refusal, places: dict[str, object]) -> Refusal:
    if refusal.kind is ErrorKind.NOT_FOUND:
        remedy = f"give one of {', '.join(sorted(places)) or 'none yet'}"
        return refusal._replace(field="PLACE", remedy=remedy)
    if refusal.kind is ErrorKind.CONFLICT:
        return refusal._replace(remedy="look at `evacuations list`, then give the order again")
    return refusal
