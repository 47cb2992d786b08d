"""Run a small fleet of real processes before stand-ins in this process."""

import asyncio
import random
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import yaml

from cranberrywall.demo import (
    SAVINGS_BOARD,
    Deployment,
    FleetClient,
    FleetFiles,
    FleetSize,
    Targets,
    make_fleet_client,
    read_deployment,
    wait_for_targets,
    write_fleet,
)
from measurements._processes import FleetProcesses
from standins import (
    AnnounceOptions,
    Engine,
    EngineOptions,
    Service,
    ServiceOptions,
    make_engine,
    make_service,
    serve,
)

PATIENCE_S = 30.0
CREDIT = 50_000_000
CALL_S = 20.0
WORKSPACE = "counter-clerks"
OTHER_WORKSPACE = "renewal-desk"


class Reply(NamedTuple):
    """Hold one reply; ``status`` is 0 where the connection failed or the answer was cut."""

    status: int
    ran: str
    code: str
    body: bytes


LOST = Reply(0, "", "", b"")


class LiveFleet:
    """Hold the processes, the stand-ins and a caller's session."""

    def __init__(self, folder: Path, size: FleetSize, net: int, address_ttl: str = "5s") -> None:
        self.deployment: Deployment = read_deployment(SAVINGS_BOARD)
        for workspace in (WORKSPACE, OTHER_WORKSPACE):
            self.deployment.document["workspaces"][workspace]["concurrent"] = 512
        self.files: FleetFiles = write_fleet(folder, self.deployment, size, net)
        self.processes = FleetProcesses(self.files)
        self.client: FleetClient = make_fleet_client(self.files)
        self.targets = Targets([], [])
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=CALL_S),
        )
        self.entries = [host.name for host in self.files.of_role("entry")]
        self._set_ttl(address_ttl)

    async def start(
        self, engines: Sequence[EngineOptions], services: Sequence[ServiceOptions]
    ) -> None:
        """Start control, the document, the money, the entry hosts and the stand-ins."""
        await self.processes.start([host.name for host in self.files.of_role("control")])
        await self.client.commit(self.files.document, PATIENCE_S)
        credits = dict.fromkeys(self.files.document["budgets"], CREDIT)
        await self.client.credit(self.files.document, credits, PATIENCE_S)
        await self.processes.start(self.entries)
        standins: list[Engine | Service] = [make_engine(options) for options in engines]
        standins += [make_service(options) for options in services]
        announce = AnnounceOptions(self.files.entry_urls(), self.files.keys.target)
        servings = [await serve(standin, announce=announce) for standin in standins]
        self.targets = Targets(servings, standins)
        await wait_for_targets(self.files, len(standins), PATIENCE_S)

    async def stop(self) -> None:
        """End everything."""
        await self.session.close()
        await self.targets.close()
        await self.client.close()
        await self.processes.end_all()

    def url(self, host: str) -> str:
        """Return a host's address for callers."""
        return f"http://{self.files.by_host[host].listen['http']}"

    async def call(
        self, host: str, path: str, request_id: str, body: Any, workspace: str = WORKSPACE
    ) -> Reply:
        """Send one POST; ``LOST`` where no whole answer came."""
        headers = {
            "Authorization": f"Bearer {self.deployment.key(workspace)}",
            "Idempotency-Key": request_id,
        }
        try:
            url = self.url(host) + path
            async with self.session.post(url, json=body, headers=headers) as answer:
                data = await answer.read()
                ran = answer.headers.get("X-Ran", "")
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            return LOST
        code = ""
        if answer.status != 200 and answer.content_type == "application/json":
            code = (await answer.json())["error"]["code"]
        return Reply(answer.status, ran, code, data)

    async def kill_in_turn(
        self, hosts: Sequence[str], pause_s: float, numbers: Sequence[signal.Signals]
    ) -> None:
        """End and restart one host after another, until cancelled."""
        turn = 0
        while True:
            await asyncio.sleep(pause_s)
            host = hosts[turn % len(hosts)]
            await self.processes.end(host, numbers[turn % len(numbers)])
            await self.processes.start([host])
            turn += 1

    def _set_ttl(self, address_ttl: str) -> None:
        for host in self.files.of_role("entry"):
            settings = yaml.safe_load(host.path.read_text("utf-8"))
            settings["callers"] = {"address_ttl": address_ttl}
            settings["log"] = {"level": "INFO"}
            host.path.write_text(yaml.safe_dump(settings, sort_keys=False), "utf-8")


def other_host(hosts: Sequence[str], host: str, numbers: random.Random) -> str:
    """Return another host than ``host``, by chance."""
    return numbers.choice([other for other in hosts if other != host])
