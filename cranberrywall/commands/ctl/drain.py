"""End an entry host's process in good order."""

import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._output import print_answer, show_progress
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import DRAIN, DrainRequest

_LOOK_EVERY_S = 1.0

# Nobody listens, or the process that was started anew refuses to be taken for the old one.
_ENDED = (ErrorKind.UNREACHABLE, ErrorKind.CONFLICT)


@click.command("drain")
@click.argument("host")
@click.option(
    "--wait",
    type=click.FloatRange(0.0, 86_400.0),
    default=0.0,
    show_default=True,
    help="Seconds to wait until the process has ended.",
)
@pass_ctl
def command(ctl: Ctl, host: str, wait: float) -> None:
    """Let entry HOST take no new work, finish its requests, return its money and exit.

    It does what SIGTERM does; no request is cut. What starts the process on its machine
    may start it again.
    """

    async def work(session: Session) -> Result[None, Refusal]:
        found = await _links_of(session, host)
        if isinstance(found, Err):
            return Err(found.err_value)
        address = found.ok_value
        request = DrainRequest(session.options.operator, 0)
        drained = await session.caller.call(address, DRAIN, request, session.timeout)
        if isinstance(drained, Err):
            return Err(_explain(drained.err_value, host))
        incarnation = drained.ok_value.incarnation
        if wait:
            again = request._replace(incarnation=incarnation)
            ended = await _wait_for_end(session, address, again, wait)
            if isinstance(ended, Err):
                return ended
        text = f"{host} (incarnation {incarnation}) {'has ended' if wait else 'is draining'}"
        print_answer(ctl.options.is_json, {"host": host, "incarnation": incarnation}, text)
        return Ok(None)

    ctl.run(work)


async def _links_of(session: Session, host: str) -> Result[str, Refusal]:
    document = await session.document()
    if isinstance(document, Err):
        return Err(document.err_value)
    known = document.ok_value["hosts"].get(host)
    if known is None or "entry" not in known["roles"]:
        hosts = document.ok_value["hosts"].items()
        entries = [name for name, one in hosts if "entry" in one["roles"]]
        remedy = f"give one of {', '.join(sorted(entries)) or 'none yet'}"
        message = f"the configuration has no entry host {host}"
        return Err(Refusal(ErrorKind.NOT_FOUND, message, "HOST", remedy))
    return Ok(known["links"])


async def _wait_for_end(
    session: Session, address: str, request: DrainRequest, wait: float
) -> Result[None, Refusal]:
    end = session.clock.now() + wait
    while session.clock.now() < end:
        show_progress("waiting for its requests to finish ...")
        await session.clock.sleep(_LOOK_EVERY_S)
        answer = await session.caller.call(address, DRAIN, request, session.timeout)
        if isinstance(answer, Err) and answer.err_value.kind in _ENDED:
            return Ok(None)
    message = "it is still draining"
    return Err(Refusal(ErrorKind.TIMEOUT, message, "--wait", "wait longer; nothing is lost"))


def _explain(refusal: Refusal, host: str) -> Refusal:
    if refusal.kind is ErrorKind.UNREACHABLE:
        message = f"{host} does not answer: {refusal.message}"
        remedy = "send SIGTERM to its process, on its machine"
        return refusal._replace(message=message, remedy=remedy)
    return refusal
