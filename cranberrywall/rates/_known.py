"""Keep the rates that targets named, the same on all hosts.

Times are monotonic seconds of this host. They order nothing: hosts' clocks differ, and an answer
may be slow on its way. What orders is what the sender of a request knew when it sent it.
"""

from collections.abc import Callable
from typing import NamedTuple

from cranberrywall.hosts import Gossip, Item, Urgency
from cranberrywall.links import MalformedMessageError
from cranberrywall.observability import EventLimiter, log_event
from cranberrywall.rates._reading import RateNotice
from cranberrywall.rates.messages import RATES_CODEC, NamedRate
from cranberrywall.runtime import Clock
from cranberrywall.targets import TargetIncarnation, Targets

RATES_TOPIC = "target-rate"

KEPT_S = 60.0
"""The rate of a target that is not announced is kept for so long, in seconds: three times as long
as a target that fell silent is kept, so that one which is back without a new start is still
known."""

MOST_KNOWN = 4096
"""Targets with a rate at most; more in need at once than a fleet of that size has targets."""

SETTLE_S = 0.1
"""A rate does not rise sooner than this after it changed, in seconds. Where a target names another
number in each answer, hosts tell each other some ten times a second of it and not with each."""

ALIKE = 0.02
"""Rates that differ by less than this share count as the same."""

_MOST_MILLIS = 10**13


class RateRecord(NamedTuple):
    """Hold the rate that a target named; ``None`` where its need is over.

    ``number`` counts the changes. ``host`` heard it, and this one knows it since ``since``.
    """

    number: int
    per_s: float | None
    host: str
    since: float


NEVER_NAMED = RateRecord(0, None, "", 0.0)


