"""Restart of a control host's process once a disk that failed accepts writes again.

After a failed write the content of the files is unknown, so the group's member on this host stays
inactive until a restart has read them again. Without an automatic restart, a disk that was full
for some seconds cost the groups a member permanently, and the next loss cost them their majority.
"""

from collections.abc import Callable, Sequence

from cranberrywall.errors import ErrorKind
from cranberrywall.observability import log_event
from cranberrywall.replication import Replica
from cranberrywall.runtime import Clock, Storage

CHECK_INTERVAL_S = 0.5
"""Interval between checks of a disk that failed, in seconds; a check is one small write."""

EXIT_RESTART = 75
"""Exit code that asks the supervisor for a restart: ``EX_TEMPFAIL`` of ``sysexits``."""

_PROBE = "storage-probe"
_PROBE_BYTES = bytes(4096)


class StorageMonitor:
    """Monitors the groups' members of one host; ``restart`` ends the process."""

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
        """Wait until a disk that failed accepts writes again; then call ``restart`` and return."""
        while not (self._has_failed() and await self._can_write()):
            await self._clock.sleep(CHECK_INTERVAL_S)
        log_event("WARNING", "storage_works_again", action="restart")
        self._restart()

    def _has_failed(self) -> bool:
        failures = [group.failure for group in self._groups]
        # Damaged files need an operator: a restart does not change them.
        return any(
            failure is not None and failure.kind is ErrorKind.STORAGE_FAILED for failure in failures
        )

    async def _can_write(self) -> bool:
        try:
            await self._storage.run_blocking(lambda: self._storage.replace(_PROBE, _PROBE_BYTES))
            await self._storage.run_blocking(lambda: self._storage.remove(_PROBE))
        except OSError as error:
            log_event("INFO", "storage_fails_still", reason=str(error))
            return False
        return True
