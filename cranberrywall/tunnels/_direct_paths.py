"""Evidence of whether this host can connect to targets itself."""

from enum import Enum

MIN_BYPASSED_TARGETS = 3
"""Number of targets bypassed in a row from which this host counts as partitioned from all."""

BYPASS_RETENTION_S = 10.0
"""Time for which a bypassed target is remembered, in seconds."""

PROBE_INTERVAL_S = 0.25
"""Interval between direct connections to bypassed targets, in seconds."""

EVIDENCE_TTL_S = 0.5
"""Time for which data from any target shows that open connections work, in seconds."""

UNRESPONSIVE_S = 0.4
"""Time without data after which an open connection is lost if new ones hang, in seconds."""


class Way(Enum):
    """How to connect to a target: on ``BOTH`` paths at once, the first connection is used."""

    DIRECT = "direct"
    NEIGHBOUR = "neighbour"
    BOTH = "both"


class DirectPaths:
    """Decide whether direct connections to targets are worth trying.

    A target is bypassed if this host could not connect to it and a neighbour could at the same
    time. A target that no host can connect to is not bypassed: the fault is its own.
    """

    def __init__(self) -> None:
        self._bypassed_at_by_target: dict[str, float] = {}
        self._connected_at = float("-inf")
        self._received_at = float("-inf")
        self._hung_at_by_target: dict[str, float] = {}
        self._next_probe_at_by_target: dict[str, float] = {}

    def record_connected(self, target: str, now: float) -> None:
        """Record that a direct connection was established."""
        self._connected_at = now
        self._received_at = now
        self._bypassed_at_by_target.pop(target, None)
        self._hung_at_by_target.pop(target, None)
        self._next_probe_at_by_target.pop(target, None)

    def record_received(self, now: float) -> None:
        """Record that a target sent something on a direct connection."""
        self._received_at = now

    def record_bypassed(self, target: str, is_hung: bool, now: float) -> None:
        """Record that a neighbour connected to a target that this host could not connect to.

        ``is_hung`` is true if the direct connection was not refused but had no answer.
        """
        self._bypassed_at_by_target[target] = now
        if is_hung:
            self._hung_at_by_target[target] = now
        else:
            self._hung_at_by_target.pop(target, None)

    def is_partitioned(self, now: float) -> bool:
        """Return whether this host counts as partitioned from all targets."""
        since = max(self._connected_at, now - BYPASS_RETENTION_S)
        bypassed = sum(at > since for at in self._bypassed_at_by_target.values())
        return bypassed >= MIN_BYPASSED_TARGETS

    def is_bypassed(self, target: str, now: float) -> bool:
        """Return whether new connections to a target lead through neighbours."""
        bypassed_at = self._bypassed_at_by_target.get(target, float("-inf"))
        return now - bypassed_at < BYPASS_RETENTION_S or self.is_partitioned(now)

    def choose_way(self, target: str, now: float) -> Way:
        """Return how to connect to a target now; a probe of the direct path is recorded."""
        if not self.is_bypassed(target, now):
            return Way.DIRECT
        probed = "" if self.is_partitioned(now) else target
        if now < self._next_probe_at_by_target.get(probed, float("-inf")):
            return Way.NEIGHBOUR
        self._next_probe_at_by_target[probed] = now + PROBE_INTERVAL_S
        return Way.BOTH

    def has_hung(self, now: float) -> bool:
        """Return whether new connections to any target hang."""
        since = now - BYPASS_RETENTION_S
        return any(at > since for at in self._hung_at_by_target.values())

    def may_reuse_connection(self, target: str, now: float) -> bool:
        """Return whether an idle direct connection may be used for another request."""
        return now - self._received_at < EVIDENCE_TTL_S and not self._hangs(target, now)

    def is_unresponsive(self, target: str, received_at: float, now: float) -> bool:
        """Return whether a connection is lost on which nothing arrived since ``received_at``.

        If new connections are refused, open ones are either closed or work.
        """
        return self._hangs(target, now) and now - received_at > UNRESPONSIVE_S

    def _hangs(self, target: str, now: float) -> bool:
        """Return whether new connections to a target have no answer."""
        since = now - BYPASS_RETENTION_S
        if self._hung_at_by_target.get(target, float("-inf")) > since:
            return True
        since = max(since, self._connected_at)
        return self.is_partitioned(now) and any(
            at > since for at in self._hung_at_by_target.values()
        )

    def state(self, now: float) -> dict[str, object]:
        """Return the evidence for the state dump; ages are in seconds."""
        return {
            "is_partitioned": self.is_partitioned(now),
            "bypassed": sorted(self._bypassed_at_by_target),
            "connected_age_s": now - self._connected_at,
            "received_age_s": now - self._received_at,
        }
