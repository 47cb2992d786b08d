"""Table of the rates that targets announced, replicated to all hosts.

Times are monotonic seconds of this host. They do not order changes, because the clocks of hosts
differ and an answer may be delayed. Changes are ordered by the number of the record that the sender
of a request had when it sent the request.
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

RATE_TTL_S = 60.0
"""Time for which the rate of a target that is not announced is kept, in seconds. It is three
times as long as an unresponsive target is kept, so that the rate still applies if the target
returns with the same incarnation."""

MAX_RATES = 4096
"""Maximum number of targets with a rate; a fleet of the supported size has fewer in total."""

SETTLE_DELAY_S = 0.1
"""Minimum time between a change of a rate and its next increase, in seconds. If a target states
another number in each answer, the hosts gossip some ten changes a second instead of one for each
answer."""

EQUAL_RATE_TOLERANCE = 0.02
"""Rates that differ by less than this share are treated as equal."""

_MAX_MILLIS = 10**13


class RateRecord(NamedTuple):
    """Rate that a target announced; ``None`` if the target is no longer throttled.

    ``number`` counts the changes. ``host`` received the rate from the target, and this host has had
    it since ``since``.
    """

    number: int
    per_s: float | None
    host: str
    since: float


NO_RECORD = RateRecord(0, None, "", 0.0)


class RateTable:
    """Table of rates: apply those that answers state and those that other hosts gossip."""

    def __init__(self, host: str, targets: Targets, gossip: Gossip, clock: Clock) -> None:
        self.rate_by_incarnation: dict[TargetIncarnation, float] = {}
        self._host = host
        self._targets = targets
        self._gossip = gossip
        self._clock = clock
        self._record_by_incarnation: dict[TargetIncarnation, RateRecord] = {}
        self._cold_limit_by_incarnation: dict[TargetIncarnation, float] = {}
        # A change after the removal of a rate must have a higher number than the removed record, or
        # hosts would treat it as an old change.
        self._removed_by_incarnation: dict[TargetIncarnation, RateRecord] = {}
        self._absent_since_by_incarnation: dict[TargetIncarnation, float] = {}
        self._listeners: list[Callable[[TargetIncarnation], None]] = []
        self._events = EventLimiter(clock.now)
        self.changes = 0
        self.unreadable = 0
        gossip.subscribe(RATES_TOPIC, self._receive)

    def subscribe(self, listener: Callable[[TargetIncarnation], None]) -> None:
        """Call ``listener`` with each incarnation of a target whose rate changed."""
        self._listeners.append(listener)

    def record_of(self, incarnation: TargetIncarnation) -> RateRecord:
        """Return the record of an incarnation of a target."""
        if not self._record_by_incarnation and not self._removed_by_incarnation:
            return NO_RECORD
        found = self._record_by_incarnation.get(incarnation)
        return found or self._removed_by_incarnation.get(incarnation, NO_RECORD)

    def apply_notice(
        self,
        incarnation: TargetIncarnation,
        notice: RateNotice,
        sent_number: int,
        is_served: bool,
        request_id: str,
        now: float,
    ) -> None:
        """Apply the rate that an answer of a target states, and gossip it if it changed.

        ``sent_number`` is the number of this host's record when the request was sent. If the
        request was sent before this host received the last change, the answer may be older than
        that change. Such an answer is applied only if its rate is lower: if hosts wrongly send too
        few requests, the next answer corrects it, but a target that wrongly gets too many may fail.
        ``is_served`` is False for an answer that did not run the request. Such an answer without a
        rate changes nothing, because it may come from a component in front of the target.
        """
        if notice.unreadable:
            self.unreadable += 1
            self._events.log(
                "WARNING",
                "target_rate_unreadable",
                "no_decimal_number",
                target=incarnation.target,
                value=notice.unreadable,
            )
            return
        record = self.record_of(incarnation)
        if _is_same_rate(notice.per_s, record.per_s) or (notice.per_s is None and not is_served):
            return
        is_stricter = _strictness(notice.per_s) > _strictness(record.per_s)
        is_newer = sent_number >= record.number and now >= record.since + SETTLE_DELAY_S
        if is_stricter or is_newer:
            self._publish(incarnation, record, notice.per_s, request_id)

    def set_cold_limit(self, incarnation: TargetIncarnation, per_s: float | None) -> None:
        """Limit a cold target to ``per_s`` requests per second; ``None`` ends the limit.

        The limit applies on this host beside the rate that the target names: the lower one counts.
        """
        if per_s is None:
            self._cold_limit_by_incarnation.pop(incarnation, None)
        else:
            self._cold_limit_by_incarnation[incarnation] = per_s
        self._update_limit(incarnation)
        self._notify(incarnation)

    def limit_of(self, incarnation: TargetIncarnation) -> float | None:
        """Return the requests per second that a target accepts; ``None`` if it is not throttled."""
        return self.rate_by_incarnation.get(incarnation)

    def expire(self, now: float) -> None:
        """Remove the rates of targets that restarted or were removed; call it once a second."""
        for incarnation in list(self._record_by_incarnation):
            target = self._targets.by_id.get(incarnation.target)
            if target is not None and target.announcement.incarnation == incarnation.incarnation:
                self._absent_since_by_incarnation.pop(incarnation, None)
                continue
            absent_since = self._absent_since_by_incarnation.setdefault(incarnation, now)
            has_restarted = target is not None
            if has_restarted or now - absent_since >= RATE_TTL_S:
                self._publish_removal(incarnation)
        while len(self._removed_by_incarnation) > MAX_RATES:
            del self._removed_by_incarnation[next(iter(self._removed_by_incarnation))]

    def describe(self, incarnation: TargetIncarnation, now: float) -> dict[str, object]:
        """Return the rate of a target for the state dump."""
        record = self.record_of(incarnation)
        return {
            "per_s": record.per_s,
            "told_by": record.host,
            "age_s": round(now - record.since, 3),
            "number": record.number,
        }

    def _publish(
        self,
        incarnation: TargetIncarnation,
        record: RateRecord,
        per_s: float | None,
        request_id: str,
    ) -> None:
        if (
            incarnation not in self._record_by_incarnation
            and len(self._record_by_incarnation) >= MAX_RATES
        ):
            self._events.log("WARNING", "target_rates_full", "too_many", target=incarnation.target)
            return
        message = NamedRate(
            incarnation.target, incarnation.incarnation, per_s, self._host, request_id
        )
        payload = RATES_CODEC.encode(message)
        # Of two changes that hosts make at the same time, all hosts apply the stricter one.
        version = (record.number + 1, _strictness(per_s))
        self._gossip.publish(
            Item(RATES_TOPIC, _key(incarnation), version, payload, urgency=Urgency.URGENT)
        )

    def _receive(self, item: Item) -> None:
        if not item.payload:
            self._remove(item.key, item.version[0])
            return
        try:
            message = RATES_CODEC.decode(item.payload)
        except MalformedMessageError as error:
            # A host of another version may send fields that this version cannot decode.
            log_event("WARNING", "target_rate_malformed", reason=str(error))
            return
        incarnation = TargetIncarnation(message.target, message.incarnation)
        previous = self.record_of(incarnation)
        record = RateRecord(item.version[0], message.per_s, message.host, self._clock.now())
        self._record_by_incarnation[incarnation] = record
        self._update_limit(incarnation)
        self.changes += 1
        self._log(incarnation, message, record, previous)
        self._notify(incarnation)

    def _update_limit(self, incarnation: TargetIncarnation) -> None:
        named = self.record_of(incarnation).per_s
        cold = self._cold_limit_by_incarnation.get(incarnation)
        limits = [limit for limit in (named, cold) if limit is not None]
        if limits:
            self.rate_by_incarnation[incarnation] = min(limits)
        else:
            self.rate_by_incarnation.pop(incarnation, None)

    def _log(
        self,
        incarnation: TargetIncarnation,
        message: NamedRate,
        record: RateRecord,
        previous: RateRecord,
    ) -> None:
        log_event(
            "INFO",
            "target_rate_named",
            request=message.request_id,
            target=incarnation.target,
            incarnation=incarnation.incarnation,
            rate=RateNotice(message.per_s),
            before=RateNotice(previous.per_s),
            by=message.host,
            number=record.number,
        )

    def _publish_removal(self, incarnation: TargetIncarnation) -> None:
        version = (self.record_of(incarnation).number + 1, 0)
        self._gossip.publish(Item(RATES_TOPIC, _key(incarnation), version, b""))

    def _remove(self, key: str, number: int) -> None:
        for incarnation in [each for each in self._record_by_incarnation if _key(each) == key]:
            del self._record_by_incarnation[incarnation]
            self._removed_by_incarnation[incarnation] = RateRecord(
                number, None, "", self._clock.now()
            )
            self._absent_since_by_incarnation.pop(incarnation, None)
            self._update_limit(incarnation)
            log_event(
                "INFO",
                "target_rate_forgotten",
                target=incarnation.target,
                incarnation=incarnation.incarnation,
            )
            self._notify(incarnation)

    def _notify(self, incarnation: TargetIncarnation) -> None:
        for listener in self._listeners:
            listener(incarnation)


def _key(incarnation: TargetIncarnation) -> str:
    return f"{incarnation.target}/{incarnation.incarnation}"


def _strictness(per_s: float | None) -> int:
    return 0 if per_s is None else 1 + max(0, _MAX_MILLIS - round(per_s * 1000))


def _is_same_rate(one: float | None, other: float | None) -> bool:
    if one is None or other is None:
        return one is other
    return abs(one - other) <= EQUAL_RATE_TOLERANCE * max(one, other)
