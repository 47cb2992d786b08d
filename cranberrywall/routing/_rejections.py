"""Limits on the requests that brittle targets reject for want of room.

A brittle target falls over if it has to reject more than a number of requests a second, of all
hosts together. A host does not know what the others send. So that their rejections add up to less
than the number, each host that gets one keeps its requests at the target below what it had, for
the time in which its share of the number is one rejection, and lets the other hosts know at once.
"""

from collections.abc import Callable
from math import inf

from cranberrywall.hosts import Gossip, Item, Urgency
from cranberrywall.observability import EventLimiter, Metrics, log_event
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import DecimalField, TargetIncarnation

REJECTIONS_TOPIC = "target-rejections"

SAFETY_FACTOR = 2.0
"""Factor by which the hosts stay below the rejections that a target can take."""

MIN_HOLD_S = 1.0
"""Minimum time for which requests stay below what a rejection showed, in seconds."""

MAX_HOLD_S = 10.0
"""Maximum of that time, in seconds: the room at a target changes."""

JITTER_SHARE = 0.5
"""Maximum random extension of the time, as a share of it: hosts must not return together."""

SHARE_OF_CAPACITY = 0.9
"""Share of a brittle target's slots that the hosts try to use."""

MIN_INTERVAL_S = 0.1
"""Minimum time between two messages of a host about the rejections of a target, in seconds."""


class RejectionLimit:
    """Limit of this host's requests at one target.

    The target is brittle while ``per_s`` is set: the rejections a second that it can take from all
    hosts together. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self._ceiling = 0
        self._until = -inf

    def allows(self, in_flight: int, now: float) -> bool:
        """Return whether one more request may be sent beside ``in_flight`` requests."""
        return self.per_s is None or now >= self._until or in_flight < self._ceiling

    def record_rejected(self, in_flight: int, hosts: int, random: Random, now: float) -> None:
        """Record that a request was rejected beside ``in_flight`` others of this host."""
        if self.per_s is None:
            return
        hold_s = SAFETY_FACTOR * hosts / max(self.per_s, 1e-3)
        self._hold(in_flight, min(MAX_HOLD_S, hold_s), random, now)

    def record_rejected_elsewhere(self, in_flight: int, random: Random, now: float) -> None:
        """Record that the target rejected a request of another host."""
        if self.per_s is not None:
            self._hold(in_flight, MIN_HOLD_S, random, now)

    def _hold(self, ceiling: int, seconds: float, random: Random, now: float) -> None:
        self._ceiling = min(self._ceiling, ceiling) if now < self._until else ceiling
        seconds = max(MIN_HOLD_S, seconds) * (1.0 + JITTER_SHARE * random.random())
        self._until = max(self._until, now + seconds)


OnRejected = Callable[[TargetIncarnation], None]


class RejectionSpread:
    """Notify the other hosts of rejections of brittle targets, and receive theirs."""

    def __init__(self, host: str, gossip: Gossip | None, clock: Clock) -> None:
        self.rejected = 0
        self.received = 0
        self.unreadable = 0
        self._host = host
        self._gossip = gossip
        self._clock = clock
        self._published_at: dict[TargetIncarnation, float] = {}
        self._listeners: list[OnRejected] = []
        self._events = EventLimiter(clock.now)
        if gossip is not None:
            gossip.subscribe(REJECTIONS_TOPIC, self._receive)

    def subscribe(self, listener: OnRejected) -> None:
        """Call ``listener`` with each target that rejected a request of another host."""
        self._listeners.append(listener)

    def publish(self, incarnation: TargetIncarnation, request_id: str, now: float) -> None:
        """Notify the other hosts that a brittle target rejected a request of this one."""
        self.rejected += 1
        if now - self._published_at.get(incarnation, -inf) < MIN_INTERVAL_S:
            return
        self._published_at[incarnation] = now
        log_event(
            "INFO",
            "brittle_target_rejected",
            request=request_id,
            target=incarnation.target,
            incarnation=incarnation.incarnation,
        )
        self._publish(incarnation, self._host.encode())

    def export(self, metrics: Metrics) -> None:
        """Register the metrics of rejections by brittle targets."""
        metrics.counters_of(
            "brittle_target_events",
            "Rejections of brittle targets, and unreadable numbers in their answers.",
            "event",
            lambda: {
                "rejected": self.rejected,
                "received": self.received,
                "unreadable": self.unreadable,
            },
        )

    def expire(self, now: float) -> None:
        """Forget old messages; call it once a second."""
        for incarnation, at in list(self._published_at.items()):
            if now - at > MAX_HOLD_S:
                del self._published_at[incarnation]
                self._publish(incarnation, b"")

    def record_unreadable(self, incarnation: TargetIncarnation, field: DecimalField) -> None:
        """Record a number of rejections that is not a decimal number; it changes nothing."""
        self.unreadable += 1
        self._events.log(
            "WARNING",
            "target_rejections_unreadable",
            "no_decimal_number",
            target=incarnation.target,
            value=field.unreadable,
        )

    def _publish(self, incarnation: TargetIncarnation, payload: bytes) -> None:
        if self._gossip is None:
            return
        key = f"{incarnation.target}/{incarnation.incarnation}"
        version = (int(self._clock.wall() * 1000),)
        self._gossip.publish(Item(REJECTIONS_TOPIC, key, version, payload, urgency=Urgency.URGENT))

    def _receive(self, item: Item) -> None:
        if not item.payload or item.payload == self._host.encode():
            return
        target, _, incarnation = item.key.rpartition("/")
        if not incarnation.isdigit():
            return
        self.received += 1
        for listener in self._listeners:
            listener(TargetIncarnation(target, int(incarnation)))
