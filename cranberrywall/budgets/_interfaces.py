"""Define what requests use of budgets on an entry host, and what budgets use of others."""

from collections.abc import Sequence
from typing import Any, Literal, NamedTuple, Protocol

from result import Result

from cranberrywall.errors import Refusal
from cranberrywall.observability import Metrics


class ReserveRequest(NamedTuple):
    """Ask for money for one request.

    ``bound`` is the most the request can cost, in the budget's unit (tokens, or 1 for
    answered requests). ``deadline`` is in monotonic seconds: waiting ends there.
    """

    workspace: str
    budget: str
    request_id: str
    bound: int
    deadline: float


class Reservation(Protocol):
    """Hold money for one request until it is settled or released, exactly once."""

    @property
    def bound(self) -> int:
        """Return the amount held."""
        ...

    async def begin(self, now: float) -> Result[None, Refusal]:
        """Charge the whole amount before a target can begin to work for the request.

        Without it, a process that is lost before ``settle`` leaves no trace of what its
        requests used, and the money is spent a second time. It returns once the charge is
        durable, as ``settle`` does; on ``Err`` the request must not be sent. ``settle`` then
        gives back what the request did not cost.
        """
        ...

    async def settle(self, actual: int, now: float) -> Result[None, Refusal]:
        """Charge ``actual`` (at most ``bound``) and free the rest.

        It returns once the charge is durable: committed at the ledger, or, where the
        ledger is out of reach, synced to this host's disk or held by two peers.
        """
        ...

    def release(self, now: float) -> None:
        """Free the whole amount: the request did not run."""
        ...


class Allotments(Protocol):
    """Spend from the amounts that this host holds."""

    async def reserve(self, request: ReserveRequest, now: float) -> Result[Reservation, Refusal]:
        """Hold ``request.bound``, without a message where the allotment covers it.

        ``Err`` is ``BUDGET_EXHAUSTED`` where the ledger said so, or
        ``BUDGET_UNREACHABLE`` where it could not be asked.
        """
        ...


class HostAllotments(Allotments, Protocol):
    """Hold one host's allotments through one run of its process."""

    def try_reserve(self, request: ReserveRequest, now: float) -> Reservation | None:
        """Hold ``request.bound`` where this host's allotment covers it, without waiting.

        ``None`` says only that ``reserve`` must be awaited; it is not a refusal.
        """
        ...

    async def start(self) -> Result[None, Refusal]:
        """Recover what an earlier run on this host left, and begin to work.

        ``Err`` is ``CORRUPT`` where the journal is damaged: the host must not serve.
        """
        ...

    async def stop(self) -> None:
        """End this host's tasks; what it holds stays booked to it at the ledger."""
        ...

    async def hand_back(self) -> Result[None, Refusal]:
        """Commit every charge and return what this host holds, for a graceful exit."""
        ...

    def state(self) -> dict[str, Any]:
        """Describe what this host holds, for the state dump."""
        ...

    def export(self, metrics: Metrics) -> None:
        """Export what this host holds, and what waits, as metrics; call it once."""
        ...


class SpendPolicy(NamedTuple):
    """Weigh overspend's margin against false refusals for one workspace.

    ``held_back`` is the share of what is left that stays at the ledger. ``isolated``
    says what a host does that can make no charge durable: ``refuse`` or ``spend``.
    """

    held_back: float = 0.1
    isolated: Literal["refuse", "spend"] = "refuse"


class BudgetAssignment(NamedTuple):
    """Name a budget, and a workspace that spends it.

    ``total`` is what the configuration says is credited in all; 0 where it does not say.
    """

    budget: str
    workspace: str
    total: int = 0


class Policies(Protocol):
    """Look up the policy in force."""

    def spend_policy(self, workspace: str) -> SpendPolicy:
        """Return the workspace's policy; the default one where it names none."""
        ...

    def budget_assignments(self) -> Sequence[BudgetAssignment]:
        """Return the budgets of which each host should hold a share before it is asked for."""
        ...

    def allows_isolated_spend(self) -> bool:
        """Say whether any workspace's policy lets a host spend that is alone."""
        ...


class PeerHost(Protocol):
    """Describe another entry host; ``hosts.HostView`` satisfies it."""

    @property
    def host(self) -> str:
        """Return the host's name."""
        ...

    @property
    def place(self) -> str:
        """Return the host's place."""
        ...

    @property
    def links(self) -> str:
        """Return the address of its streams."""
        ...

    @property
    def incarnation(self) -> int:
        """Return the run of the host that is meant."""
        ...


class EntryHost(NamedTuple):
    """Describe an entry host of the configuration in force."""

    host: str
    place: str
    disk: bool


class Peers(Protocol):
    """Know the entry hosts in reach; ``hosts.Membership`` satisfies it."""

    def alive(self) -> Sequence[PeerHost]:
        """Return the hosts that are alive; this one may be among them."""
        ...
