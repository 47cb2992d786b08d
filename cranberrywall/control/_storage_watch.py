"""End a control host's process once a disk that failed takes writes again.

After a failed write nobody knows what the files hold, so that a group's member takes part no more
until a restart has read them anew. Where nobody restarted it, a disk that was full for some
seconds cost the groups a member for good, and the next loss their majority.
"""

from collections.abc import Callable, Sequence

from cranberrywall.errors import ErrorKind
from cranberrywall.observability import log_event
from cranberrywall.replication import Replica
from cranberrywall.runtime import Clock, Storage

LOOK_EVERY_S = 0.5
"""A disk that failed is tried this often, in seconds: one small write."""

EXIT_RESTART = 75
"""The exit code that asks to be started again, as for a temporary failure in ``sysexits``."""

_PROBE = "storage-probe"
_PROBE_BYTES = bytes(4096)


class StorageMonitor:
    """Watch the groups' members of one host; ``restart`` ends the process."""

    def __init__(
        self,
        groups: Sequence[Replica],
        storage: Storage,
        clock: Clock,
        restart: Callable[[], object],
    ) -> None:
        self._groups = groups
        self._storage = storage
        self._clock = clock
        self._restart = restart

    async def run(self) -> None:
        """Return once the process was told to end."""
        while not (self._has_failed() and await self._takes_writes()):
            await self._clock.sleep(LOOK_EVERY_S)
        log_event("WARNING", "storage_works_again", action="restart")
        self._restart()

    def _has_failed(self) -> bool:
        failures = [group.failure for group in self._groups]
        # Damaged files are for an operator: a restart would find them as they are.
        return any(one is not None and one.kind is ErrorKind.STORAGE_FAILED for one in failures)

    async def _takes_writes(self) -> bool:
        try:
            await self._storage.run_blocking(lambda: self._storage.replace(_PROBE, _PROBE_BYTES))
            await self._storage.run_blocking(lambda: self._storage.remove(_PROBE))
        except OSError as error:
            log_event("INFO", "storage_fails_still", reason=str(error))
            return False
        return True