class RateTable:
    """Take in what answers say, tell the other hosts, and take in what they tell."""

    def __init__(self, host: str, targets: Targets, gossip: Gossip, clock: Clock) -> None:
        self.rate_by_incarnation: dict[TargetIncarnation, float] = {}
        self._host = host
        self._targets = targets
        self._spread = gossip
        self._clock = clock
        self._known_by_incarnation: dict[TargetIncarnation, RateRecord] = {}
        # A change after a rate was forgotten must have a higher number still, or it would be taken
        # for an old one.
        self._forgotten_by_incarnation: dict[TargetIncarnation, RateRecord] = {}
        self._absent_since: dict[TargetIncarnation, float] = {}
        self._listeners: list[Callable[[TargetIncarnation], None]] = []
        self._unreadable = EventLimiter(clock.now)
        self.changes = 0
        self.unreadable = 0
        gossip.subscribe(RATES_TOPIC, self._take)

    def subscribe(self, listener: Callable[[TargetIncarnation], None]) -> None:
        """Call ``listener`` with each start of a target whose rate changed."""
        self._listeners.append(listener)

    def known(self, start: TargetIncarnation) -> RateRecord:
        """Return what is known of a start of a target."""
        if not self._known_by_incarnation and not self._forgotten_by_incarnation:
            return NEVER_NAMED
        found = self._known_by_incarnation.get(start)
        return found or self._forgotten_by_incarnation.get(start, NEVER_NAMED)

    def record_response(
        self,
        start: TargetIncarnation,
        notice: RateNotice,
        sent_number: int,
        is_served: bool,
        request_id: str,
        now: float,
    ) -> None:
        """Take in what an answer says of its target.

        ``sent_number`` is that of what was known as the request was sent. An answer to a request
        that was sent before the last change was known may itself be older than that change. It is
        believed only where it asks for less: hosts that wrongly send too little are put right by
        the next answer, and a target that wrongly gets too much may fail. ``is_served`` is False
        for an answer that did not run the request; where such a one names no rate, that says
        nothing, as it may come from what stands before the target's own work.
        """
        if notice.unreadable:
            self.unreadable += 1
            self._unreadable.log(
                "WARNING",
                "target_rate_unreadable",
                "no_decimal_number",
                target=start.target,
                value=notice.unreadable,
            )
            return
        known = self.known(start)
        if _alike(notice.per_s, known.per_s) or (notice.per_s is None and not is_served):
            return
        is_less = _strictness(notice.per_s) > _strictness(known.per_s)
        is_newer = sent_number >= known.number and now >= known.since + SETTLE_S
        if is_less or is_newer:
            self._publish(start, known, notice.per_s, request_id)

    def expire(self, now: float) -> None:
        """Forget the rates of targets that started again, or are gone; call it once a second."""
        for start in list(self._known_by_incarnation):
            target = self._targets.by_id.get(start.target)
            if target is not None and target.announcement.incarnation == start.incarnation:
                self._absent_since.pop(start, None)
                continue
            absent_since = self._absent_since.setdefault(start, now)
            started_again = target is not None
            if started_again or now - absent_since >= KEPT_S:
                self._forget(start)
        while len(self._forgotten_by_incarnation) > MOST_KNOWN:
            del self._forgotten_by_incarnation[next(iter(self._forgotten_by_incarnation))]

    def describe(self, start: TargetIncarnation, now: float) -> dict[str, object]:
        """Return what the state dump shows of a target's rate."""
        known = self.known(start)
        return {
            "per_s": known.per_s,
            "told_by": known.host,
            "age_s": round(now - known.since, 3),
            "number": known.number,
        }

    def _publish(
        self, start: TargetIncarnation, known: RateRecord, per_s: float | None, request_id: str
    ) -> None:
        if (
            start not in self._known_by_incarnation
            and len(self._known_by_incarnation) >= MOST_KNOWN
        ):
            self._unreadable.log("WARNING", "target_rates_full", "too_many", target=start.target)
            return
        message = NamedRate(start.target, start.incarnation, per_s, self._host, request_id)
        payload = RATES_CODEC.encode(message)
        # Of two changes that hosts make at the same time, the stricter one holds on all.
        version = (known.number + 1, _strictness(per_s))
        self._spread.publish(
            Item(RATES_TOPIC, _key(start), version, payload, urgency=Urgency.URGENT)
        )

    def _take(self, item: Item) -> None:
        if not item.payload:
            self._drop(item.key, item.version[0])
            return
        try:
            message = RATES_CODEC.decode(item.payload)
        except MalformedMessageError as error:
            # A host of another version may say more than this one understands.
            log_event("WARNING", "target_rate_malformed", reason=str(error))
            return
        start = TargetIncarnation(message.target, message.incarnation)
        before = self.known(start)
        known = RateRecord(item.version[0], message.per_s, message.host, self._clock.now())
        self._known_by_incarnation[start] = known
        if message.per_s is None:
            self.rate_by_incarnation.pop(start, None)
        else:
            self.rate_by_incarnation[start] = message.per_s
        self.changes += 1
        self._log(start, message, known, before)
        self._tell(start)

    def _log(
        self, start: TargetIncarnation, message: NamedRate, known: RateRecord, before: RateRecord
    ) -> None:
        log_event(
            "INFO",
            "target_rate_named",
            request=message.request_id,
            target=start.target,
            incarnation=start.incarnation,
            rate=RateNotice(message.per_s),
            before=RateNotice(before.per_s),
            by=message.host,
            number=known.number,
        )

    def _forget(self, start: TargetIncarnation) -> None:
        version = (self.known(start).number + 1, 0)
        self._spread.publish(Item(RATES_TOPIC, _key(start), version, b""))

    def _drop(self, key: str, number: int) -> None:
        for start in [known for known in self._known_by_incarnation if _key(known) == key]:
            del self._known_by_incarnation[start]
            self._forgotten_by_incarnation[start] = RateRecord(number, None, "", self._clock.now())
            self._absent_since.pop(start, None)
            self.rate_by_incarnation.pop(start, None)
            log_event(
                "INFO",
                "target_rate_forgotten",
                target=start.target,
                incarnation=start.incarnation,
            )
            self._tell(start)

    def _tell(self, start: TargetIncarnation) -> None:
        for listener in self._listeners:
            listener(start)


def _key(start: TargetIncarnation) -> str:
    return f"{start.target}/{start.incarnation}"


def _strictness(per_s: float | None) -> int:
    return 0 if per_s is None else 1 + max(0, _MOST_MILLIS - round(per_s * 1000))


def _alike(one: float | None, other: float | None) -> bool:
    if one is None or other is None:
        return one is other
    return abs(one - other) <= ALIKE * max(one, other)
