"""Start a deployment's targets as stand-ins, and add up their counts."""

import itertools
from collections import Counter
from typing import NamedTuple

from cranberrywall.demo._deployments import Deployment
from cranberrywall.demo._files import FleetFiles
from standins import (
    AnnounceOptions,
    Engine,
    EngineOptions,
    Service,
    ServiceOptions,
    Serving,
    make_engine,
    make_service,
    serve,
)

SERVICE_WORK_S = 0.005


class Ran(NamedTuple):
    """Hold what ran for one request id, over all targets."""

    executions: int
    finished: int
    tokens: int


class Targets:
    """Hold the served stand-ins of one deployment."""

    def __init__(self, servings: list[Serving], standins: list[Engine | Service]) -> None:
        self.servings = servings
        self.standins = standins

    def ran_by_request(self) -> dict[str, Ran]:
        """Return what ran for each request id."""
        executions: Counter[str] = Counter()
        finished: Counter[str] = Counter()
        tokens: Counter[str] = Counter()
        for standin in self.standins:
            for request_id, count in standin.counts.by_request.items():
                executions[request_id] += count["executions"]
                finished[request_id] += count["finished"]
                tokens[request_id] += count["prompt_tokens"] + count["completion_tokens"]
        return {
            request_id: Ran(executions[request_id], finished[request_id], tokens[request_id])
            for request_id in executions
        }

    async def leave(self) -> None:
        """Announce that they leave, and close them."""
        for serving in self.servings:
            await serving.leave()

    async def close(self) -> None:
        """Close them at once."""
        for serving in self.servings:
            await serving.close()


async def start_targets(
    deployment: Deployment, files: FleetFiles, work_s: float = SERVICE_WORK_S
) -> Targets:
    """Start today's numbers of engines and services, spread over the places.

    ``work_s`` is how long a service works on a call, in seconds.
    """
    places = itertools.cycle(deployment.document["places"])
    standins: list[Engine | Service] = []
    for number in range(1, deployment.name.engines + 1):
        options = EngineOptions(
            target=f"{deployment.model}-{number}",
            model=deployment.model,
            place=next(places),
            versions=(deployment.document["models"][deployment.model]["version"],),
            seed=number,
        )
        standins.append(make_engine(options))
    for number in range(1, deployment.name.services + 1):
        service = ServiceOptions(
            target=f"{deployment.service}-{number}",
            service=deployment.service,
            place=next(places),
            work_s=work_s,
            seed=number,
        )
        standins.append(make_service(service))
    announce = AnnounceOptions(files.entry_urls(), files.keys.target)
    servings = [await serve(standin, announce=announce) for standin in standins]
    return Targets(servings, standins)
