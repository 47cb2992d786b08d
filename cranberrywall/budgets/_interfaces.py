"""Define the interfaces between requests, budgets and other hosts on an entry host."""

from collections.abc import Sequence
from typing import Any, Literal, NamedTuple, Protocol

from result import Result

from cranberrywall.errors import Refusal
from cranberrywall.observability import Metrics


class ReserveRequest(NamedTuple):
    """Request to reserve money for one request.

    ``bound`` is the maximum cost of the request in the budget's unit (tokens, or 1 for answered
    requests). ``deadline`` is in monotonic seconds; waiting ends then.
    """

    workspace: str
    budget: str
    request_id: str
    bound: int
    deadline: float


class Reservation(Protocol):
    """Money reserved for one request until it is settled or released, exactly once."""

    @property
    def bound(self) -> int:
        """Return the reserved amount."""
        ...

    async def begin(self, now: float) -> Result[None, Refusal]:
        """Charge the full amount before a target can start to work on the request.

        Otherwise, if a process is lost before ``settle``, there is no record of what its requests
        used, and the money is spent a second time. The method returns once the charge is durable,
        as ``settle`` does; on ``Err`` the request must not be sent. ``settle`` then refunds what
        the request did not cost.
        """
        ...

    async def settle(self, actual: int, now: float) -> Result[None, Refusal]:
        """Charge ``actual`` (at most ``bound``) and free the rest.

        The method returns once the charge is durable: committed at the ledger or, if the ledger is
        out of reach, synced to this host's disk or stored by two peers.
        """
        ...

    def release(self, now: float) -> None:
        """Free the full amount, because the request did not run."""
        ...


class Allotments(Protocol):
    """Reserve money from the amounts that this host holds."""

    async def reserve(self, request: ReserveRequest, now: float) -> Result[Reservation, Refusal]:
        """Reserve ``request.bound``, without a message if the allotment covers it.

        ``Err`` is ``BUDGET_EXHAUSTED`` if the ledger reported that, or ``BUDGET_UNREACHABLE`` if it
        could not be asked.
        """
        ...


class HostAllotments(Allotments, Protocol):
    """Allotments of one host, during one incarnation."""

    def try_reserve(self, request: ReserveRequest, now: float) -> Reservation | None:
        """Reserve ``request.bound`` if this host's allotment covers it, without waiting.

        ``None`` means only that ``reserve`` must be awaited; it is not a refusal.
        """
        ...

    async def start(self) -> Result[None, Refusal]:
        """Recover the records of earlier incarnations on this host, and start the tasks.

        ``Err`` is ``CORRUPT`` if the journal is damaged: the host must not serve then.
        """
        ...

    async def stop(self) -> None:
        """Stop this host's tasks; what it holds stays booked to it at the ledger."""
        ...

    async def hand_back(self) -> Result[None, Refusal]:
        """Commit every charge and return what this host holds, for a graceful exit."""
        ...

    @property
    def uncommitted(self) -> int:
        """Return the number of charges and transfers that the ledger has not confirmed."""
        ...

    def state(self) -> dict[str, Any]:
        """Return what this host holds, for the state dump."""
        ...

    def export(self, metrics: Metrics) -> None:
        """Export metrics of held amounts and queues; call it once."""
        ...


class SpendPolicy(NamedTuple):
    """Trade-off between the risk of overspending and false refusals, for one workspace.

    ``held_back`` is the share of the unspent money that stays at the ledger. ``isolated`` is what a
    host does if it cannot make any charge durable: ``refuse`` or ``spend``.
    """

    held_back: float = 0.1
    isolated: Literal["refuse", "spend"] = "refuse"


class BudgetAssignment(NamedTuple):
    """A budget, and a workspace that spends it.

    ``total`` is the total credit that the configuration names; 0 if it names none.
    """

    budget: str
    workspace: str
    total: int = 0


class Policies(Protocol):
    """Look up the active policy."""

    def spend_policy(self, workspace: str) -> SpendPolicy:
        """Return the workspace's policy; the default policy if it names none."""
        ...

    def configured_total(self, budget: str) -> int:
        """Return the total up to which the configuration credits a budget; 0 if it sets none."""
        ...

    def budget_assignments(self) -> Sequence[BudgetAssignment]:
        """Return the budgets of which each host should hold a share before the first request."""
        ...

    def allows_isolated_spend(self) -> bool:
        """Return whether any workspace's policy allows an isolated host to spend."""
        ...


class PeerHost(Protocol):
    """Another entry host; ``hosts.HostView`` satisfies this protocol."""

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
        """Return the address of the host's streams."""
        ...

    @property
    def incarnation(self) -> int:
        """Return the incarnation of the host that this object describes."""
        ...


class EntryHost(NamedTuple):
    """An entry host of the active configuration."""

    host: str
    place: str
    disk: bool


class Peers(Protocol):
    """Entry hosts in reach; ``hosts.Membership`` satisfies this protocol."""

    def alive(self) -> Sequence[PeerHost]:
        """Return the hosts that are alive; this host may be among them."""
        ...
