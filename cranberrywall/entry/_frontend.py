"""Interface of the HTTP frontend of an entry host, and the context that it uses."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from cranberrywall.budgets import HostAllotments, LedgerClient
from cranberrywall.configuration import HostConfiguration
from cranberrywall.hosts import LiveMembership
from cranberrywall.links import LinkCaller, LinkServer, Peer
from cranberrywall.observability import Metrics
from cranberrywall.quarantine import Quarantine
from cranberrywall.records import RecordClient
from cranberrywall.routing import TargetRouter
from cranberrywall.runtime import Runtime
from cranberrywall.targets import Announcement, Backoffs, Targets
from cranberrywall.tunnels import Paths


class FrontendContext(NamedTuple):
    """Components of the host that a frontend uses once the host has a configuration.

    ``publish`` disseminates an announcement that a target sent directly to this host.
    ``is_current`` returns whether this host has received no report of a configuration newer than
    the active one, and had contact with a control host recently. ``quarantine`` determines which
    requests must not be sent to targets. ``backoffs`` tracks the targets that requested that this
    host send nothing. ``settle`` is awaited with the current monotonic and wall-clock times before
    a request is decided; see ``StallDetector``. ``paths`` are those to the targets, directly and
    through neighbours. ``records`` are the facts that control hosts store for entry hosts.
    """

    me: Peer
    configuration: HostConfiguration
    membership: LiveMembership
    allotments: HostAllotments
    ledger: LedgerClient
    targets: Targets
    router: TargetRouter
    caller: LinkCaller
    server: LinkServer
    runtime: Runtime
    metrics: Metrics
    publish: Callable[[Announcement], None]
    is_current: Callable[[float], bool]
    quarantine: Quarantine
    backoffs: Backoffs
    settle: Callable[[float, float], Awaitable[None]]
    paths: Paths
    records: RecordClient


class Frontend(Protocol):
    """HTTP frontend that serves callers."""

    @property
    def running(self) -> int:
        """Return the number of requests in progress."""
        ...

    async def listen(self) -> None:
        """Bind the addresses when the process starts; raise ``OSError`` if that fails."""
        ...

    async def serve(self, context: FrontendContext) -> None:
        """Start to serve, once the host has a configuration."""
        ...

    def start_draining(self) -> None:
        """Direct callers to other hosts; requests that still arrive are served."""
        ...

    def idle_duration_s(self, now: float) -> float:
        """Return the time since the last request arrived, in seconds."""
        ...

    async def stop_listening(self) -> None:
        """Stop accepting new connections."""
        ...

    def remaining_s(self, now: float) -> float | None:
        """Return how long requests may still run on a host that drains, in seconds.

        ``None`` if nothing limits them but their deadlines.
        """
        ...

    async def finish(self) -> None:
        """Return once no request is in progress."""
        ...

    async def close(self) -> None:
        """Close every connection."""
        ...
