"""Judge a target by what its requests and probes show, and let it back in gently.

Times are monotonic seconds.
"""

from math import exp

from cranberrywall.runtime import Random

FAILURES_IN_A_ROW = 3
"""So many failures without an answer between them eject a target."""

FAILURE_SHARE = 0.5
"""A smoothed share of failures above this ejects a target."""

SHARE_LEARNING = 0.1
"""Weight of one outcome in the share of failures."""

FAILURE_FADE_S = 10.0
"""The share of failures fades with this time constant, in seconds."""

FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 120.0

FORGIVEN_S = 120.0
"""After this long in use without ejection the next one is short again, in seconds."""

SILENCE_S = 5.0
"""A target that owes a first token and says nothing at all this long is silent."""

SLOW_START_S = 10.0
"""A target that joins or comes back gets its full share only after this long, in seconds."""

SLOW_START_FROM = 0.2


class Health:
    """Hold the evidence on one target."""

    def __init__(self, since: float, slow_start: bool) -> None:
        self._since = since if slow_start else since - SLOW_START_S
        self._failures_in_a_row = 0
        self._failure_share = 0.0
        self._judged_at = since
        self._ejected_until = 0.0
        self._ejections = 0
        self._on_trial = False
        self._owed = 0
        self._heard_at = since

    def failure_share(self, now: float) -> float:
        """Return the smoothed share of failures among the outcomes.

        It fades with time: a target that is avoided for its failures has no outcomes that
        could show that it is well again.
        """
        return self._failure_share * exp(-max(0.0, now - self._judged_at) / FAILURE_FADE_S)

    def is_ejected(self, now: float) -> bool:
        """Say whether the target is set aside."""
        return now < self._ejected_until

    def is_on_trial(self, now: float) -> bool:
        """Say whether the target is back but has not answered yet: one request at a time."""
        return self._on_trial and not self.is_ejected(now)

    def is_unresponsive(self, now: float) -> bool:
        """Say whether the target owes first tokens and has said nothing for too long."""
        # A target that accepts and never answers has no outcomes to count for as long as
        # callers wait, while its requests seem merely to run. Only its silence shows it.
        return self._owed > 0 and now - self._heard_at > SILENCE_S

    def capacity_share(self, now: float) -> float:
        """Return the share of capacity to use: it rises slowly after a start."""
        age = max(0.0, now - self._since)
        return min(1.0, SLOW_START_FROM + (1.0 - SLOW_START_FROM) * age / SLOW_START_S)

    def record_sent(self, now: float) -> None:
        """Note a request that the target now owes a first token for."""
        if self._owed == 0:
            self._heard_at = now
        self._owed += 1

    def record_response(self, now: float) -> None:
        """Note a first token, or the end of a request without one."""
        self._owed -= 1
        self._heard_at = now

    def record_abandoned(self) -> None:
        """Note that a first token is no longer waited for; it is no sign of life."""
        self._owed -= 1

    def answered(self, now: float) -> None:
        """Note a whole answer."""
        self._failures_in_a_row = 0
        self._failure_share = (1.0 - SHARE_LEARNING) * self.failure_share(now)
        self._judged_at = now
        if self._on_trial:
            self._on_trial = False
            self._since = now
        if now - self._since > FORGIVEN_S:
            self._ejections = 0

    def failed(self, now: float, may_eject: bool, random: Random) -> bool:
        """Note a failure; return whether the target is now ejected for it.

        ``may_eject`` is false where too many targets are ejected already.
        """
        self._failures_in_a_row += 1
        share = self.failure_share(now)
        self._failure_share = share + SHARE_LEARNING * (1.0 - share)
        self._judged_at = now
        if self.is_ejected(now):
            return False
        too_many = self._failures_in_a_row >= FAILURES_IN_A_ROW
        if not may_eject or not (self._on_trial or too_many or self._failure_share > FAILURE_SHARE):
            return False
        self._eject(now, random)
        return True

    def record_probe(self, well: bool, now: float) -> None:
        """Take in a probe of an ejected target: an answer ends the ejection."""
        if well and self.is_ejected(now):
            self._ejected_until = now

    def _eject(self, now: float, random: Random) -> None:
        seconds = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**self._ejections)
        # Jitter: hosts that ejected a target at the same time must not all come back to
        # it at the same time.
        self._ejected_until = now + seconds * random.uniform(0.75, 1.25)
        self._ejections += 1
        self._failures_in_a_row = 0
        self._failure_share = 0.0
        self._on_trial = True
