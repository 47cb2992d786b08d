"""Route lookup by a request's host and the longest matching prefix of its path."""

from typing import NamedTuple

from cranberrywall.configuration import Configuration, Document, Route

RouteByPrefix = dict[tuple[str, str], Route]


class RouteTable:
    """Index the routes of the active configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._revision = -1
        self._route_by_prefix: RouteByPrefix = {}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``path``, which may include a query, at ``host``.

        Prefixes end with a slash, so only the parts of the path that end with a slash are looked
        up. The cost depends on the depth of the path and not on the number of routes.
        """
        self._refresh()
        end = path.partition("?")[0].rfind("/") + 1
        while end > 0:
            route = self._route_by_prefix.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def _refresh(self) -> None:
        if self._revision != self._configuration.revision:
            self._revision = self._configuration.revision
            self._route_by_prefix = map_routes_by_prefix(self._configuration.document)


def map_routes_by_prefix(document: Document) -> RouteByPrefix:
    """Return the routes of a document by host and prefix."""
    return {
        (route["host"], route["prefix"]): route for route in document.get("routes", {}).values()
    }


def choose_service(route: Route, random_fraction: float) -> str:
    """Return the service of a request; ``random_fraction`` is uniform in [0, 1).

    >>> route = {"shares": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]}
    >>> choose_service(route, 0.5), choose_service(route, 0.95)
    ('a', 'b')
    """
    shares = route["shares"]
    remaining_weight = random_fraction * sum(share["weight"] for share in shares)
    for share in shares:
        remaining_weight -= share["weight"]
        if remaining_weight < 0:
            return share["service"]
    return shares[-1]["service"]


class RepeatRules(NamedTuple):
    """Rules for repeating the requests of a route."""

    may_run_again: bool
    is_stream: bool


def repeat_rules_of(route: Route) -> RepeatRules:
    """Return the rules of a route; an interrupted stream may at most be resumed."""
    is_stream = route["kind"] == "stream"
    may_run_again = route["is_resumable"] if is_stream else route["kind"] == "idempotent"
    return RepeatRules(may_run_again, is_stream)
