"""Rate limits of targets on one entry host, and the host's part in enforcing them."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from cranberrywall.configuration import (
    Configuration,
    empty_document,
    make_fixed_configuration,
)
from cranberrywall.hosts import Gossip, HostView, Item, LiveMembership
from cranberrywall.links import Caller, Server
from cranberrywall.observability import Metrics
from cranberrywall.rates._cold_targets import ColdTargets
from cranberrywall.rates._permits import Permits
from cranberrywall.rates._rate_table import RateTable
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import TargetIncarnation, Targets, register_cold_notices


class TargetRates:
    """Rates and permits of one entry host."""

    def __init__(self, table: RateTable, permits: Permits, cold: ColdTargets) -> None:
        self.table = table
        self.permits = permits
        self.cold = cold
        self.sent_by_target: Counter[str] = Counter()
        self.refused_by_name: Counter[str] = Counter()
        table.subscribe(self._remove_counts)

    def expire(self, now: float) -> None:
        """Remove outdated state; call it once a second."""
        self.table.expire(now)
        self.permits.expire(now)
        self.cold.expire(now)
        self.cold.remove_old_items(now)

    def close(self) -> None:
        """Stop issuing permits."""
        self.permits.close()

    def describe(self, incarnation: TargetIncarnation, now: float) -> dict[str, Any] | None:
        """Return what operators see of the rate that a target named; ``None`` if it named none."""
        if self.table.record_of(incarnation).per_s is None:
            return None
        sent = self.sent_by_target[incarnation.target]
        return {**self.table.describe(incarnation, now), "sent_from_here": sent}

    def state(self) -> dict[str, Any]:
        """Return rates and permits for the state dump."""
        return {
            "named": {
                incarnation.target: per_s
                for incarnation, per_s in self.table.rate_by_incarnation.items()
            },
            "refused": dict(self.refused_by_name),
            "unreadable": self.table.unreadable,
            "changes": self.table.changes,
            "permits": self.permits.state(),
        }

    def export(self, metrics: Metrics) -> None:
        """Export the rates, and the requests sent and refused under them, to ``metrics``."""
        metrics.gauges_of(
            "target_rate",
            "Requests per second that a throttled target accepts from all hosts together.",
            "target",
            lambda: {
                incarnation.target: rate
                for incarnation, rate in self.table.rate_by_incarnation.items()
            },
        )
        metrics.gauge_of("targets_cold", "Targets that are believed to be cold.", self.cold.count)
        metrics.counters_of(
            "target_rate_sent",
            "Requests that this host sent to a throttled target, each with a permit.",
            "target",
            lambda: dict(self.sent_by_target),
        )
        metrics.counters_of(
            "target_rate_refused",
            "Requests refused because all targets of a model or service are throttled.",
            "name",
            lambda: dict(self.refused_by_name),
        )
        metrics.counters_of(
            "target_rate_permits",
            "Requests for permits that this host sent or declined.",
            "event",
            lambda: dict(self.permits.counts),
        )

    def _remove_counts(self, incarnation: TargetIncarnation) -> None:
        # Counters of targets that are no longer throttled would accumulate over months.
        if incarnation not in self.table.rate_by_incarnation:
            self.sent_by_target.pop(incarnation.target, None)


def make_rates(
    host: str,
    targets: Targets,
    membership: LiveMembership,
    caller: Caller,
    server: Server,
    clock: Clock,
    random: Random,
    configuration: Configuration | None = None,
) -> TargetRates:
    """Return the rates of ``host``; it handles other hosts' calls about them on ``server``.

    Without ``configuration`` no target is cold.
    """
    table = RateTable(host, targets, membership.gossip, clock)
    permits = Permits(host, table, membership, caller, clock, random)
    permits.register(server)
    cold = _make_cold_targets(targets, configuration, table, membership.gossip, clock)
    register_cold_notices(server, cold.receive)
    return TargetRates(table, permits, cold)


def make_standalone_rates(
    targets: Targets, clock: Clock, random: Random, configuration: Configuration | None = None
) -> TargetRates:
    """Return the rates of a standalone host."""
    gossip = _LocalGossip()
    table = RateTable("", targets, gossip, clock)
    permits = Permits("", table, _NoOtherHosts(), None, clock, random)
    return TargetRates(
        table, permits, _make_cold_targets(targets, configuration, table, gossip, clock)
    )


def _make_cold_targets(
    targets: Targets,
    configuration: Configuration | None,
    table: RateTable,
    gossip: Gossip,
    clock: Clock,
) -> ColdTargets:
    configuration = configuration or make_fixed_configuration(empty_document())
    return ColdTargets(targets, configuration, table, gossip, clock)


class _LocalGossip(Gossip):
    """Deliver items to this host's own subscribers only."""

    def __init__(self) -> None:
        self._receive_by_topic: dict[str, Callable[[Item], None]] = {}

    def subscribe(self, topic: str, receive: Callable[[Item], None]) -> None:
        self._receive_by_topic[topic] = receive

    def publish(self, item: Item) -> None:
        self._receive_by_topic[item.topic](item)

    def items(self, topic: str) -> Sequence[Item]:
        return []


class _NoOtherHosts:
    """Membership without other hosts."""

    def alive(self) -> Sequence[HostView]:
        return []

    def all(self) -> Sequence[HostView]:
        return []
