"""Cold targets: for some time after its start, a target accepts few requests per second.

The configuration states for each model and service how long that lasts and how many requests per
second a target then accepts from all hosts together. Times are monotonic seconds of this host.
"""

from collections.abc import Mapping
from enum import StrEnum
from math import inf
from typing import Any, NamedTuple

from cranberrywall.configuration import ColdStart, Configuration
from cranberrywall.hosts import Gossip, Item, Urgency
from cranberrywall.links import MalformedMessageError, MessageCodec
from cranberrywall.observability import log_event
from cranberrywall.rates._rate_table import RateTable
from cranberrywall.runtime import Clock
from cranberrywall.targets import (
    Announcement,
    Change,
    ColdNotice,
    TargetIncarnation,
    Targets,
)

COLD_TOPIC = "target-cold"

INITIAL_DISCOVERY_S = 10.0
"""Time after the start of this host in which unknown targets are not taken for new ones, in
seconds: all targets are unknown to a host that starts."""

MAX_COLD_S = 60.0
"""Maximum time for which the announcement of a target makes it cold, in seconds."""

EQUAL_END_TOLERANCE_S = 0.5
"""Ends that differ by less than this are treated as equal, in seconds."""

ITEM_RETENTION_S = 5.0
"""Time after its end for which an announced cold period is kept in the gossip, in seconds."""

MAX_REMEMBERED = 10_000
"""Maximum number of targets whose last incarnation is remembered."""

COLD_CODEC = MessageCodec([ColdNotice])


class ColdReason(StrEnum):
    """Why a target is believed to be cold.

    ``STARTED``: this host saw it start. ``ANNOUNCED``: the target said so. ``EVACUATED``: the
    evacuation of its place has ended. ``EJECTED``: it failed, and may have been restarted; this
    lasts until it answers.
    """

    STARTED = "started"
    ANNOUNCED = "announced"
    EVACUATED = "evacuated"
    EJECTED = "ejected"


class ColdPeriod(NamedTuple):
    """Period until ``until`` in which a target is cold; it accepts ``per_s`` requests a second."""

    until: float
    per_s: float
    reason: ColdReason


