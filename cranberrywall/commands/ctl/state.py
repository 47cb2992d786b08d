"""Dump the state of one process."""

import aiohttp
import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._output import print_json
from cranberrywall.commands.ctl._session import Ctl, pass_ctl
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.settings import load_fleet_keys


@click.command("state")
@click.argument("address", metavar="IP:PORT")
@click.option("--section", help="One section only.")
@pass_ctl
def command(ctl: Ctl, address: str, section: str | None) -> None:
    """Dump as JSON the state of the process whose `listen.admin` is IP:PORT."""
    keys = load_fleet_keys(ctl.options.key)
    token = "" if isinstance(keys, Err) else keys.ok_value.admin

    async def work() -> Result[None, Refusal]:
        found = await _fetch(address, token, ctl.options.timeout)
        if isinstance(found, Err):
            return Err(found.err_value)
        state = found.ok_value
        if section and section not in state:
            remedy = f"give one of {', '.join(state)}"
            return Err(Refusal(ErrorKind.NOT_FOUND, f"no section {section}", "--section", remedy))
        print_json(state[section] if section else state)
        return Ok(None)

    ctl.run_alone(work)


async def _fetch(address: str, token: str, timeout: float) -> Result[dict[str, object], Refusal]:
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
