"""Serve a stand-in on an address, announced or not."""

import asyncio
from typing import Any, Protocol

from aiohttp import web

from standins._announcer import AnnounceOptions, Announcer
from standins._common import FaultSwitch

LEAVE_GRACE_S = 10.0
_POLL_S = 0.05


class StandIn(Protocol):
    """Define what serving needs of an engine or a service."""

    app: web.Application
    switch: FaultSwitch

    @property
    def busy(self) -> int:
        """Return how many executions are in progress."""
        ...

    def describe(self, url: str) -> dict[str, Any]:
        """Return the announcement, but for its incarnation, counter and leaving."""
        ...

    def stop(self) -> None:
        """Stop the work at once."""
        ...


class Serving:
    """Hold one served stand-in."""

    def __init__(
        self, standin: StandIn, runner: web.AppRunner, url: str, announcer: Announcer | None
    ) -> None:
        self.standin = standin
        self.url = url
        self._runner = runner
        self._announcer = announcer

    async def leave(self) -> None:
        """Announce that it leaves, finish the work in progress, and close."""
        if self._announcer is not None:
            await self._announcer.leave()
        waited_s = 0.0
        while self.standin.busy and waited_s < LEAVE_GRACE_S:
            await asyncio.sleep(_POLL_S)
            waited_s += _POLL_S
        await self.close()

    async def close(self) -> None:
        """Close without a word: connections end, as when the host dies."""
        if self._announcer is not None:
            await self._announcer.close()
        self.standin.stop()
        await self._runner.cleanup()


async def serve(
    standin: StandIn,
    host: str = "127.0.0.1",
    port: int = 0,
    announce: AnnounceOptions | None = None,
) -> Serving:
    """Bind the stand-in, start announcing it where ``announce`` is given, and return."""
    runner = web.AppRunner(standin.app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound = runner.addresses[0]
    url = f"http://{bound[0]}:{bound[1]}"
    announcer = None
    if announce is not None:
        announcer = Announcer(announce, lambda: standin.describe(url))
        announcer.start()
    serving = Serving(standin, runner, url, announcer)
    if standin.switch.on_death is None:
        standin.switch.on_death = serving.close
    return serving
