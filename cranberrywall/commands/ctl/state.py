"""Dump the state of one process."""

from typing import Any

import aiohttp
import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._dumps import ask_state
from cranberrywall.commands.ctl._output import print_json
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.settings import load_fleet_keys


@click.command("state")
@click.argument("process", metavar="HOST|IP:PORT")
@click.option("--section", help="One section only.")
@pass_ctl
def command(ctl: Ctl, process: str, section: str | None) -> None:
    """Dump as JSON the state of a process.

    It is named by its HOST in the configuration, or by its `listen.admin` address, which
    needs no control host.
    """
    if ":" not in process:
        ctl.run(lambda session: _dump_host(session, process, section))
        return
    keys = load_fleet_keys(ctl.options.key)
    token = "" if isinstance(keys, Err) else keys.ok_value.admin

    async def work() -> Result[None, Refusal]:
        found = await _fetch(process, token, ctl.options.timeout)
        return found.and_then(lambda state: _print(state, section))

    ctl.run_alone(work)


async def _dump_host(session: Session, host: str, section: str | None) -> Result[None, Refusal]:
    document = await session.document()
    if isinstance(document, Err):
        return Err(document.err_value)
    known = document.ok_value["hosts"].get(host)
    if known is None:
        remedy = f"give one of {', '.join(sorted(document.ok_value['hosts']))}"
        return Err(Refusal(ErrorKind.NOT_FOUND, f"no host {host}", "HOST", remedy))
    found = await ask_state(session, known["links"], "")
    return found.and_then(lambda state: _print(state, section))


def _print(state: dict[str, Any], section: str | None) -> Result[None, Refusal]:
    if section and section not in state:
        remedy = f"give one of {', '.join(state)}"
        return Err(Refusal(ErrorKind.NOT_FOUND, f"no section {section}", "--section", remedy))
    print_json(state[section] if section else state)
    return Ok(None)


async def _fetch(address: str, token: str, timeout: float) -> Result[dict[str, Any], Refusal]:
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    limit = aiohttp.ClientTimeout(total=timeout)
    try:
        async with (
            aiohttp.ClientSession(timeout=limit) as session,
            session.get(f"http://{address}/state", headers=headers) as answer,
        ):
            if answer.status == 200:
                return Ok(await answer.json())
            message = f"{address} answered {answer.status}: {(await answer.text()).strip()}"
            remedy = "give --key with the fleet's keys"
            return Err(Refusal(ErrorKind.FORBIDDEN, message, "--key", remedy))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        message = f"{address} does not answer: {error}"
        remedy = "give the process's `listen.admin` address"
        return Err(Refusal(ErrorKind.UNREACHABLE, message, "IP:PORT", remedy))
