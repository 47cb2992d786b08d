"""Serve a plain service that counts its executions by request id."""

import asyncio
import time
from typing import Any, NamedTuple

from aiohttp import web

from standins._answers import service_answer
from standins._common import (
    ATTEMPT_HEADER,
    FaultSwitch,
    add_common_routes,
    crossed_id,
    fail,
    identity,
)
from standins._counts import Counts, Usage
from standins._faults import Draw, Faults, draw_faults
from standins._load import LaggingLoad

RAN_HEADER = "X-Ran"


class ServiceOptions(NamedTuple):
    """Describe one stand-in service.

    An execution takes ``work_s`` seconds; ``capacity`` of them run at once and ``queue``
    may wait. Load is reported ``load_lag_s`` late.
    """

    target: str
    service: str
    place: str = "town-hall"
    capacity: int = 16
    queue: int = 256
    work_s: float = 0.005
    load_lag_s: float = 0.5
    seed: int = 1
    faults: Faults = Faults()


def make_service(options: ServiceOptions) -> "Service":
    """Return a service; ``serve`` binds it to an address."""
    return Service(options)


class Service:
    """Answer every method and path, once for each call that arrives."""

    def __init__(self, options: ServiceOptions) -> None:
        self.options = options
        self.counts = Counts()
        self.switch = FaultSwitch(options.faults)
        self._load = LaggingLoad(options.load_lag_s)
        self._slots = asyncio.Semaphore(options.capacity)
        self._running = 0
        self._waiting = 0
        self.app = web.Application()
        add_common_routes(self.app, self.counts, self.switch, self.options.seed)
        self.app.router.add_route("*", "/{path:.*}", self._call)

    @property
    def busy(self) -> int:
        """Return how many executions run or wait."""
        return self._running + self._waiting

    def describe(self, url: str) -> dict[str, Any]:
        """Return the announcement, but for its incarnation, counter and leaving."""
        self._record_load()
        return {
            "target": self.options.target,
            "kind": "service",
            "name": self.options.service,
            "place": self.options.place,
            "url": url,
            "versions": [],
            "adapters": [],
            "capacity": self.options.capacity,
            "checks_fencing": False,
            "load": self._load.report(time.time()),
            "cache_events": [],
        }

    def stop(self) -> None:
        """Stop the work at once; executions end with their connections."""

    async def _call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_id, attempt_id = identity(request)
        draw = draw_faults(
            self.switch.faults, self.options.seed, request_id, self.counts.started(request_id)
        )
        if draw.refuses or self._waiting >= self.options.queue:
            self.counts.refused += 1
            refusal = fail(503, "no room")
            refusal.headers[ATTEMPT_HEADER] = attempt_id
            refusal.headers[RAN_HEADER] = "no"
            return refusal
        execution = self.counts.begin(request_id, attempt_id) + 1
        await self._work()
        self.counts.finish(request_id, Usage())
        if draw.late:
            await asyncio.sleep(self.switch.faults.late_s)
        self.switch.break_connection(request, draw)
        return self._answer(request, body, attempt_id, execution, draw)

    async def _work(self) -> None:
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        self._record_load()
        try:
            await asyncio.sleep(self.options.work_s * self.switch.faults.slow)
        finally:
            self._running -= 1
            self._slots.release()
            self._record_load()

    def _answer(
        self, request: web.Request, body: bytes, attempt_id: str, execution: int, draw: Draw
    ) -> web.Response:
        answered = crossed_id(attempt_id) if draw.crossed else attempt_id
        path = request.path_qs
        document = {
            "service": self.options.service,
            "target": self.options.target,
            "path": path,
            "execution": execution,
            "answer": service_answer(request.method, path, body),
        }
        return web.json_response(document, headers={ATTEMPT_HEADER: answered})

    def _record_load(self) -> None:
        self._load.record(self._running, self._waiting, time.time())
