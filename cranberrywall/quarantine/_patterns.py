"""Patterns of requests that are held on all hosts.

Times are monotonic seconds of this host.
"""

from collections.abc import Callable, Sequence

from cranberrywall.hosts import Gossip, Item
from cranberrywall.quarantine._decisions import MAX_HELD, Decisions, Held
from cranberrywall.quarantine._evidence import ENDING_RETENTION_S
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._items import decode_item
from cranberrywall.quarantine._prompt_inference import KnownPattern
from cranberrywall.quarantine._traits import Pattern, Traits, fingerprint_of_pattern
from cranberrywall.quarantine.messages import (
    QUARANTINE_CODEC,
    Decision,
    DecisionState,
    PatternDecision,
)
from cranberrywall.runtime import Clock

PATTERNS_TOPIC = "prompt-part-held"


class Patterns:
    """Publish decisions about patterns, and find those that hold a request.

    ``on_held`` is called with each pattern that is held from now on. ``on_released`` is called with
    each pattern that is no longer held, and whether the evidence against it must be discarded.
    """

    topic = PATTERNS_TOPIC

    def __init__(
        self,
        gossip: Gossip,
        clock: Clock,
        on_held: Callable[[Pattern], None],
        on_released: Callable[[Pattern, bool], None],
    ) -> None:
        self._clock = clock
        self._on_held = on_held
        self._on_released = on_released
        self._pattern_by_fingerprint: dict[Fingerprint, Pattern] = {}
        self._expired: dict[Pattern, float] = {}
        self._decisions = Decisions(gossip, clock, self, self._hold, self._release)

    def encode(self, decision: Decision) -> bytes:
        """Return the payload of a decision."""
        pattern = self._pattern_by_fingerprint.get(decision.fingerprint, frozenset())
        return QUARANTINE_CODEC.encode(PatternDecision(decision, tuple(sorted(pattern))))

    def decode(self, item: Item) -> Decision | None:
        """Return an item's decision; ``None`` if it was removed or can't be decoded."""
        message = decode_item(item, PatternDecision)
        if message is None or not message.traits:
            return None
        # A host that starts receives releases of patterns of which it does not know.
        self._pattern_by_fingerprint[message.decision.fingerprint] = frozenset(message.traits)
        return message.decision

    def find(self, traits: Traits, now: float) -> Held | None:
        """Return the decision that holds requests with these traits; ``None`` if there is none."""
        if not self._pattern_by_fingerprint or not traits.parts:
            return None
        of_request = traits.all
        for fingerprint, pattern in self._pattern_by_fingerprint.items():
            if pattern <= of_request and (held := self._decisions.held(fingerprint, now)):
                return held
        return None

    def all_held(self) -> Sequence[Held]:
        """Return all held patterns, oldest first."""
        return self._decisions.all_held()

    def pattern_of(self, fingerprint: Fingerprint) -> Pattern | None:
        """Return a held pattern; ``None`` if there is none of this name."""
        return self._pattern_by_fingerprint.get(fingerprint)

    def known(self, now: float) -> Sequence[KnownPattern]:
        """Return the patterns that explain ends: the held ones, and those whose time is over.

        The ends under an expired pattern are kept, so that one more of them is enough to hold it
        again.
        """
        held = [
            KnownPattern(pattern, float("inf"))
            for fingerprint, pattern in self._pattern_by_fingerprint.items()
            if self._decisions.held(fingerprint, now)
        ]
        return held + [KnownPattern(pattern, until) for pattern, until in self._expired.items()]

    def hold(
        self, pattern: Pattern, by: str, request_id: str, targets: Sequence[str]
    ) -> Fingerprint:
        """Hold a pattern on all hosts; return its name."""
        fingerprint = fingerprint_of_pattern(pattern)
        self._pattern_by_fingerprint[fingerprint] = pattern
        decided = Decision(fingerprint, DecisionState.HELD, by, request_id, tuple(targets))
        self._decisions.decide(decided)
        return fingerprint

    def release(self, fingerprint: Fingerprint, state: DecisionState, by: str) -> None:
        """Release a held pattern on all hosts."""
        self._decisions.decide(Decision(fingerprint, state, by, "", ()))

    def expire(self, now: float) -> None:
        """Release the patterns whose time is over."""
        self._decisions.expire(now)
        for pattern, until in list(self._expired.items()):
            if now - until > ENDING_RETENTION_S:
                del self._expired[pattern]

    def _hold(self, fingerprint: Fingerprint) -> None:
        pattern = self._pattern_by_fingerprint[fingerprint]
        self._expired.pop(pattern, None)
        self._on_held(pattern)

    def _release(self, fingerprint: Fingerprint, state: DecisionState | None) -> None:
        pattern = self._pattern_by_fingerprint.pop(fingerprint, None)
        if pattern is None:
            return
        if state is None:
            self._expired[pattern] = self._clock.now()
            if len(self._expired) > MAX_HELD:
                del self._expired[next(iter(self._expired))]
        self._on_released(pattern, state is not None)
