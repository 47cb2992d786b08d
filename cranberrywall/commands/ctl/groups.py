"""Show and change the control hosts of the replicated groups."""

from typing import Literal

import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._output import print_answer, print_json, print_table
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.control import ChangeMemberRequest, MembersReply, ledger_groups
from cranberrywall.errors import ErrorKind, Refusal

CONFIGURATION_GROUP = "configuration"


@click.group("groups")
def command() -> None:
    """Show, add, remove and replace the control hosts of replicated groups.

    An unsafe step is refused unless it is named twice, with --unsafe HOST.
    """


@command.command("show")
@click.argument("names", metavar="[GROUP]...", nargs=-1)
@pass_ctl
def show(ctl: Ctl, names: tuple[str, ...]) -> None:
    """Show the members of each GROUP (default: all), and which steps are safe now."""

    async def work(session: Session) -> Result[None, Refusal]:
        groups = await _all_groups(session, names)
        reply_by_group: dict[str, MembersReply] = {}
        for group in groups:
            reply = await session.control.members(group, session.timeout)
            if isinstance(reply, Err):
                refusal = reply.err_value
                return Err(refusal._replace(message=f"{group}: {refusal.message}"))
            reply_by_group[group] = reply.ok_value
        if ctl.options.is_json:
            print_json(reply_by_group)
        else:
            _print(reply_by_group)
        return Ok(None)

    ctl.run(work)


async def _all_groups(session: Session, names: tuple[str, ...]) -> tuple[str, ...]:
    if names:
        return names
    # Before the first configuration only its own group is certain to be there.
    document = await session.document()
    if isinstance(document, Err):
        return (CONFIGURATION_GROUP,)
    return (CONFIGURATION_GROUP, *ledger_groups(document.ok_value["ledger_groups"]))


def _print(reply_by_group: dict[str, MembersReply]) -> None:
    rows = [
        [
            group,
            member.host,
            member.address,
            "leader" if member.is_leader else "voter" if member.voter else "learner",
            "yes" if member.answers else "no",
            "yes" if member.is_wiped else "no",
            member.lag,
        ]
        for group, reply in reply_by_group.items()
        for member in reply.members
    ]
    print_table(["group", "host", "address", "role", "answers", "wiped", "lag"], rows)
    click.echo()
    steps = [
        [group, step.action, step.host or "a new host", step.unsafe_because or "safe"]
        for group, reply in reply_by_group.items()
        for step in reply.steps
    ]
    print_table(["group", "step", "host", "safe now"], steps)


@command.command("add")
@click.argument("group")
@click.argument("host")
@click.argument("address", metavar="IP:PORT")
@pass_ctl
def add(ctl: Ctl, group: str, host: str, address: str) -> None:
    """Add HOST to GROUP; it gets a vote once it has caught up."""
    _change(ctl, group, "add", host, address=address)


@command.command("remove")
@click.argument("group")
@click.argument("host")
@click.option("--unsafe", metavar="HOST", default="", help="Name HOST again for an unsafe step.")
@pass_ctl
def remove(ctl: Ctl, group: str, host: str, unsafe: str) -> None:
    """Remove HOST from GROUP."""
    _change(ctl, group, "remove", host, unsafe=unsafe)


@command.command("replace")
@click.argument("group")
@click.argument("host")
@click.argument("new_host")
@click.argument("address", metavar="IP:PORT")
@click.option("--unsafe", metavar="HOST", default="", help="Name HOST again for an unsafe step.")
@pass_ctl
def replace(ctl: Ctl, group: str, host: str, new_host: str, address: str, unsafe: str) -> None:
    """Put NEW_HOST in HOST's place in GROUP, once it has caught up."""
    _change(ctl, group, "replace", host, new_host, address, unsafe)


def _change(
    ctl: Ctl,
    group: str,
    action: Literal["add", "remove", "replace"],
    host: str,
    new_host: str = "",
    address: str = "",
    unsafe: str = "",
) -> None:
    if unsafe and unsafe != host:
        ctl.fail_input(f"{unsafe} is not {host}", "--unsafe", f"give --unsafe {host}")
    request = ChangeMemberRequest(group, action, host, new_host, address, bool(unsafe))

    async def work(session: Session) -> Result[None, Refusal]:
        changed = await session.control.change_member(request, session.timeout)
        if isinstance(changed, Err):
            return Err(_explain(changed.err_value, host))
        text = f"{group}: {action} {host} is committed; watch it with: cranberrywallctl groups show"
        print_answer(ctl.options.is_json, request, text)
        return Ok(None)

    ctl.run(work)


def _explain(refusal: Refusal, host: str) -> Refusal:
    if refusal.kind is ErrorKind.UNSAFE_STEP:
        wait = refusal.remedy or "wait until the step is safe"
        return refusal._replace(remedy=f"{wait}, or give --unsafe {host}")
    if refusal.kind is ErrorKind.TIMEOUT:
        return refusal._replace(remedy="look at: cranberrywallctl groups show")
    return refusal
