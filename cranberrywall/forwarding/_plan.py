"""Planning of requests: the active configuration decides whether and how to serve each one."""

from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.configuration import RANK_OF_ROUTE, Configuration, Route
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.forwarding._interfaces import Arrival
from cranberrywall.forwarding._routes import (
    RepeatRules,
    RouteTable,
    choose_service,
    repeat_rules_of,
)
from cranberrywall.quarantine import Fingerprint, Traits, fingerprint_of, traits_of
from cranberrywall.runtime import Random

STALE_CONFIGURATION_RETRY_S = 0.5
"""Retry-After for a route or key that is not in this host's configuration, in seconds.

The host polls the control hosts and its neighbours for newer configuration once a second."""


_ROOT_PATH = "/"
"""Path of questions about the health of targets whose service names none."""


class Plan(NamedTuple):
    """Decisions about one request.

    ``workspace`` is empty if the route requires no key. ``kind`` is ``"engine"`` or
    ``"service"``, depending on the targets of ``service``. They answer questions about their
    health at ``health_path``. ``tokens_per_event`` is the maximum number of tokens in one event of
    a stream. ``deadline`` is in monotonic seconds.
    ``fingerprint`` is equal for equal requests at all entry hosts. ``traits`` has the parts of the
    prompt, but for the last one, which belongs to the request itself.
    """

    route: Route
    service: str
    kind: str
    health_path: str
    tokens_per_event: int
    workspace: str
    rank: int
    repeat_rules: RepeatRules
    deadline: float
    revision: int
    fingerprint: Fingerprint
    traits: Traits


class Planner:
    """Find the route, workspace and rank of each request."""

    def __init__(self, configuration: Configuration, random: Random) -> None:
        self._configuration = configuration
        self._random = random
        self._routes = RouteTable(configuration)

    def plan(self, arrival: Arrival, is_current: bool) -> Result[Plan, Refusal]:
        """Return the plan for a request.

        An unknown route or key is ``NOT_FOUND`` or ``UNAUTHENTICATED`` only if ``is_current`` is
        true, which means that no newer configuration may contain it; else it is ``NOT_READY``.
        """
        if not self._configuration.revision:
            return Err(Refusal(ErrorKind.NOT_READY, "this host has no configuration yet"))
        route = self._routes.find(arrival.host, arrival.path)
        if route is None:
            refusal = Refusal(ErrorKind.NOT_FOUND, "no route matches this host and path", "path")
            return Err(_make_retryable_if_stale(refusal, is_current))
        workspace = self._workspace_of(route, arrival)
        if workspace is None:
            refusal = Refusal(ErrorKind.UNAUTHENTICATED, "the key is unknown", "Authorization")
            return Err(_make_retryable_if_stale(refusal, is_current))
        return Ok(self._make_plan(arrival, route, workspace))

    def timeout_of(self, host: str, path: str) -> float | None:
        """Return the timeout of a request's route, in seconds; ``None`` without a route."""
        route = self._routes.find(host, path)
        return None if route is None else route["timeout_s"]

    def _workspace_of(self, route: Route, arrival: Arrival) -> str | None:
        """Return the key's workspace; empty if none is required, ``None`` if the key is unknown."""
        named = self._configuration.workspace_by_key(arrival.key) if arrival.key else None
        if named is not None:
            return named.name
        needs_key = bool(self._configuration.document["workspaces"]) and not route["is_public"]
        return None if needs_key else ""

    def _make_plan(self, arrival: Arrival, route: Route, workspace: str) -> Plan:
        document = self._configuration.document
        service = choose_service(route, self._random.random())
        service_settings = document["services"].get(service)
        engine = service_settings.get("engine") if service_settings else None
        timeout_s = route["timeout_s"]
        if arrival.max_wait_s is not None:
            timeout_s = min(timeout_s, arrival.max_wait_s)
        return Plan(
            route,
            service,
            "engine" if engine else "service",
            service_settings.get("health_path", _ROOT_PATH) if service_settings else _ROOT_PATH,
            engine["tokens_per_event"] if engine else 1,
            workspace,
            self._rank_of(route, workspace),
            repeat_rules_of(route),
            arrival.at + timeout_s,
            self._configuration.revision,
            fingerprint_of(workspace, arrival.path, arrival.body),
            _traits_of(arrival, workspace, service),
        )

    def _rank_of(self, route: Route, workspace: str) -> int:
        document = self._configuration.document
        workspace_settings = document["workspaces"].get(workspace)
        if workspace_settings is None or workspace_settings["priority"] == RANK_OF_ROUTE:
            return route["rank"]
        return document["priorities"][workspace_settings["priority"]]["rank"]


def _traits_of(arrival: Arrival, workspace: str, service: str) -> Traits:
    parts = arrival.generation.parts if arrival.generation else ()
    return traits_of((part.name for part in parts[:-1]), workspace, service)


def _make_retryable_if_stale(refusal: Refusal, is_current: bool) -> Refusal:
    # An isolated host may lack a route or key that was added recently. A definite refusal would
    # make the caller stop retrying a valid request.
    if is_current:
        return refusal
    message = f"{refusal.message}, but this host may lack the newest configuration"
    return Refusal(
        ErrorKind.NOT_READY, message, refusal.field, retry_after=STALE_CONFIGURATION_RETRY_S
    )
