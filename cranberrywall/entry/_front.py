"""Define what serves callers on an entry host, and what it is given to do so."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from cranberrywall.budgets import HostAllotments, LedgerClient
from cranberrywall.configuration import HostConfiguration
from cranberrywall.hosts import LiveMembership
from cranberrywall.links import LinkCaller, LinkServer, Peer
from cranberrywall.observability import Metrics
from cranberrywall.quarantine import Quarantine
from cranberrywall.routing import TargetRouter
from cranberrywall.runtime import Runtime
from cranberrywall.targets import Announcement, Backoffs, Targets


class FrontendContext(NamedTuple):
    """Hold what a front uses of its host once there is a configuration to serve by.

    ``publish`` passes on what a target said at first hand. ``is_current`` says whether no
    newer configuration than the one in force is known, and control was heard of lately.
    ``quarantine`` says which requests must not go to targets, ``backoffs`` which
    targets asked this host for none. ``settle`` is awaited with the
    present times before a request is decided; see ``StallDetector``.
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


class Frontend(Protocol):
    """Serve callers over HTTP."""

    @property
    def running(self) -> int:
        """Return how many requests are in progress."""
        ...

    async def listen(self) -> None:
        """Bind the addresses as the process starts, or raise ``OSError``."""
        ...

    async def serve(self, context: FrontendContext) -> None:
        """Begin to serve: there is a configuration now."""
        ...

    def start_draining(self) -> None:
        """Send callers elsewhere; those that still come are served."""
        ...

    def idle_duration_s(self, now: float) -> float:
        """Return for how long no request has arrived, in seconds."""
        ...

    async def stop_listening(self) -> None:
        """Accept no new connection."""
        ...

    async def finish(self) -> None:
        """Return once no request is in progress."""
        ...

    async def close(self) -> None:
        """Close every connection."""
        ...
