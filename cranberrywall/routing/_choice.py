"""Choose the target with the shortest estimated wait from a few candidates."""

from collections.abc import Container, Sequence
from heapq import nlargest
from typing import NamedTuple

from cranberrywall.routing._candidates import Candidate, Claim
from cranberrywall.routing._interfaces import Demand
from cranberrywall.routing._waits import WaitModel, Work
from cranberrywall.runtime import Random
from cranberrywall.targets import Backoffs, GroupMeans, PrefixIndex

RANDOM_CHOICES = 2
"""Number of candidates that are drawn at random; targets that have the prompt's prefix cached
are added."""

MAX_DRAWS = 6
"""Maximum number of random draws; after them all candidates are examined in turn."""

AFFINITY_TARGETS = 2
"""Number of candidates selected by a hash of the prompt's beginning; all hosts select the same
ones."""

MAX_AFFINITY_TARGETS_TRIED = 3
"""Number of targets that are examined in the order of the hash, until one may be chosen.

This covers two targets that fail or are full at the same time. A third one at the same time is
rarer than a prompt that must be processed again anyway."""

AFFINITY_BLOCKS = 4
"""Number of blocks in the beginning of a prompt."""


class Chosen(NamedTuple):
    """A chosen target with the predictions that were made for it."""

    candidate: Candidate
    work: Work
    predicted_s: float
    missed_blocks: int
    cached_share: float
    bounded: bool


class Choice:
    """Choose among the candidates of one model or service."""

    def __init__(
        self, random: Random, waits: WaitModel, prefixes: PrefixIndex, backoffs: Backoffs
    ) -> None:
        self._backoffs = backoffs
        self._random = random
        self._waits = waits
        self._prefixes = prefixes

    def choose(
        self,
        demand: Demand,
        claim: Claim,
        candidates: Sequence[Candidate],
        candidate_by_id: dict[str, Candidate],
        group_means: GroupMeans,
        barred: Container[str],
        now: float,
    ) -> Chosen | None:
        """Return the best of two random candidates and the prefix holders, or ``None``.

        ``claim`` selects which of the targets' limits apply to the demand. ``barred`` targets are
        not chosen.
        """
        eligibility = _Eligibility(demand, claim, group_means, barred, self._backoffs, now)
        matches = self._prefixes.matches(demand.prefix_hashes, now)
        drawn = self._draw(candidates, eligibility)
        if not drawn:
            return None
        preferred = [
            candidate_by_id[target_id] for target_id in matches if target_id in candidate_by_id
        ]
        if demand.affinity_hash:
            self._add_affinity_target(demand, candidates, eligibility, drawn, matches)
        else:
            preferred += _prefix_affinity_targets(demand, candidates)
        for candidate in preferred:
            if candidate not in drawn:
                eligibility.add(candidate, drawn)
        return self._best(demand, claim, drawn, matches, now)

    def _draw(
        self, candidates: Sequence[Candidate], eligibility: "_Eligibility"
    ) -> dict[Candidate, float]:
        drawn: dict[Candidate, float] = {}
        size = len(candidates)
        if size > RANDOM_CHOICES:
            for _ in range(MAX_DRAWS):
                eligibility.add(candidates[self._random.randrange(0, size)], drawn)
                if len(drawn) == RANDOM_CHOICES:
                    return drawn
        # Few candidates have capacity, or there are few candidates: random draws would miss them.
        for candidate in candidates:
            eligibility.add(candidate, drawn)
        return drawn

    def _add_affinity_target(
        self,
        demand: Demand,
        candidates: Sequence[Candidate],
        eligibility: "_Eligibility",
        drawn: dict[Candidate, float],
        matches: dict[str, int],
    ) -> None:
        """Add the target that all hosts send such prompts to, and treat the prompt as cached there.

        If many hosts share many prompts, each host sees one prompt too rarely to find out which
        target has it cached. The first eligible target in the order of a hash is the same for all
        hosts; if it is not eligible, all hosts use the next one. With 58 hosts, targets processed
        252 thousand shared tokens again in a minute instead of 1,595 thousand, as counted in their
        answers.
        """
        for candidate in _ranked_by_hash(demand.affinity_hash, candidates)[
            :MAX_AFFINITY_TARGETS_TRIED
        ]:
            eligibility.add(candidate, drawn)
            if candidate in drawn:
                matches[candidate.target_id] = len(demand.prefix_hashes)
                return

    def _best(
        self,
        demand: Demand,
        claim: Claim,
        drawn: dict[Candidate, float],
        matches: dict[str, int],
        now: float,
    ) -> Chosen | None:
        bounded = claim is Claim.BOUNDED
        best: Chosen | None = None
        best_cost = (0.0, 0.0)
        blocks = len(demand.prefix_hashes)
        for candidate, estimated_load in drawn.items():
            missed_blocks = blocks - matches.get(candidate.target_id, 0)
            work = candidate.work(missed_blocks, estimated_load)
            predicted_s = self._waits.predict(work)
            delays = predicted_s + self._waits.delay_to_others(missed_blocks)
            cost = (candidate.cost_s(delays, now), self._random.random())
            if best is None or cost < best_cost:
                cached_share = 1.0 - missed_blocks / blocks if blocks else 1.0
                best = Chosen(candidate, work, predicted_s, missed_blocks, cached_share, bounded)
                best_cost = cost
        return best


class _Eligibility:
    """Check which candidates are eligible for one demand, and estimate their load."""

    def __init__(
        self,
        demand: Demand,
        claim: Claim,
        group_means: GroupMeans,
        barred: Container[str],
        backoffs: Backoffs,
        now: float,
    ) -> None:
        self._backoffs = backoffs
        self._demand = demand
        self._claim = claim
        self._group_means = group_means
        self._barred = barred
        self._now = now

    def add(self, candidate: Candidate, drawn: dict[Candidate, float]) -> None:
        """Add ``candidate`` with its estimated load to ``drawn`` if it is eligible."""
        demand = self._demand
        if candidate.target_id in demand.exclude or candidate.target_id in self._barred:
            return
        if self._backoffs.blocks_requests(candidate.target_incarnation, self._now):
            return
        if not candidate.serves(demand.version, demand.adapter):
            return
        if not candidate.has_capacity(self._claim, self._now):
            return
        if demand.retry and not candidate.retries.allows(self._now):
            return
        drawn[candidate] = candidate.estimated_load(self._group_means, self._now)


def _prefix_affinity_targets(demand: Demand, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates that every host considers first for prompts with this beginning.

    Without it each host would fill the cache of another target for a popular beginning, and the
    targets' caches would store the same blocks many times.
    """
    if not demand.prefix_hashes:
        return []
    beginning = demand.prefix_hashes[:AFFINITY_BLOCKS][-1]
    key = int.from_bytes(beginning, "big")
    return nlargest(AFFINITY_TARGETS, candidates, key=lambda candidate: _mix(candidate.seed ^ key))


def _ranked_by_hash(affinity_hash: bytes, candidates: Sequence[Candidate]) -> list[Candidate]:
    key = int.from_bytes(affinity_hash[:8], "big")
    return nlargest(
        MAX_AFFINITY_TARGETS_TRIED, candidates, key=lambda candidate: _mix(candidate.seed ^ key)
    )


def _mix(number: int) -> int:
    return number * _GOLDEN & _MASK


_GOLDEN = 0x9E3779B97F4A7C15
"""Multiplier of the hash: 2**64 divided by the golden ratio."""

_MASK = 2**64 - 1
"""Bit mask that keeps the lowest 64 bits."""
