"""Show the requests that are held back, and decide about them."""

from typing import Any

import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._dumps import ask_states, first_refusal
from cranberrywall.commands.ctl._output import print_answer, print_json, print_table
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.quarantine import QUARANTINE, QuarantineRequest


@click.group("quarantine")
def command() -> None:
    """Requests that are refused because targets ended as they began them."""


@command.command("list")
@pass_ctl
def list_held(ctl: Ctl) -> None:
    """List the requests that are held back, and on how many hosts."""

    async def work(session: Session) -> Result[None, Refusal]:
        links = await _entry_links(session)
        if isinstance(links, Err):
            return Err(links.err_value)
        answers = await ask_states(session, links.ok_value, "quarantine")
        refusal = first_refusal(answers.values())
        if refusal is not None:
            return Err(_nobody_answers(refusal))
        heard = [answer.ok_value or {} for answer in answers.values() if isinstance(answer, Ok)]
        rows = join_held(heard)
        if ctl.options.is_json:
            print_json({"hosts_answered": len(heard), "held": rows})
        else:
            _print(rows, len(heard))
        return Ok(None)

    ctl.run(work)


@command.command("lift")
@click.argument("fingerprint")
@pass_ctl
def lift(ctl: Ctl, fingerprint: str) -> None:
    """Let the held request run again on all hosts; its first digits are enough."""
    _decide(ctl, fingerprint, is_held=False)


@command.command("hold")
@click.argument("fingerprint")
@pass_ctl
def hold(ctl: Ctl, fingerprint: str) -> None:
    """Refuse the request with this whole FINGERPRINT on all hosts, for 10 minutes."""
    _decide(ctl, fingerprint, is_held=True)


def join_held(heard: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Return each held request as the host with the longest time left describes it."""
    rows: dict[str, dict[str, Any]] = {}
    for state in heard:
        for fingerprint, held in state.get("held", {}).items():
            known = rows.get(fingerprint)
            known_by = known["known_by"] + 1 if known else 1
            best = held if known is None or held["left_s"] > known["left_s"] else known
            rows[fingerprint] = {**best, "known_by": known_by}
    return rows


def _decide(ctl: Ctl, fingerprint: str, is_held: bool) -> None:
    async def work(session: Session) -> Result[None, Refusal]:
        links = await _entry_links(session)
        if isinstance(links, Err):
            return Err(links.err_value)
        request = QuarantineRequest(fingerprint, is_held, session.options.operator)
        refusal = Refusal(ErrorKind.UNREACHABLE, "the configuration has no entry host")
        for address in links.ok_value.values():
            answer = await session.caller.call(address, QUARANTINE, request, session.timeout)
            if isinstance(answer, Ok):
                named = answer.ok_value.fingerprint
                text = f"{named} is {'held back' if is_held else 'let run again'}"
                print_answer(ctl.options.is_json, {"fingerprint": named, "is_held": is_held}, text)
                return Ok(None)
            refusal = answer.err_value
            if refusal.kind is not ErrorKind.UNREACHABLE:
                return Err(refusal)
        return Err(_nobody_answers(refusal))

    ctl.run(work)


async def _entry_links(session: Session) -> Result[dict[str, str], Refusal]:
    document = await session.document()
    if isinstance(document, Err):
        return Err(document.err_value)
    hosts = document.ok_value["hosts"].items()
    return Ok({name: host["links"] for name, host in hosts if "entry" in host["roles"]})


def _nobody_answers(refusal: Refusal) -> Refusal:
    message = f"no entry host answers: {refusal.message}"
    return Refusal(ErrorKind.UNREACHABLE, message, "", "start one")


def _print(rows: dict[str, dict[str, Any]], hosts: int) -> None:
    headers = ["fingerprint", "by", "request", "targets ended", "left", "held by"]
    lines = [
        [
            fingerprint,
            held["by"],
            held["request"],
            ", ".join(held["targets"]),
            f"{held['left_s']:.0f} s",
            f"{held['known_by']} of {hosts}",
        ]
        for fingerprint, held in rows.items()
    ]
    print_table(headers, lines)
