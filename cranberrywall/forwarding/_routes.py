"""Find the route of a request by its host and the longest prefix of its path."""

from typing import NamedTuple

from cranberrywall.configuration import Configuration, Document, Route

Table = dict[tuple[str, str], Route]


class RouteTable:
    """Follow the routes of the configuration in force."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._revision = -1
        self._route_by_prefix: Table = {}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``path``, which may have a query, at ``host``.

        Prefixes end with a slash, so only the parts of the path up to a slash are looked up:
        the cost follows the depth of the path and not the number of routes.
        """
        self._follow()
        end = path.partition("?")[0].rfind("/") + 1
        while end > 0:
            route = self._route_by_prefix.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def _follow(self) -> None:
        if self._revision != self._configuration.revision:
            self._revision = self._configuration.revision
            self._route_by_prefix = map_routes_by_prefix(self._configuration.document)


def map_routes_by_prefix(document: Document) -> Table:
    """Return the routes of a document by host and prefix."""
    return {(one["host"], one["prefix"]): one for one in document.get("routes", {}).values()}


def choose_service(route: Route, draw: float) -> str:
    """Return the service of a request; ``draw`` is a random number in [0, 1).

    >>> route = {"shares": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]}
    >>> choose_service(route, 0.5), choose_service(route, 0.95)
    ('a', 'b')
    """
    shares = route["shares"]
    left = draw * sum(share["weight"] for share in shares)
    for share in shares:
        left -= share["weight"]
        if left < 0:
            return share["service"]
    return shares[-1]["service"]


class Repeats(NamedTuple):
    """Say what may be repeated of a route's requests."""

    may_run_again: bool
    is_stream: bool


def repeats_of(route: Route) -> Repeats:
    """Return what may be repeated: a stream only from where it broke off, if at all."""
    is_stream = route["kind"] == "stream"
    may_run_again = route["is_resumable"] if is_stream else route["kind"] == "idempotent"
    return Repeats(may_run_again, is_stream)
