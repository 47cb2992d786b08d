"""Decisions of all hosts about requests: which requests are held (refused), and for how long.

Times are monotonic seconds of this host.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from cranberrywall.hosts import Gossip, Item, Urgency
from cranberrywall.observability import log_event
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._items import decode_item
from cranberrywall.quarantine.messages import QUARANTINE_CODEC, Decision, DecisionState
from cranberrywall.runtime import Clock

DECISIONS_TOPIC = "request-held"

HOLD_DURATION_S = 600.0
"""Time for which a request is held, in seconds. It is long compared to the time in which callers
repeat a request, and short compared to a working day. If the decision is wrong, or the targets were
fixed meanwhile, no operator needs to lift it. If the decision is right, four more targets are
lost."""

MAX_HELD = 1000
"""Maximum number of held requests; the oldest are released first."""

MAX_NUMBERS = 4 * MAX_HELD
"""Maximum number of requests whose last decision number is kept, including released requests."""

_RANKS = {DecisionState.HELD: 1, DecisionState.LIFTED: 2, DecisionState.CLEARED: 3}
"""Of two decisions made at the same time, the one with the higher rank applies on all hosts. A
complete answer from a target is a fact, but holding a request is a guess."""

_REMOVED_RANK = 0


class Held(NamedTuple):
    """Decision that holds a request until a time."""

    decision: Decision
    until: float


class DecisionFormat(Protocol):
    """Format in which decisions of one topic are sent to other hosts."""

    @property
    def topic(self) -> str:
        """Return the topic of the items."""
        ...

    def encode(self, decision: Decision) -> bytes:
        """Return the payload of a decision."""
        ...

    def decode(self, item: Item) -> Decision | None:
        """Return an item's decision; ``None`` if it was removed or can't be decoded."""
        ...


class RequestFormat:
    """Format of decisions about single requests."""

    topic = DECISIONS_TOPIC

    def encode(self, decision: Decision) -> bytes:
        """Return the payload of a decision."""
        return QUARANTINE_CODEC.encode(decision)

    def decode(self, item: Item) -> Decision | None:
        """Return an item's decision; ``None`` if it was removed or can't be decoded."""
        return decode_item(item, Decision)


class Decisions:
    """Publish decisions to all hosts, and apply those of other hosts.

    ``on_held`` is called for each request that is held from now on. ``on_release`` is called for
    each request that is no longer held, with the state that was decided, or with ``None`` if the
    time of the decision is over.
    """

    def __init__(
        self,
        gossip: Gossip,
        clock: Clock,
        form: DecisionFormat,
        on_held: Callable[[Fingerprint], None],
        on_release: Callable[[Fingerprint, DecisionState | None], None],
    ) -> None:
        self.held_by_fingerprint: dict[Fingerprint, Held] = {}
        self._gossip = gossip
        self._clock = clock
        self._on_held = on_held
        self._on_release = on_release
        self._number_by_fingerprint: dict[Fingerprint, int] = {}
        self._form = form
        gossip.subscribe(form.topic, self._apply)

    def held(self, fingerprint: Fingerprint, now: float) -> Held | None:
        """Return the active decision that holds a request; ``None`` if it is not held now."""
        held = self.held_by_fingerprint.get(fingerprint)
        return held if held is not None and now < held.until else None

    def decide(self, decision: Decision) -> None:
        """Publish the decision about a request to all hosts, including this one."""
        payload = self._form.encode(decision)
        self._publish(decision.fingerprint, _RANKS[decision.state], payload)

    def expire(self, now: float) -> None:
        """Release the requests whose time is over."""
        for fingerprint, held in list(self.held_by_fingerprint.items()):
            if now >= held.until:
                self._withdraw(fingerprint, "expired")

    def all_held(self) -> Sequence[Held]:
        """Return all held requests, oldest first."""
        return list(self.held_by_fingerprint.values())

    def _publish(self, fingerprint: Fingerprint, rank: int, payload: bytes) -> None:
        # Versions are numbers and not times, because hosts' clocks differ and may jump.
        version = (self._number_by_fingerprint.get(fingerprint, 0) + 1, rank)
        key = fingerprint.hex()
        self._gossip.publish(Item(self._form.topic, key, version, payload, urgency=Urgency.URGENT))

    def _apply(self, item: Item) -> None:
        try:
            fingerprint = bytes.fromhex(item.key)
        except ValueError as error:
            log_event("WARNING", "quarantine_item_malformed", topic=item.topic, reason=str(error))
            return
        self._record_number(fingerprint, item.version[0])
        held = self.held_by_fingerprint.pop(fingerprint, None)
        if held is not None and self._clock.now() < held.until - HOLD_DURATION_S:
            self._repeat(fingerprint, held)
            return
        decision = self._form.decode(item)
        if decision is None:
            self._release(fingerprint, None)
            return
        _log(decision)
        if decision.state is DecisionState.HELD:
            self._hold(fingerprint, decision)
        else:
            self._release(fingerprint, decision.state)

    def _repeat(self, fingerprint: Fingerprint, held: Held) -> None:
        """Publish a decision again that is newer than a restored one with a higher number.

        It was made by hosts that did not know the records.
        """
        self.decide(held.decision)
        self.held_by_fingerprint[fingerprint] = held

    def _record_number(self, fingerprint: Fingerprint, number: int) -> None:
        self._number_by_fingerprint.pop(fingerprint, None)
        self._number_by_fingerprint[fingerprint] = number
        if len(self._number_by_fingerprint) > MAX_NUMBERS:
            del self._number_by_fingerprint[next(iter(self._number_by_fingerprint))]

    def _hold(self, fingerprint: Fingerprint, decision: Decision) -> None:
        self.held_by_fingerprint[fingerprint] = Held(decision, self._clock.now() + HOLD_DURATION_S)
        if len(self.held_by_fingerprint) > MAX_HELD:
            self._withdraw(next(iter(self.held_by_fingerprint)), "too_many")
        self._on_held(fingerprint)

    def _release(self, fingerprint: Fingerprint, state: DecisionState | None) -> None:
        self._on_release(fingerprint, state)

    def _withdraw(self, fingerprint: Fingerprint, reason: str) -> None:
        log_event("INFO", "request_let_go", fingerprint=fingerprint.hex(), reason=reason)
        self._publish(fingerprint, _REMOVED_RANK, b"")


def _log(decision: Decision) -> None:
    log_event(
        "WARNING" if decision.state is DecisionState.HELD else "INFO",
        "quarantine_decided",
        state=decision.state,
        request=decision.request_id,
        fingerprint=decision.fingerprint.hex(),
        by=decision.by,
        ended=len(decision.targets),
        targets=",".join(decision.targets),
    )
