"""Define the shape of the configuration document; every section is keyed by name."""

from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Positive = Annotated[int, Meta(ge=1)]
Seconds = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class Key(TypedDict):
    """Hold one bearer key of a workspace, as its SHA-256 in hex; never the key itself."""

    sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


class Reach(TypedDict):
    """List the models and services that a workspace may call."""

    models: list[Name]
    services: list[Name]


RANK_OF_ROUTE = "rank-of-route"
"""The class of workspaces whose requests are ranked by their routes.

The class's own rank holds for requests that come by no route."""


class Workspace(TypedDict):
    """Describe one workspace.

    ``priority`` is the class used where a request names none; ``priorities`` are those it
    may name. ``concurrent`` bounds requests in progress on each entry host.
    """

    keys: dict[Name, Key]
    budget: Name
    reach: Reach
    priority: Name
    priorities: list[Name]
    policy: Name
    concurrent: Positive


class Budget(TypedDict):
    """Describe one prepaid budget; its money is in the ledger, not here.

    ``total`` is what it should have been credited in all: the ledger credits what is
    missing, and a lower one takes nothing back. Without it, operators credit by top-ups.
    """

    unit: Literal["tokens", "answers"]
    total: NotRequired[Annotated[int, Meta(ge=0)]]


class Priority(TypedDict):
    """Describe a class; a lower ``rank`` goes first.

    ``deadline_s`` is the time within which its requests must be answered, in seconds.
    """

    rank: Annotated[int, Meta(ge=0, le=9)]
    deadline_s: Seconds


class ColdStart(TypedDict):
    """Describe targets that have just started.

    For ``duration_s`` seconds, one accepts ``per_s`` requests a second from all hosts together.
    """

    duration_s: Seconds
    per_s: Annotated[float, Meta(gt=0)]


class Model(TypedDict):
    """Describe a model served by engines; ``output_limit`` is tokens per answer at most.

    ``version`` is the one that engines are ordered to load, on at least ``copies`` of them
    (1 where it is absent), each with ``adapters``.
    """

    version: Name
    output_limit: Positive
    context_limit: Positive
    copies: NotRequired[Positive]
    adapters: NotRequired[list[Name]]
    cold_start: NotRequired[ColdStart]


class Engine(TypedDict):
    """Describe the engines behind a service that requests are forwarded to.

    ``memory_tokens`` is the room for running requests and cached prompts together, and
    ``tokens_per_event`` how many tokens one event of a stream holds at most.
    """

    slots: Positive
    memory_tokens: Positive
    tokens_per_event: Positive


class Service(TypedDict):
    """Describe a plain service, or one whose requests are forwarded by routes.

    ``not_repeatable`` lists ``METHOD /path`` prefixes that may run at most once. ``cost``
    is what an answer costs in the budget's unit. ``connections`` bounds what a target takes
    from all hosts together, and ``engine`` is there where its targets are model engines.
    """

    not_repeatable: list[str]
    cost: Positive
    health_path: NotRequired[str]
    connections: NotRequired[Positive]
    engine: NotRequired[Engine]
    cold_start: NotRequired[ColdStart]


class RouteShare(TypedDict):
    """Send a share of a route's requests to a service, in proportion to ``weight``."""

    service: str
    weight: Annotated[int, Meta(ge=0)]


class Route(TypedDict):
    """Forward what callers send to ``host`` under ``prefix``, unchanged, to targets.

    ``kind`` says what may be repeated: of ``idempotent`` requests anything, of the others
    nothing, but for a ``stream`` that ``is_resumable``. ``attempts`` bounds the targets that
    one request may be sent to. A request is given up after ``timeout_s``; ``goal_s`` is the
    wanted time to the whole answer or the first event, and ``gap_goal_s`` the longest wanted
    pause between events. ``rank`` 0 goes first. A public route asks for no key.
    """

    name: str
    host: str
    prefix: str
    kind: Literal["idempotent", "non_idempotent", "stream"]
    shares: list[RouteShare]
    attempts: Positive
    timeout_s: Seconds
    goal_s: float
    gap_goal_s: float
    rank: Annotated[int, Meta(ge=0)]
    is_public: bool
    is_resumable: bool


class ArrivalLimits(TypedDict):
    """Bound what a caller may send, and how long it may take or stay idle."""

    header_bytes: Positive
    body_bytes: Positive
    header_timeout_s: Seconds
    idle_timeout_s: Seconds


class Place(TypedDict):
    """Describe a place: its region."""

    region: Name


class Evacuation(TypedDict):
    """Describe the last order about the evacuation of a place.

    While it ``is_active``, targets of the place get no requests. ``operator`` gave the order at
    ``at``, in seconds since the epoch. ``revision`` is the one that the order made: a later order
    has a higher one.
    """

    is_active: bool
    operator: str
    at: float
    revision: Positive


class Host(TypedDict):
    """Describe a host of the fleet; ``links`` and ``http`` are its addresses."""

    place: Name
    roles: list[Literal["entry", "control", "console"]]
    links: Address
    http: NotRequired[Address]
    disk: bool


class Policy(TypedDict):
    """Weigh overspend's margin against false refusals for the workspaces that name it.

    ``held_back`` is the share of a budget that the ledger keeps for shortages.
    ``isolated`` says what a host does with a settled charge when it reaches neither the
    ledger nor two peers and has no disk: ``refuse`` new work or ``spend`` what it holds.
    ``input_margin`` multiplies the estimate of input tokens (at least 1).
    """

    held_back: Share
    isolated: Literal["refuse", "spend"]
    input_margin: Annotated[float, Meta(ge=1)]


class WeightStore(TypedDict):
    """Bound the loads of model weights that may be in progress at once.

    It is the store's rate over what one engine draws from it while it loads.
    """

    concurrent_loads: Positive


class Document(TypedDict):
    """Hold the whole configuration."""

    workspaces: dict[Name, Workspace]
    budgets: dict[Name, Budget]
    priorities: dict[Name, Priority]
    models: dict[Name, Model]
    services: dict[Name, Service]
    places: dict[Name, Place]
    hosts: dict[Name, Host]
    policies: dict[Name, Policy]
    ledger_groups: Annotated[int, Meta(ge=1, le=64)]
    weight_store: NotRequired[WeightStore]
    routes: NotRequired[dict[str, Route]]
    arrival_limits: NotRequired[ArrivalLimits]
    evacuations: NotRequired[dict[Name, Evacuation]]
