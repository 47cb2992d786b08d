"""Health of a target: outlier ejection by requests and probes, and slow start afterwards.

Times are monotonic seconds.
"""

from math import exp

from cranberrywall.runtime import Random

CONSECUTIVE_FAILURES_TO_EJECT = 3
"""Number of consecutive failures that ejects a target."""

MAX_FAILURE_SHARE = 0.5
"""A target is ejected if its smoothed share of failures exceeds this."""

FAILURE_SHARE_SMOOTHING = 0.1
"""Exponential smoothing factor of the share of failures: the weight of one outcome."""

FAILURE_DECAY_S = 10.0
"""Time constant with which the share of failures decays, in seconds."""

MIN_EJECTION_S = 5.0
MAX_EJECTION_S = 120.0

EJECTION_RESET_S = 120.0
"""The ejection time is reset to the shortest one after this time without ejection, in seconds."""

UNRESPONSIVE_TIMEOUT_S = 5.0
"""Time without any response after which a target that owes a first token is unresponsive, in
seconds."""

SLOW_START_DURATION_S = 10.0
"""Time until a target that joins or returns gets its full share of requests, in seconds."""

SLOW_START_MIN_SHARE = 0.2


class Health:
    """Health record of one target: its recent failures, its ejections and its owed first tokens."""

    def __init__(self, since: float, slow_start: bool) -> None:
        self._since = since if slow_start else since - SLOW_START_DURATION_S
        self._consecutive_failures = 0
        self._failure_share = 0.0
        self._failure_share_at = since
        self._ejected_until = 0.0
        self._ejections = 0
        self._failed_at = float("-inf")
        self._ejected_at = float("-inf")
        self._on_trial = False
        self._owed_tokens = 0
        self._last_response_at = since

    def failure_share(self, now: float) -> float:
        """Return the smoothed share of failures among the outcomes.

        The share decays with time: a target that is avoided because of its failures has no outcomes
        that could show that it works again.
        """
        return self._failure_share * exp(-max(0.0, now - self._failure_share_at) / FAILURE_DECAY_S)

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected."""
        return now < self._ejected_until

    def is_on_trial(self, now: float) -> bool:
        """Return whether the target must answer one request first, since its ejection is over."""
        return self._on_trial and not self.is_ejected(now)

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the target owes first tokens and has sent nothing for too long."""
        # A target that accepts requests and never answers produces no outcomes for as long as
        # callers wait; its requests seem to be running. Only the missing response shows the fault.
        return self._owed_tokens > 0 and now - self._last_response_at > UNRESPONSIVE_TIMEOUT_S

    def capacity_share(self, now: float) -> float:
        """Return the share of capacity to use: it rises linearly during the slow start."""
        age = max(0.0, now - self._since)
        return min(
            1.0, SLOW_START_MIN_SHARE + (1.0 - SLOW_START_MIN_SHARE) * age / SLOW_START_DURATION_S
        )

    def record_sent(self, now: float) -> None:
        """Record a request for which the target now owes a first token."""
        if self._owed_tokens == 0:
            self._last_response_at = now
        self._owed_tokens += 1

    def record_response(self, now: float) -> None:
        """Record a first token, or the end of a request without one."""
        self._owed_tokens -= 1
        self._last_response_at = now

    def record_abandoned(self) -> None:
        """Record that this host stopped waiting for a first token; this is not a response."""
        self._owed_tokens -= 1

    def answered(self, now: float) -> None:
        """Record a complete answer."""
        self._consecutive_failures = 0
        self._failure_share = (1.0 - FAILURE_SHARE_SMOOTHING) * self.failure_share(now)
        self._failure_share_at = now
        if self._on_trial:
            self._on_trial = False
            self._since = now
        if now - self._since > EJECTION_RESET_S:
            self._ejections = 0

    def failed(self, now: float, may_eject: bool, random: Random) -> bool:
        """Record a failure; return whether the target is now ejected because of it.

        ``may_eject`` is false if too many targets are ejected already.
        """
        self._failed_at = now
        self._consecutive_failures += 1
        share = self.failure_share(now)
        self._failure_share = share + FAILURE_SHARE_SMOOTHING * (1.0 - share)
        self._failure_share_at = now
        if self.is_ejected(now):
            return False
        too_many_failures = self._consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
        if not may_eject or not (
            self._on_trial or too_many_failures or self._failure_share > MAX_FAILURE_SHARE
        ):
            return False
        self._eject(now, random)
        return True

    def record_probe(self, is_healthy: bool, now: float) -> None:
        """Record a probe of an ejected target: a successful one ends the ejection."""
        if is_healthy and self.is_ejected(now):
            self._ejected_until = now

    def forgive_failures(self, since: float) -> None:
        """Discard the failures since a time: their cause was not the target."""
        if self._failed_at < since:
            return
        self._consecutive_failures = 0
        self._failure_share = 0.0
        if self._ejected_at >= since:
            self._ejected_until = 0.0
            self._ejections -= 1
            self._on_trial = False

    def _eject(self, now: float, random: Random) -> None:
        seconds = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**self._ejections)
        # Jitter: hosts that ejected a target at the same time must not all return to it at the same
        # time.
        self._ejected_until = now + seconds * random.uniform(0.75, 1.25)
        self._ejected_at = now
        self._ejections += 1
        self._consecutive_failures = 0
        self._failure_share = 0.0
        self._on_trial = True
