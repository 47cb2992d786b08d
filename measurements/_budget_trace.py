"""Make seeded traces of prepaid demand, cuts, top-ups and lost hosts.

Times are seconds from the trace's start; amounts are tokens or answered requests.
"""

import math
import random
from typing import NamedTuple

HOUR_S = 3600.0


class Work(NamedTuple):
    """Describe a kind of request; ``cost`` is its mean actual cost.

    The bound is what the caller asks for at most. ``takes_s`` is the mean time to answer.
    """

    name: str
    part: float
    bound_low: int
    bound_high: int
    takes_s: float
    deadline_s: float


class Deployment(NamedTuple):
    """Describe one user's fleet; ``with_ledger`` counts the control hosts of each place."""

    name: str
    hosts_by_place: dict[str, int]
    controls_by_place: dict[str, int]
    works: tuple[Work, ...]
    requests_an_hour: float

    @property
    def place_by_host(self) -> dict[str, str]:
        """Return every entry host's place."""
        return {
            f"{place}-{number}": place
            for place, count in self.hosts_by_place.items()
            for number in range(1, count + 1)
        }


BOARD = Deployment(
    "board",
    {"town-hall": 3, "dehiwala-annex": 2, "kolonnawa-dc": 2},
    {"town-hall": 1, "dehiwala-annex": 1, "kolonnawa-dc": 1},
    (
        Work("lookup", 0.6, 60, 200, 0.8, 5.0),
        Work("letter", 0.4, 400, 2000, 12.0, 60.0),
    ),
    3600.0,
)
ASSOCIATION = Deployment(
    "association",
    {"ljubljana-a": 2, "ljubljana-b": 2, "kranj": 2, "domzale": 1},
    {"ljubljana-a": 1, "ljubljana-b": 1, "kranj": 1, "domzale": 0},
    (
        Work("gate", 0.7, 1, 1, 0.3, 3.0),
        Work("draft", 0.3, 1, 1, 10.0, 60.0),
    ),
    3600.0,
)

WORKSPACES = 10
# A few workspaces are large: the parts of the demand fall by this factor from one to the next.
PART_FALLS_BY = 0.7


class Request(NamedTuple):
    """Ask once; ``pick`` in [0, 1) chooses among the hosts that are up in the place."""

    at: float
    id: str
    place: str
    pick: float
    budget: str
    bound: int
    actual: int
    takes_s: float
    deadline_s: float


class Cut(NamedTuple):
    """Cut the nodes in ``away`` (places, or one host) from all others for a time."""

    at: float
    ends_at: float
    away: frozenset[str]


class TopUp(NamedTuple):
    """Add to a budget."""

    at: float
    budget: str
    amount: int


class Death(NamedTuple):
    """Lose a host's process; it starts again at ``back_at``."""

    at: float
    back_at: float
    host: str


class Trace(NamedTuple):
    """Hold all that happens, each kind in order of time."""

    deployment: Deployment
    hours: float
    requests: tuple[Request, ...]
    cuts: tuple[Cut, ...]
    top_ups: tuple[TopUp, ...]
    deaths: tuple[Death, ...]
    demand_by_place: dict[str, float]


def make_trace(deployment: Deployment, seed: int, hours: float) -> Trace:
    """Return a trace of ``hours``; the same seed gives the same one."""
    chance = random.Random(f"{deployment.name} {seed}")
    requests = _requests(deployment, chance, hours)
    return Trace(
        deployment,
        hours,
        requests,
        _cuts(deployment, chance, hours),
        _top_ups(chance, requests, hours),
        _deaths(deployment, chance, hours),
        _demand_by_place(requests),
    )


def _requests(deployment: Deployment, chance: random.Random, hours: float) -> tuple[Request, ...]:
    parts = [PART_FALLS_BY**number for number in range(WORKSPACES)]
    found: list[Request] = []
    for number, part in enumerate(parts):
        rate = deployment.requests_an_hour * part / sum(parts)
        found += _of_workspace(deployment, chance, hours, f"workspace-{number}", rate)
    return tuple(sorted(found))


