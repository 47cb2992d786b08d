"""Wait until a fleet's processes are ready and know their targets."""

import asyncio
from collections.abc import Sequence
from typing import Any

import aiohttp

from cranberrywall.demo._files import FleetFiles, FleetHost

POLL_S = 0.05
CALL_TIMEOUT_S = 2.0


async def wait_until_ready(hosts: Sequence[FleetHost], max_wait_s: float) -> None:
    """Wait until each host says that it is ready; raise ``TimeoutError``."""
    async with aiohttp.ClientSession() as session, asyncio.timeout(max_wait_s):
        for host in hosts:
            while await _get(session, host, "/readyz") is None:
                await asyncio.sleep(POLL_S)


async def wait_for_targets(files: FleetFiles, count: int, max_wait_s: float) -> None:
    """Wait until each entry host knows ``count`` targets; raise ``TimeoutError``.

    An entry host is ready before it has heard of every target. A request sent then is
    refused, truly, by ``no_target``.
    """
    async with aiohttp.ClientSession() as session, asyncio.timeout(max_wait_s):
        for host in files.of_role("entry"):
            while await _count_targets(session, host) < count:
                await asyncio.sleep(POLL_S)


async def _count_targets(session: aiohttp.ClientSession, host: FleetHost) -> int:
    state = await _get(session, host, "/state")
    return 0 if state is None else len(state.get("targets", {}))


async def _get(session: aiohttp.ClientSession, host: FleetHost, path: str) -> Any:
    """Return the JSON document, or ``None`` where there is no good answer."""
    url = f"http://{host.listen['admin']}{path}"
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with session.get(url, timeout=timeout) as response:
            return await response.json() if response.status == 200 else None
    except (aiohttp.ClientError, TimeoutError):
        return None
