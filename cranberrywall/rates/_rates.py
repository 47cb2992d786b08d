"""Hold what one entry host knows of targets' rates, and its part in keeping them."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from cranberrywall.hosts import Gossip, HostView, Item, LiveMembership
from cranberrywall.links import Caller, Server
from cranberrywall.observability import Metrics
from cranberrywall.rates._known import RateTable
from cranberrywall.rates._permits import Permits
from cranberrywall.runtime import Clock, Random
from cranberrywall.targets import TargetIncarnation, Targets


class TargetRates:
    """Know the rates and ask for permits; one for each entry host."""

    def __init__(self, known: RateTable, permits: Permits) -> None:
        self.known = known
        self.permits = permits
        self.sent_by_target: Counter[str] = Counter()
        self.refused_by_name: Counter[str] = Counter()
        known.subscribe(self._forget_counts)

    def expire(self, now: float) -> None:
        """Forget what is over; call it once a second."""
        self.known.expire(now)
        self.permits.expire(now)

    def close(self) -> None:
        """Give no more permits."""
        self.permits.close()

    def describe(self, start: TargetIncarnation, now: float) -> dict[str, Any] | None:
        """Return what operators see of a target's rate; ``None`` where it names none."""
        if start not in self.known.rate_by_incarnation:
            return None
        sent = self.sent_by_target[start.target]
        return {**self.known.describe(start, now), "sent_from_here": sent}

    def state(self) -> dict[str, Any]:
        """Return rates and permits for the state dump."""
        return {
            "named": {
                start.target: per_s for start, per_s in self.known.rate_by_incarnation.items()
            },
            "refused": dict(self.refused_by_name),
            "unreadable": self.known.unreadable,
            "changes": self.known.changes,
            "permits": self.permits.state(),
        }

    def export(self, metrics: Metrics) -> None:
        """Let ``metrics`` show the rates, and what was sent and refused by them."""
        metrics.gauges_of(
            "target_rate",
            "Requests a second that a target in need takes from all hosts together.",
            "target",
            lambda: {start.target: rate for start, rate in self.known.rate_by_incarnation.items()},
        )
        metrics.counters_of(
            "target_rate_sent",
            "Requests that this host sent to a target in need, by a permit each.",
            "target",
            lambda: dict(self.sent_by_target),
        )
        metrics.counters_of(
            "target_rate_refused",
            "Requests refused as all targets of a model or service are in need.",
            "name",
            lambda: dict(self.refused_by_name),
        )
        metrics.counters_of(
            "target_rate_permits",
            "Requests for permits that this host made or declined.",
            "event",
            lambda: dict(self.permits.counts),
        )

    def _forget_counts(self, start: TargetIncarnation) -> None:
        # Counters of targets that are in need no more would pile up over months.
        if start not in self.known.rate_by_incarnation:
            self.sent_by_target.pop(start.target, None)


def make_rates(
    host: str,
    targets: Targets,
    membership: LiveMembership,
    caller: Caller,
    server: Server,
    clock: Clock,
    random: Random,
) -> TargetRates:
    """Return the rates of ``host``; it answers the others' requests for permits on ``server``."""
    known = RateTable(host, targets, membership.gossip, clock)
    permits = Permits(host, known, membership, caller, clock, random)
    permits.register(server)
    return TargetRates(known, permits)


def make_standalone_rates(targets: Targets, clock: Clock, random: Random) -> TargetRates:
    """Return the rates of a host that stands alone."""
    known = RateTable("", targets, _LocalGossip(), clock)
    return TargetRates(known, Permits("", known, _NoHosts(), None, clock, random))


class _LocalGossip(Gossip):
    """Hand items to this host's own receivers."""

    def __init__(self) -> None:
        self._receive_by_topic: dict[str, Callable[[Item], None]] = {}

    def subscribe(self, topic: str, receive: Callable[[Item], None]) -> None:
        self._receive_by_topic[topic] = receive

    def publish(self, item: Item) -> None:
        self._receive_by_topic[item.topic](item)

    def items(self, topic: str) -> Sequence[Item]:
        return []


class _NoHosts:
    """Know no other host."""

    def alive(self) -> Sequence[HostView]:
        return []

    def all(self) -> Sequence[HostView]:
        return []
