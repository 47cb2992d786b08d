"""Keep what the hosts decided about requests: which are held back, and for how long.

Times are monotonic seconds of this host.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from cranberrywall.hosts import Gossip, Item, Urgency
from cranberrywall.observability import log_event
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._items import decode_item
from cranberrywall.quarantine.messages import QUARANTINE_CODEC, Decision, DecisionState
from cranberrywall.runtime import Clock

DECISIONS_TOPIC = "request-held"

HELD_S = 600.0
"""A request is held back so long, in seconds. It is long beside the time in which callers repeat a
request, and short beside a working day: if the verdict is wrong, or targets were mended meanwhile,
nobody need lift it. If it was right, four targets more are lost."""

MOST_HELD = 1000
"""Requests held back at most; the oldest go first."""

MOST_NUMBERS = 4 * MOST_HELD
"""Requests at most whose last decision's number is remembered, also once they are free again."""

_RANKS = {DecisionState.HELD: 1, DecisionState.LIFTED: 2, DecisionState.CLEARED: 3}
"""Of two decisions made at the same time, the higher one holds on all hosts. That a target answered
a request whole is a fact, where holding it back is a guess."""

_GONE_RANK = 0


class Held(NamedTuple):
    """Hold back a request until a time."""

    decision: Decision
    until: float


class Decisions:
    """Make decisions known to all hosts, and follow theirs.

    ``on_held`` is called for each request that is held from now on, ``on_free`` for each that is
    held no more, or was cleared: what spoke against it is to be forgotten.
    """

    def __init__(
        self,
        gossip: Gossip,
        clock: Clock,
        on_held: Callable[[Fingerprint], None],
        on_free: Callable[[Fingerprint], None],
    ) -> None:
        self.held_by_fingerprint: dict[Fingerprint, Held] = {}
        self._spread = gossip
        self._clock = clock
        self._on_held = on_held
        self._on_free = on_free
        self._number_by_fingerprint: dict[Fingerprint, int] = {}
        gossip.subscribe(DECISIONS_TOPIC, self._take)

    def held(self, fingerprint: Fingerprint, now: float) -> Held | None:
        """Return what holds a request back now."""
        held = self.held_by_fingerprint.get(fingerprint)
        return held if held is not None and now < held.until else None

    def decide(self, decision: Decision) -> None:
        """Tell all hosts, this one included, what holds for a request from now on."""
        payload = QUARANTINE_CODEC.encode(decision)
        self._publish(decision.fingerprint, _RANKS[decision.state], payload)

    def expire(self, now: float) -> None:
        """Let requests go whose time is over."""
        for fingerprint, held in list(self.held_by_fingerprint.items()):
            if now >= held.until:
                self._let_go(fingerprint, "expired")

    def all_held(self) -> Sequence[Held]:
        """Return all that is held back, oldest first."""
        return list(self.held_by_fingerprint.values())

    def _publish(self, fingerprint: Fingerprint, rank: int, payload: bytes) -> None:
        # Numbers and not times: hosts' clocks differ, and may jump.
        version = (self._number_by_fingerprint.get(fingerprint, 0) + 1, rank)
        key = fingerprint.hex()
        self._spread.publish(Item(DECISIONS_TOPIC, key, version, payload, urgency=Urgency.URGENT))

    def _take(self, item: Item) -> None:
        try:
            fingerprint = bytes.fromhex(item.key)
        except ValueError as error:
            log_event("WARNING", "quarantine_item_malformed", topic=item.topic, reason=str(error))
            return
        self._remember_number(fingerprint, item.version[0])
        decision = decode_item(item, Decision)
        if decision is None:
            self._free(fingerprint)
            return
        _log(decision)
        if decision.state is DecisionState.HELD:
            self._hold(fingerprint, decision)
        else:
            self._free(fingerprint)

    def _remember_number(self, fingerprint: Fingerprint, number: int) -> None:
        self._number_by_fingerprint.pop(fingerprint, None)
        self._number_by_fingerprint[fingerprint] = number
        if len(self._number_by_fingerprint) > MOST_NUMBERS:
            del self._number_by_fingerprint[next(iter(self._number_by_fingerprint))]

    def _hold(self, fingerprint: Fingerprint, decision: Decision) -> None:
        self.held_by_fingerprint.pop(fingerprint, None)
        self.held_by_fingerprint[fingerprint] = Held(decision, self._clock.now() + HELD_S)
        if len(self.held_by_fingerprint) > MOST_HELD:
            self._let_go(next(iter(self.held_by_fingerprint)), "too_many")
        self._on_held(fingerprint)

    def _free(self, fingerprint: Fingerprint) -> None:
        self.held_by_fingerprint.pop(fingerprint, None)
        self._on_free(fingerprint)

    def _let_go(self, fingerprint: Fingerprint, reason: str) -> None:
        log_event("INFO", "request_let_go", fingerprint=fingerprint.hex(), reason=reason)
        self._publish(fingerprint, _GONE_RANK, b"")


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
