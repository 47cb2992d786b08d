"""List the hosts with what they hold."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

import click
from result import Err, Ok, Result

from cranberrywall.budgets.messages import Holder, HoldersResult, HolderSum
from cranberrywall.commands.ctl._dumps import ask_states
from cranberrywall.commands.ctl._ledgers import from_each_group
from cranberrywall.commands.ctl._output import format_time, print_json, print_table
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.configuration import Document
from cranberrywall.errors import Refusal


class HostRow(NamedTuple):
    """Describe a configured host, and one incarnation that the ledgers know of it.

    ``incarnation`` is 0 where they know none. ``is_current`` is false for one that was
    succeeded or confirmed dead. ``outstanding`` counts tokens and answers together.
    ``revision`` is the configuration in force there: -1 where the host was not asked, or
    did not answer.
    """

    host: str
    place: str
    roles: tuple[str, ...]
    links: str
    incarnation: int
    is_current: bool
    budgets: int
    outstanding: int
    active_at: float
    revision: int = -1


@click.command("hosts")
@click.option("--live", is_flag=True, help="Ask each host which revision is in force there.")
@pass_ctl
def command(ctl: Ctl, live: bool) -> None:
    """List hosts with their places, incarnations and the amounts that they hold."""

    async def work(session: Session) -> Result[None, Refusal]:
        document = await session.document()
        if isinstance(document, Err):
            return Err(document.err_value)
        found = await session.ledger()
        if isinstance(found, Err):
            return Err(found.err_value)
        ledger = found.ok_value
        answers = await from_each_group(
            ledger, lambda group: ledger.holders(group, session.timeout)
        )
        if isinstance(answers, Err):
            return Err(answers.err_value)
        rows = list_hosts(document.ok_value, join_holders(answers.ok_value.values()))
        if live:
            rows = await _with_revisions(session, rows)
        if ctl.options.is_json:
            print_json({"hosts": rows})
        else:
            _print(rows, live)
        return Ok(None)

    ctl.run(work)


async def _with_revisions(session: Session, rows: list[HostRow]) -> list[HostRow]:
    links = {row.host: row.links for row in rows if row.roles and row.roles != ("console",)}
    answers = await ask_states(session, links, "configuration")
    revision_by_host = {
        host: answer.ok_value["revision"]
        for host, answer in answers.items()
        if isinstance(answer, Ok) and answer.ok_value
    }
    return [row._replace(revision=revision_by_host.get(row.host, -1)) for row in rows]


def join_holders(answers: Iterable[HoldersResult]) -> dict[Holder, HolderSum]:
    """Return each holder's sums over all groups."""
    joined: dict[Holder, HolderSum] = {}
    for one in (one for answer in answers for one in answer.holders):
        known = joined.get(one.holder)
        if known is not None:
            one = HolderSum(
                one.holder,
                # A group that has not heard of the successor yet takes the old one as
                # current; one that has knows better.
                known.current and one.current,
                known.outstanding + one.outstanding,
                known.budgets + one.budgets,
                max(known.active_at, one.active_at),
            )
        joined[one.holder] = one
    return joined


def list_hosts(document: Document, sum_by_holder: dict[Holder, HolderSum]) -> list[HostRow]:
    """Return a row for each incarnation, and for each host that has none."""
    rows = []
    names = sorted({*document["hosts"], *(holder.host for holder in sum_by_holder)})
    for name in names:
        host = document["hosts"].get(name)
        place, links = (host["place"], host["links"]) if host else ("-", "-")
        roles = tuple(host["roles"]) if host else ()
        held = [one for holder, one in sorted(sum_by_holder.items()) if holder.host == name]
        for one in held or [HolderSum(Holder(name, 0), False, 0, 0, 0.0)]:
            rows.append(
                HostRow(
                    host=name,
                    place=place,
                    roles=roles,
                    links=links,
                    incarnation=one.holder.incarnation,
                    is_current=one.current,
                    budgets=one.budgets,
                    outstanding=one.outstanding,
                    active_at=one.active_at,
                )
            )
    return rows


def _print(rows: Sequence[HostRow], live: bool) -> None:
    headers = ["host", "place", "roles", "links", "incarnation", "budgets", "holds", "last heard"]
    lines = [
        [
            row.host,
            row.place,
            "+".join(row.roles) or "not configured",
            row.links,
            _incarnation(row),
            row.budgets,
            row.outstanding,
            format_time(row.active_at),
        ]
        for row in rows
    ]
    if live:
        headers.append("revision")
        for line, row in zip(lines, rows, strict=True):
            line.append("-" if row.revision < 0 else str(row.revision))
    print_table(headers, lines)


def _incarnation(row: HostRow) -> str:
    if not row.incarnation:
        return "-"
    return str(row.incarnation) if row.is_current else f"{row.incarnation} (ended)"
