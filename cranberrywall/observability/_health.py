"""Say truly whether a process is well and whether it is ready for work."""

from collections.abc import Callable

Check = Callable[[], str | None]


class HealthChecks:
    """Hold the checks by name; each returns ``None``, or the reason why it fails.

    A process is healthy where every check of health passes: when one fails, only a restart
    or an operator helps. It is ready where every check of either sort passes.
    """

    def __init__(self) -> None:
        self._health_by_name: dict[str, Check] = {}
        self._readiness_by_name: dict[str, Check] = {}

    def add_health(self, name: str, check: Check) -> None:
        """Register a check of health."""
        self._health_by_name[name] = check

    def add_readiness(self, name: str, check: Check) -> None:
        """Register a check of readiness."""
        self._readiness_by_name[name] = check

    def unhealthy(self) -> dict[str, str]:
        """Return the reasons of the failed checks of health, by name."""
        return _failures(self._health_by_name)

    def unready(self) -> dict[str, str]:
        """Return the reasons of all failed checks, by name."""
        return _failures({**self._health_by_name, **self._readiness_by_name})


def _failures(check_by_name: dict[str, Check]) -> dict[str, str]:
    failures = {}
    for name, check in check_by_name.items():
        reason = _run(check)
        if reason is not None:
            failures[name] = reason
    return failures


def _run(check: Check) -> str | None:
    # A check that cannot tell has not found the process well.
    try:
        return check()
    except Exception as error:
        return f"the check raised {type(error).__name__}: {error}"