class ColdTargets:
    """Limit the requests to cold targets in the rate table of this host."""

    def __init__(
        self,
        targets: Targets,
        configuration: Configuration,
        table: RateTable,
        gossip: Gossip,
        clock: Clock,
    ) -> None:
        self._targets = targets
        self._configuration = configuration
        self._table = table
        self._gossip = gossip
        self._clock = clock
        self._started_at = clock.now()
        self._period_by_incarnation: dict[TargetIncarnation, ColdPeriod] = {}
        self._last_incarnation_by_id: dict[str, int] = {}
        self._next_end = inf
        targets.subscribe(self._on_change)
        gossip.subscribe(COLD_TOPIC, self._receive_item)

    def receive(self, notice: ColdNotice) -> None:
        """Apply what a target announced to a control host or to this host, and gossip it."""
        now = self._clock.now()
        incarnation = TargetIncarnation(notice.target, notice.incarnation)
        known = self._period_by_incarnation.get(incarnation)
        if known is not None and known.until >= now + notice.left_s - EQUAL_END_TOLERANCE_S:
            return
        payload = COLD_CODEC.encode(notice._replace(at=self._clock.wall()))
        version = (notice.counter, 0)
        self._gossip.publish(
            Item(COLD_TOPIC, _key(incarnation), version, payload, urgency=Urgency.URGENT)
        )

    def record_evacuation_end(self, places: frozenset[str], now: float) -> None:
        """Record that the targets in these places get requests again; they may be cold."""
        for target in self._targets.by_id.values():
            announcement = target.announcement
            if announcement.place in places:
                self._add(announcement, None, ColdReason.EVACUATED, now)

    def record_ejected(self, announcement: Announcement, now: float) -> None:
        """Record that this host ejected a target; it is cold until some time after it answers."""
        self._add(announcement, inf, ColdReason.EJECTED, now)

    def record_answered(self, announcement: Announcement, now: float) -> None:
        """Record that a target answered."""
        if not self._period_by_incarnation:
            return
        incarnation = TargetIncarnation(announcement.target, announcement.incarnation)
        period = self._period_by_incarnation.get(incarnation)
        if period is not None and period.until == inf:
            self._end(incarnation)
            self._add(announcement, None, ColdReason.EJECTED, now)

    def expire(self, now: float) -> None:
        """End the periods that are over."""
        if now < self._next_end:
            return
        for incarnation, period in list(self._period_by_incarnation.items()):
            if now >= period.until:
                self._end(incarnation)
        self._schedule()

    def remove_old_items(self, now: float) -> None:
        """Remove announced periods that are over from the gossip; call it once a second."""
        for item in list(self._gossip.items(COLD_TOPIC)):
            notice = _decode(item)
            if notice is None:
                continue
            incarnation = TargetIncarnation(notice.target, notice.incarnation)
            age_s = self._clock.wall() - notice.at
            is_over = age_s > min(notice.left_s, MAX_COLD_S) + ITEM_RETENTION_S
            if is_over and incarnation not in self._period_by_incarnation:
                self._gossip.publish(Item(COLD_TOPIC, item.key, (notice.counter, 1), b""))

    def describe(self, incarnation: TargetIncarnation, now: float) -> dict[str, Any] | None:
        """Return what operators see of a cold target; ``None`` if it is not cold."""
        period = self._period_by_incarnation.get(incarnation)
        if period is None:
            return None
        left_s = None if period.until == inf else round(period.until - now, 3)
        return {"per_s": period.per_s, "left_s": left_s, "reason": str(period.reason)}

    def count(self) -> int:
        """Return the number of targets that are believed to be cold."""
        return len(self._period_by_incarnation)

    def _on_change(self, announcement: Announcement, change: Change, now: float) -> None:
        if change is Change.LEFT:
            self._end(TargetIncarnation(announcement.target, announcement.incarnation))
            return
        if change is Change.RENEWED:
            return
        last = self._last_incarnation_by_id.pop(announcement.target, None)
        self._last_incarnation_by_id[announcement.target] = announcement.incarnation
        if len(self._last_incarnation_by_id) > MAX_REMEMBERED:
            del self._last_incarnation_by_id[next(iter(self._last_incarnation_by_id))]
        has_started = last != announcement.incarnation
        if has_started and now - self._started_at > INITIAL_DISCOVERY_S:
            self._add(announcement, None, ColdReason.STARTED, now)

    def _receive_item(self, item: Item) -> None:
        notice = _decode(item)
        target = self._targets.by_id.get(notice.target) if notice is not None else None
        if notice is None or target is None:
            return
        announcement = target.announcement
        age_s = max(0.0, self._clock.wall() - notice.at)
        left_s = min(notice.left_s, MAX_COLD_S) - age_s
        if announcement.incarnation == notice.incarnation and left_s > 0:
            now = self._clock.now()
            self._add(announcement, now + left_s, ColdReason.ANNOUNCED, now)

    def _add(
        self, announcement: Announcement, until: float | None, reason: ColdReason, now: float
    ) -> None:
        """Add a period; without ``until`` it lasts as long as the configuration states."""
        cold_start = _cold_start_of(announcement, self._configuration)
        if cold_start is None:
            return
        if until is None:
            until = now + cold_start["duration_s"]
        incarnation = TargetIncarnation(announcement.target, announcement.incarnation)
        known = self._period_by_incarnation.get(incarnation)
        if known is not None and known.until >= until:
            return
        period = ColdPeriod(until, cold_start["per_s"], reason)
        self._period_by_incarnation[incarnation] = period
        self._schedule()
        log_event(
            "INFO",
            "target_cold",
            target=incarnation.target,
            incarnation=incarnation.incarnation,
            reason=reason,
            per_s=period.per_s,
            left_s="" if until == inf else round(until - now, 3),
        )
        self._table.set_cold_limit(incarnation, period.per_s)

    def _end(self, incarnation: TargetIncarnation) -> None:
        period = self._period_by_incarnation.pop(incarnation, None)
        if period is None:
            return
        log_event(
            "INFO",
            "target_warm",
            target=incarnation.target,
            incarnation=incarnation.incarnation,
            reason=period.reason,
        )
        self._table.set_cold_limit(incarnation, None)

    def _schedule(self) -> None:
        periods = self._period_by_incarnation.values()
        self._next_end = min((period.until for period in periods), default=inf)


def _cold_start_of(announcement: Announcement, configuration: Configuration) -> ColdStart | None:
    document: Mapping[str, Any] = configuration.document
    for section in ("services", "models"):
        entry = document.get(section, {}).get(announcement.name)
        if entry is not None and "cold_start" in entry:
            cold_start: ColdStart = entry["cold_start"]
            return cold_start
    return None


def _decode(item: Item) -> ColdNotice | None:
    if not item.payload:
        return None
    try:
        notice: ColdNotice = COLD_CODEC.decode(item.payload)
    except MalformedMessageError as error:
        # A host of another version may send fields that this version cannot decode.
        log_event("WARNING", "cold_notice_malformed", reason=str(error))
        return None
    return notice


def _key(incarnation: TargetIncarnation) -> str:
    return f"{incarnation.target}/{incarnation.incarnation}"
