"""Evidence of whether this host can connect to targets itself."""

from enum import Enum
from typing import NamedTuple

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

FAILED_S = 0.5
"""Time for which this host connects to no target for others after it failed, in seconds."""

MIN_FAILED_TARGETS = 2
"""Number of targets that failed in a row from which this host connects to none for others."""

MIN_UNANSWERED = 2
"""Number of connections in a row that broke before any target sent anything, from which on all
targets are bypassed."""

SAME_END_S = 0.1
"""Connections to one target on which requests waited this long, and which break within this time of
each other, count once, in seconds: a target that ends takes all its waiting requests with it."""

TRIAL_INTERVAL_S = 1.0
"""Interval at which one request is sent directly although connections break, in seconds."""

MIN_HANGS = 2
"""Number of connections in a row without an answer from which open connections are in doubt."""


class _Hangs(NamedTuple):
    in_a_row: int
    last_at: float


_NO_HANGS = _Hangs(0, float("-inf"))


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
        self._failed_at_by_target: dict[str, float] = {}
        self._connected_at = float("-inf")
        self._received_at = float("-inf")
        self._hangs_by_target: dict[str, _Hangs] = {}
        self._unanswered = 0
        self._unanswered_at = float("-inf")
        self._unanswered_target = ""
        self._next_probe_at_by_target: dict[str, float] = {}
        self._next_trial_at = float("-inf")

    def record_connected(self, target: str, now: float) -> None:
        """Record that a direct connection was established."""
        self._connected_at = now
        self._received_at = now
        self._bypassed_at_by_target.pop(target, None)
        self._failed_at_by_target.clear()
        self._hangs_by_target.pop(target, None)
        self._next_probe_at_by_target.pop(target, None)

    def record_failed(self, target: str, now: float) -> None:
        """Record that a direct connection was not established, or not in time."""
        self._failed_at_by_target[target] = now

    def can_connect(self, target: str, now: float) -> bool:
        """Return whether a direct connection to a target is likely to be established.

        If not, its cause may be this host, the target, or both: another host is asked in vain at
        worst.
        """
        if self.is_bypassed(target, now):
            return False
        recent = [failed for failed, at in self._failed_at_by_target.items() if now - at < FAILED_S]
        return target not in recent and len(recent) < MIN_FAILED_TARGETS

    def record_received(self, now: float) -> None:
        """Record that a target sent something on a direct connection."""
        self._received_at = now
        self._unanswered = 0

    def record_unanswered(self, target: str, waited_s: float, now: float) -> None:
        """Record that a direct connection with a request broke before the target sent anything."""
        is_same_end = target == self._unanswered_target and now - self._unanswered_at < SAME_END_S
        if not (is_same_end and self._unanswered and waited_s >= SAME_END_S):
            self._unanswered += 1
            self._unanswered_at = now
            self._unanswered_target = target

    def record_bypassed(self, target: str, is_hung: bool, now: float) -> None:
        """Record that a neighbour connected to a target that this host could not connect to.

        ``is_hung`` is true if the direct connection was not refused but had no answer.
        """
        self._bypassed_at_by_target[target] = now
        if is_hung:
            in_a_row = self._hangs_by_target.get(target, _NO_HANGS).in_a_row
            self._hangs_by_target[target] = _Hangs(in_a_row + 1, now)
        else:
            self._hangs_by_target.pop(target, None)

    def is_partitioned(self, now: float) -> bool:
        """Return whether this host counts as partitioned from all targets."""
        since = max(self._connected_at, now - BYPASS_RETENTION_S)
        bypassed = sum(at > since for at in self._bypassed_at_by_target.values())
        return bypassed >= MIN_BYPASSED_TARGETS or self._is_unanswered(now)

    def is_bypassed(self, target: str, now: float) -> bool:
        """Return whether new connections to a target lead through neighbours."""
        bypassed_at = self._bypassed_at_by_target.get(target, float("-inf"))
        return now - bypassed_at < BYPASS_RETENTION_S or self.is_partitioned(now)

    def choose_way(self, target: str, may_repeat: bool, now: float) -> Way:
        """Return how to connect to a target now; a probe of the direct path is recorded.

        ``may_repeat`` is true for a request that may be sent again if its connection breaks.
        """
        if not self.is_bypassed(target, now):
            return Way.DIRECT
        if self._is_unanswered(now):
            # Connections are established and break later, so only a request can be a probe.
            if not may_repeat or now < self._next_trial_at:
                return Way.NEIGHBOUR
            self._next_trial_at = now + TRIAL_INTERVAL_S
            return Way.DIRECT
        probed = "" if self.is_partitioned(now) else target
        if now < self._next_probe_at_by_target.get(probed, float("-inf")):
            return Way.NEIGHBOUR
        self._next_probe_at_by_target[probed] = now + PROBE_INTERVAL_S
        return Way.BOTH

    def has_hung(self, now: float) -> bool:
        """Return whether new connections to any target hang."""
        since = now - BYPASS_RETENTION_S
        return any(hangs.last_at > since for hangs in self._hangs_by_target.values())

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
        # One packet may have been lost, so a single connection without an answer proves nothing.
        hangs = self._hangs_by_target.get(target, _NO_HANGS)
        if hangs.in_a_row >= MIN_HANGS and now - hangs.last_at < BYPASS_RETENTION_S:
            return True
        since = max(now - BYPASS_RETENTION_S, self._connected_at)
        hung = sum(hangs.last_at > since for hangs in self._hangs_by_target.values())
        return hung >= MIN_BYPASSED_TARGETS

    def _is_unanswered(self, now: float) -> bool:
        """Return whether direct connections break although they are established."""
        is_recent = now - self._unanswered_at < BYPASS_RETENTION_S
        return is_recent and self._unanswered >= MIN_UNANSWERED

    def state(self, now: float) -> dict[str, object]:
        """Return the evidence for the state dump; ages are in seconds."""
        return {
            "is_partitioned": self.is_partitioned(now),
            "bypassed": sorted(self._bypassed_at_by_target),
            "connected_age_s": now - self._connected_at,
            "received_age_s": now - self._received_at,
        }
