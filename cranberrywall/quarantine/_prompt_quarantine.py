"""Hold the prompts with a part that ends targets, on every host.

Times are monotonic seconds of this host.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any

from cranberrywall.hosts import Gossip, Item, Urgency
from cranberrywall.observability import log_event
from cranberrywall.quarantine._decisions import Held
from cranberrywall.quarantine._evidence import ENDING_RETENTION_S
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._items import decode_item
from cranberrywall.quarantine._patterns import Patterns
from cranberrywall.quarantine._prompt_evidence import (
    PartKey,
    PromptEnding,
    PromptEvidence,
    PromptRun,
)
from cranberrywall.quarantine._prompt_inference import find_patterns
from cranberrywall.quarantine._prompt_reports import decode_runs, encode_report
from cranberrywall.quarantine._runs import Run, Runs
from cranberrywall.quarantine._traits import Pattern, Trait, Traits, fingerprint_of_pattern
from cranberrywall.quarantine._trials import Trials
from cranberrywall.quarantine.messages import (
    QUARANTINE_CODEC,
    DecisionState,
    PartCleared,
    PromptReport,
)
from cranberrywall.runtime import Clock
from cranberrywall.targets import TargetIncarnation

PROMPTS_TOPIC = "target-ended-prompts"
CLEARED_TOPIC = "prompt-part-cleared"

PROVEN_FACTOR = 2.0
MIN_PROVEN_S = 0.25
MAX_PROVEN_S = 1.0
"""Bounds of the time for which a target must have written an answer to prove its prompt harmless,
in seconds. A part that ends targets ends them as they begin to write, so it is ``PROVEN_FACTOR``
times the time after which targets ended under the part."""

CLEARED_S = 2.0
"""Time for which an end is no evidence against a part after an answer proved it harmless, in
seconds. A host that starts receives old reports and clearances in any order."""

CLEARED_RETENTION_S = ENDING_RETENTION_S
"""Time after which a host removes its clearances from those that hosts exchange, in seconds. A host
that starts later than that finds no end that a clearance refers to."""

MIN_CLEARED_ENDS = 2
"""Number of ends under a part from which other hosts are notified that it was cleared. Hosts that
answer no prompts with the part have no proof of their own."""

MIN_SUSPECT_ENDS = 2
"""Number of ends under a part from which this host looks for proof that it is harmless."""

MAX_CLEARED = 4096
"""Maximum number of parts whose last clearance is kept."""


class PromptQuarantine:
    """Decide which prompts an entry host refuses.

    ``on_evidence`` is called when the evidence has changed.
    """

    def __init__(
        self,
        host: str,
        runs: Runs,
        gossip: Gossip,
        clock: Clock,
        on_evidence: Callable[[], None],
    ) -> None:
        self._host = host
        self._runs = runs
        self._gossip = gossip
        self._clock = clock
        self._on_evidence = on_evidence
        self._evidence = PromptEvidence()
        self._patterns = Patterns(gossip, clock, self._handle_held, self._handle_released)
        self._trials = Trials(host, clock.now())
        self._cleared = _Clearances()
        gossip.subscribe(PROMPTS_TOPIC, self._apply_report)
        gossip.subscribe(CLEARED_TOPIC, self._apply_cleared)

    def find(self, fingerprint: Fingerprint, traits: Traits, now: float) -> Held | None:
        """Return the decision that holds a request; ``None`` if it may be sent."""
        held = self._patterns.find(traits, now)
        if held is None or not self._trials.grants(held.decision.fingerprint, fingerprint, now):
            return held
        return held if self._runs.has_sent(fingerprint) else None

    def all_held(self) -> Sequence[Held]:
        """Return all held patterns, oldest first."""
        return self._patterns.all_held()

    def is_pattern(self, fingerprint: Fingerprint) -> bool:
        """Return whether a held pattern has this name."""
        return self._patterns.pattern_of(fingerprint) is not None

    def lift(self, fingerprint: Fingerprint, by: str) -> None:
        """Release a pattern on all hosts, and discard the evidence against its parts."""
        self._patterns.release(fingerprint, DecisionState.LIFTED, by)

    def state(self) -> dict[str, Any]:
        """Return the traits of each held pattern, for the state dump."""
        return {
            fingerprint.hex(): sorted(trait.hex() for trait in pattern)
            for held in self.all_held()
            if (pattern := self._patterns.pattern_of(fingerprint := held.decision.fingerprint))
        }

    def report(
        self, incarnation: TargetIncarnation, runs: Sequence[Run], ended_at: float, now: float
    ) -> None:
        """Report to all hosts, including this one, which prompts a target was answering."""
        report = encode_report(incarnation, self._host, runs, ended_at, now)
        if report is not None:
            self._publish(PROMPTS_TOPIC, _report_key(report), 1, QUARANTINE_CODEC.encode(report))

    def retract(self, incarnation: TargetIncarnation) -> None:
        """Retract this host's report of an old end on all hosts."""
        key = f"{incarnation.target}/{incarnation.incarnation}/{self._host}"
        self._publish(PROMPTS_TOPIC, key, 2, b"")

    def record_whole(self, traits: Traits) -> None:
        """Clear the parts of a prompt that a target answered completely."""
        self._clear([PartKey(part, traits.service) for part in traits.parts])
        held = self._patterns.find(traits, self._clock.now())
        if held is not None:
            self._patterns.release(held.decision.fingerprint, DecisionState.CLEARED, self._host)

    def evaluate(self, held_requests: Collection[Fingerprint]) -> None:
        """Hold the patterns that the evidence shows to be causes."""
        now = self._clock.now()
        self._clear_proven(self._evidence.suspects(MIN_SUSPECT_ENDS))
        endings = self._evidence.newest()
        for pattern in find_patterns(endings, self._patterns.known(now), held_requests):
            targets = [one.incarnation.target for one in endings if _has_run(one, pattern)]
            request_id = self._runs.request_id_with(pattern)
            name = self._patterns.hold(pattern, self._host, request_id, targets)
            log_event(
                "WARNING",
                "prompt_part_found",
                request=request_id,
                fingerprint=name.hex(),
                traits=",".join(sorted(trait.hex() for trait in pattern)),
                ended=len(targets),
            )

    def explained(self) -> Mapping[TargetIncarnation, dict[Fingerprint, float]]:
        """Return by which held patterns each end is explained, with their weights."""
        held = [held.decision.fingerprint for held in self.all_held()]
        if not held:
            return {}
        weights_by_incarnation: dict[TargetIncarnation, dict[Fingerprint, float]] = {}
        for ending in self._evidence.newest():
            for fingerprint in held:
                pattern = self._patterns.pattern_of(fingerprint) or frozenset()
                weights = [run.weight for run in ending.runs if pattern <= run.traits.all]
                if weights:
                    explained = weights_by_incarnation.setdefault(ending.incarnation, {})
                    explained[fingerprint] = max(weights)
        return weights_by_incarnation

    def expire(self, now: float) -> None:
        """Remove old decisions, evidence and clearances, and clear what is proven."""
        if self.all_held():
            for run in [run for run in self._runs.all() if _written_s(run) >= MAX_PROVEN_S]:
                self.record_whole(run.traits)
        self._patterns.expire(now)
        self._evidence.remove_expired(now)
        for key, number in self._cleared.pop_old(now):
            self._publish(CLEARED_TOPIC, _cleared_key(key), number + 1, b"")

    def _apply_report(self, item: Item) -> None:
        report = decode_item(item, PromptReport)
        runs = decode_runs(report) if report is not None else None
        if report is None or runs is None:
            return
        now = self._clock.now()
        incarnation = TargetIncarnation(report.target, report.incarnation)
        at = now - max(0, report.ago_ms) / 1000
        self._evidence.add(
            incarnation, report.host, at, [self._without_cleared(run, now) for run in runs]
        )
        self._clear_proven({part for run in runs for part in run.traits.parts})
        self._on_evidence()

    def _without_cleared(self, run: PromptRun, now: float) -> PromptRun:
        service = run.traits.service
        cleared = {
            part
            for part in run.traits.parts
            if self._cleared.is_recent(PartKey(part, service), now)
        }
        for part in cleared:
            self._cleared.count(PartKey(part, service), 1)
        return run._replace(traits=run.traits._replace(parts=run.traits.parts - cleared))

    def _clear_proven(self, parts: set[Trait]) -> None:
        """Clear the parts to which a target has been writing to this host for long enough."""
        written_s_by_key: dict[PartKey, float] = {}
        for run in self._runs.all():
            if (written_s := _written_s(run)) >= MIN_PROVEN_S:
                for part in run.traits.parts & parts:
                    key = PartKey(part, run.traits.service)
                    written_s_by_key[key] = max(written_s, written_s_by_key.get(key, 0.0))
        self._clear(
            [key for key, written_s in written_s_by_key.items() if written_s >= self._proven_s(key)]
        )

    def _proven_s(self, key: PartKey) -> float:
        """Return for how long an answer must be written to prove its prompt harmless."""
        answered_s = self._evidence.longest_answered_s(key)
        if answered_s is None:
            return MAX_PROVEN_S
        return min(MAX_PROVEN_S, max(MIN_PROVEN_S, PROVEN_FACTOR * answered_s))

    def _clear(self, keys: Collection[PartKey]) -> None:
        if not len(self._evidence):
            return
        now = self._clock.now()
        for key in keys:
            if not self._evidence.has(key) and not self._cleared.is_counted(key):
                continue
            self._cleared.mark(key, now)
            self._cleared.count(key, self._evidence.clear(key))
            if self._cleared.ends_of(key) >= MIN_CLEARED_ENDS:
                self._notify_cleared(key)
                self._on_evidence()

    def _notify_cleared(self, key: PartKey) -> None:
        number = self._cleared.next_number(key)
        message = PartCleared(key.part, key.service, self._host)
        payload = QUARANTINE_CODEC.encode(message)
        self._publish(CLEARED_TOPIC, _cleared_key(key), number, payload)

    def _apply_cleared(self, item: Item) -> None:
        # A removed clearance has a number, too, and the next one needs a higher one.
        self._cleared.learn_number(item.key, item.version[0])
        cleared = decode_item(item, PartCleared)
        if cleared is None:
            return
        key = PartKey(cleared.part, cleared.service)
        now = self._clock.now()
        self._cleared.reset_count(key)
        self._cleared.mark(key, now)
        if cleared.host == self._host:
            self._cleared.record_published(key, now)
        if self._evidence.clear(key):
            self._on_evidence()

    def _handle_held(self, pattern: Pattern) -> None:
        """Stop this host's runs of prompts that are held from now on."""
        reporters = [
            host
            for ending in self._evidence.newest()
            if _has_run(ending, pattern)
            for host in ending.reporters
        ]
        self._trials.plan(fingerprint_of_pattern(pattern), reporters, self._clock.now())
        stopped = self._runs.stop_with(pattern)
        if stopped:
            log_event("INFO", "held_prompts_stopped", runs=stopped)

    def _handle_released(self, pattern: Pattern, is_forgiven: bool) -> None:
        self._trials.drop(fingerprint_of_pattern(pattern))
        if not is_forgiven:
            return
        for key in self._evidence.keys_of(pattern):
            self._evidence.clear(key)

    def _publish(self, topic: str, key: str, number: int, payload: bytes) -> None:
        self._gossip.publish(Item(topic, key, (number,), payload, urgency=Urgency.URGENT))


