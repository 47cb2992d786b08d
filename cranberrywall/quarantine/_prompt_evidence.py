"""Parts of prompts under which each target ended, as reported by all hosts.

Times are monotonic seconds of this host.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cranberrywall.quarantine._evidence import ENDING_RETENTION_S, MAX_ENDINGS, MAX_EVALUATED
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._traits import Trait, Traits
from cranberrywall.targets import TargetIncarnation


class PromptRun(NamedTuple):
    """Run at a target as it ended; its traits lack the parts that were cleared since.

    ``answered_s`` is the time since the head of its answer, in seconds; ``None`` if it had none.
    """

    fingerprint: Fingerprint
    weight: float
    answered_s: float | None
    traits: Traits


class PromptEnding(NamedTuple):
    """End of a target; ``at`` is when the first host lost its connections to it."""

    incarnation: TargetIncarnation
    at: float
    runs: Sequence[PromptRun]
    reporters: frozenset[str] = frozenset()


class PartKey(NamedTuple):
    """Part of a prompt at the targets of one service."""

    part: Trait
    service: Trait


class _Record:
    __slots__ = ("at", "reporters", "run_by_fingerprint")

    def __init__(self, at: float) -> None:
        self.at = at
        self.reporters: set[str] = set()
        self.run_by_fingerprint: dict[Fingerprint, PromptRun] = {}


class PromptEvidence:
    """Ends of targets with the prompts that they were answering, oldest first."""

    def __init__(self) -> None:
        self._by_incarnation: dict[TargetIncarnation, _Record] = {}
        self._incarnations_by_part: dict[PartKey, set[TargetIncarnation]] = {}

    def __len__(self) -> int:
        return len(self._by_incarnation)

    def add(
        self, incarnation: TargetIncarnation, host: str, at: float, runs: Iterable[PromptRun]
    ) -> None:
        """Add the runs that a host reports at a target that ended."""
        record = self._by_incarnation.setdefault(incarnation, _Record(at))
        record.at = min(record.at, at)
        record.reporters.add(host)
        for run in runs:
            known = record.run_by_fingerprint.get(run.fingerprint)
            if known is None or known.weight < run.weight:
                record.run_by_fingerprint[run.fingerprint] = run
            for part in run.traits.parts:
                key = PartKey(part, run.traits.service)
                self._incarnations_by_part.setdefault(key, set()).add(incarnation)
        for oldest in list(self._by_incarnation)[: -MAX_ENDINGS or None]:
            self._remove(oldest)

    def has(self, key: PartKey) -> bool:
        """Return whether a target ended under a part that was not cleared since."""
        return key in self._incarnations_by_part

    def clear(self, key: PartKey) -> int:
        """Remove the evidence against a part; return the number of ends that it concerned."""
        incarnations = self._incarnations_by_part.pop(key, set())
        for incarnation in incarnations:
            runs = self._by_incarnation[incarnation].run_by_fingerprint
            for fingerprint, run in runs.items():
                if run.traits.service == key.service and key.part in run.traits.parts:
                    runs[fingerprint] = run._replace(traits=_without(run.traits, key.part))
        return len(incarnations)

    def suspects(self, least: int) -> set[Trait]:
        """Return the parts with at least so many ends."""
        return {
            key.part
            for key, incarnations in self._incarnations_by_part.items()
            if len(incarnations) >= least
        }

    def longest_answered_s(self, key: PartKey) -> float | None:
        """Return for how long targets had been answering a part when they ended, in seconds.

        At each end the run that was answered last counts, and of all ends the one with the longest
        time. It is ``None`` if a target ended that had answered no such run.
        """
        longest_s = 0.0
        for incarnation in self._incarnations_by_part.get(key, ()):
            runs = self._by_incarnation[incarnation].run_by_fingerprint.values()
            answered = [
                run.answered_s
                for run in runs
                if key.part in run.traits.parts and run.answered_s is not None
            ]
            if not answered:
                return None
            longest_s = max(longest_s, min(answered))
        return longest_s

    def keys_of(self, parts: Iterable[Trait]) -> list[PartKey]:
        """Return the evidence keys of parts, for all services."""
        wanted = frozenset(parts)
        return [key for key in self._incarnations_by_part if key.part in wanted]

    def newest(self) -> list[PromptEnding]:
        """Return the newest ends."""
        newest = list(self._by_incarnation.items())[-MAX_EVALUATED:]
        return [
            PromptEnding(
                incarnation,
                record.at,
                list(record.run_by_fingerprint.values()),
                frozenset(record.reporters),
            )
            for incarnation, record in newest
        ]

    def remove_expired(self, now: float) -> None:
        """Remove the ends that are too old."""
        for incarnation, record in list(self._by_incarnation.items()):
            if now - record.at > ENDING_RETENTION_S:
                self._remove(incarnation)

    def _remove(self, incarnation: TargetIncarnation) -> None:
        record = self._by_incarnation.pop(incarnation)
        for run in record.run_by_fingerprint.values():
            for part in run.traits.parts:
                key = PartKey(part, run.traits.service)
                others = self._incarnations_by_part.get(key, set())
                others.discard(incarnation)
                if not others:
                    self._incarnations_by_part.pop(key, None)


def _without(traits: Traits, part: Trait) -> Traits:
    return traits._replace(parts=traits.parts - {part})