def _of_workspace(
    deployment: Deployment, chance: random.Random, hours: float, budget: str, rate: float
) -> list[Request]:
    """Draw a Poisson stream whose place shifts: each phase has its own weights."""
    found: list[Request] = []
    phase_ends_at, weights = 0.0, [1.0]
    places = list(deployment.hosts_by_place)
    at = 0.0
    while True:
        at += chance.expovariate(rate * _of_day(at) / HOUR_S)
        if at >= hours * HOUR_S:
            return found
        if at >= phase_ends_at:
            phase_ends_at = at + chance.uniform(0.7, 3.0) * HOUR_S
            weights = [chance.random() ** 2 + 0.03 for _ in places]
        place = chance.choices(places, weights)[0]
        found.append(_request(deployment, chance, at, place, f"{budget}-{len(found)}", budget))


def _of_day(at: float) -> float:
    return 1.0 + 0.5 * math.sin(2.0 * math.pi * at / (8.0 * HOUR_S))


def _request(
    deployment: Deployment, chance: random.Random, at: float, place: str, id_: str, budget: str
) -> Request:
    work = chance.choices(deployment.works, [work.part for work in deployment.works])[0]
    bound = chance.randint(work.bound_low, work.bound_high)
    actual = max(1, round(bound * chance.betavariate(3.0, 2.5)))
    takes_s = work.takes_s * chance.uniform(0.4, 1.6)
    pick = chance.random()
    return Request(at, id_, place, pick, budget, bound, actual, takes_s, work.deadline_s)


def _cuts(deployment: Deployment, chance: random.Random, hours: float) -> tuple[Cut, ...]:
    """Draw cuts of minutes to hours, of one place, of two, or of one host; none overlap."""
    places = list(deployment.hosts_by_place)
    found: list[Cut] = []
    at = 0.5 * HOUR_S
    while at < (hours - 1.0) * HOUR_S:
        lasts = min(3.0 * HOUR_S, chance.lognormvariate(math.log(0.4 * HOUR_S), 1.0))
        ends_at = min(at + max(120.0, lasts), (hours - 0.5) * HOUR_S)
        found.append(Cut(at, ends_at, frozenset(_away(deployment, chance, places))))
        at = ends_at + chance.uniform(0.2, 1.0) * HOUR_S
    return tuple(found)


def _away(deployment: Deployment, chance: random.Random, places: list[str]) -> list[str]:
    kind = chance.random()
    if kind < 0.2:
        return [chance.choice(sorted(deployment.place_by_host))]
    if kind < 0.4 and len(places) > 3:
        pairs = [
            [first, second]
            for first in places
            for second in places
            if first < second
            and deployment.controls_by_place[first] + deployment.controls_by_place[second] < 2
        ]
        return chance.choice(pairs)
    return [chance.choice(places)]


def _top_ups(
    chance: random.Random, requests: tuple[Request, ...], hours: float
) -> tuple[TopUp, ...]:
    """Top each budget up every few hours, to a little less or more than its demand."""
    found: list[TopUp] = []
    for budget in sorted({request.budget for request in requests}):
        demand = [(request.at, request.actual) for request in requests if request.budget == budget]
        at = 0.0
        while at < hours * HOUR_S:
            until = at + chance.uniform(1.5, 4.0) * HOUR_S
            needed = sum(actual for when, actual in demand if at <= when < until)
            found.append(TopUp(at, budget, max(1, round(needed * chance.uniform(0.8, 1.25)))))
            at = until
    return tuple(sorted(found))


def _deaths(deployment: Deployment, chance: random.Random, hours: float) -> tuple[Death, ...]:
    found = []
    for host in sorted(deployment.place_by_host):
        at = chance.expovariate(1.0 / (8.0 * HOUR_S))
        while at < (hours - 0.5) * HOUR_S:
            back_at = at + chance.uniform(10.0, 600.0)
            found.append(Death(at, back_at, host))
            at = back_at + chance.expovariate(1.0 / (8.0 * HOUR_S))
    return tuple(sorted(found))


def _demand_by_place(requests: tuple[Request, ...]) -> dict[str, float]:
    demand: dict[str, float] = {}
    for request in requests:
        demand[request.place] = demand.get(request.place, 0.0) + request.actual
    return demand