class _Clearances:
    """Recent clearances of parts, and the number of ends that they cleared at this host alone."""

    def __init__(self) -> None:
        self._at_by_key: dict[PartKey, float] = {}
        self._ends_by_key: dict[PartKey, int] = {}
        self._number_by_item: dict[str, int] = {}
        self._published: dict[PartKey, float] = {}

    def is_recent(self, key: PartKey, now: float) -> bool:
        """Return whether a part was cleared within ``CLEARED_S``."""
        at = self._at_by_key.get(key)
        return at is not None and now - at < CLEARED_S

    def mark(self, key: PartKey, now: float) -> None:
        """Record that a part is cleared now."""
        self._at_by_key.pop(key, None)
        self._at_by_key[key] = now
        _limit(self._at_by_key)

    def count(self, key: PartKey, ends: int) -> None:
        """Add ends that were cleared without notifying the other hosts."""
        self._ends_by_key[key] = self._ends_by_key.pop(key, 0) + ends
        _limit(self._ends_by_key)

    def ends_of(self, key: PartKey) -> int:
        """Return how many ends were cleared without notifying the other hosts."""
        return self._ends_by_key.get(key, 0)

    def is_counted(self, key: PartKey) -> bool:
        """Return whether other hosts may have evidence against a part that this host cleared."""
        return self._ends_by_key.get(key, 0) >= MIN_CLEARED_ENDS

    def next_number(self, key: PartKey) -> int:
        """Return the number of the next clearance of a part."""
        return self._number_by_item.get(_cleared_key(key), 0) + 1

    def record_published(self, key: PartKey, now: float) -> None:
        """Record that this host published a clearance of a part, and must remove it later."""
        self._published.pop(key, None)
        self._published[key] = now

    def reset_count(self, key: PartKey) -> None:
        """Record that all hosts are notified of the clearance of a part."""
        self._ends_by_key.pop(key, None)

    def learn_number(self, item_key: str, number: int) -> None:
        """Record the number of a clearance that any host published or removed."""
        self._number_by_item.pop(item_key, None)
        self._number_by_item[item_key] = number
        _limit(self._number_by_item)

    def pop_old(self, now: float) -> list[tuple[PartKey, int]]:
        """Return this host's clearances that are too old, with their numbers."""
        old = [key for key, at in self._published.items() if now - at > CLEARED_RETENTION_S]
        for key in old:
            del self._published[key]
        return [(key, self._number_by_item.get(_cleared_key(key), 0)) for key in old]


def _limit(by_key: dict[Any, Any]) -> None:
    if len(by_key) > MAX_CLEARED:
        del by_key[next(iter(by_key))]


def _written_s(run: Run) -> float:
    """Return for how long a target has been writing a run's answer, in seconds."""
    if run.answered_at is None or run.progress_at is None:
        return 0.0
    return run.progress_at - run.answered_at


def _has_run(ending: PromptEnding, pattern: Pattern) -> bool:
    return any(pattern <= run.traits.all for run in ending.runs)


def _report_key(report: PromptReport) -> str:
    return f"{report.target}/{report.incarnation}/{report.host}"


def _cleared_key(key: PartKey) -> str:
    return f"{key.part.hex()}/{key.service.hex()}"
