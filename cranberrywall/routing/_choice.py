"""Choose the target with the shortest estimated wait from a few candidates."""

from collections.abc import Container, Sequence
from heapq import nlargest
from typing import NamedTuple

from cranberrywall.routing._candidates import Candidate, Claim
from cranberrywall.routing._interfaces import Demand
from cranberrywall.routing._waits import WaitModel, Work
from cranberrywall.runtime import Random
from cranberrywall.targets import Backoffs, GroupMeans, PrefixIndex

CHOICES = 2
"""Candidates that are drawn by chance; holders of the prompt's prefix come on top."""

MAX_DRAWS = 6
"""Draws before all candidates are looked at in turn."""

HOMES = 2
"""Candidates by a hash of the prompt's beginning: the same ones on every host."""

HOMES_TRIED = 3
"""Targets in the order of the hash that are looked at, until one may be chosen.

Two that fail or are full at once are passed over; a third is rarer than a prompt read again.
"""

HOME_BLOCKS = 4
"""A prompt's beginning is this many blocks."""


class Chosen(NamedTuple):
    """Hold a choice with what was predicted for it."""

    candidate: Candidate
    work: Work
    predicted_s: float
    missed_blocks: int
    cached_share: float
    bounded: bool


class Choice:
    """Choose among candidates; one for each model or service."""

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
        usual: GroupMeans,
        barred: Container[str],
        now: float,
    ) -> Chosen | None:
        """Return the best of two by chance and the prefix holders, or ``None``.

        ``claim`` says which of the targets' limits hold for the demand; ``barred`` targets must
        not be chosen.
        """
        fits = _Fit(demand, claim, usual, barred, self._backoffs, now)
        matches = self._prefixes.matches(demand.prefix_hashes, now)
        drawn = self._draw(candidates, fits)
        if not drawn:
            return None
        preferred = [candidate_by_id[known] for known in matches if known in candidate_by_id]
        if demand.affinity_hash:
            self._add_home(demand, candidates, fits, drawn, matches)
        else:
            preferred += _homes(demand, candidates)
        for candidate in preferred:
            if candidate not in drawn:
                fits.add(candidate, drawn)
        return self._best(demand, claim, drawn, matches, now)

    def _draw(self, candidates: Sequence[Candidate], fits: "_Fit") -> dict[Candidate, float]:
        drawn: dict[Candidate, float] = {}
        size = len(candidates)
        if size > CHOICES:
            for _ in range(MAX_DRAWS):
                fits.add(candidates[self._random.randrange(0, size)], drawn)
                if len(drawn) == CHOICES:
                    return drawn
        # Few candidates have room, or there are few: chance would miss them.
        for candidate in candidates:
            fits.add(candidate, drawn)
        return drawn

    def _add_home(
        self,
        demand: Demand,
        candidates: Sequence[Candidate],
        fits: "_Fit",
        drawn: dict[Candidate, float],
        matches: dict[str, int],
    ) -> None:
        """Add the target that all hosts send such prompts to, and take it to have them cached.

        Where many hosts share many prompts, each of them meets a prompt too seldom to learn who
        has it. The first target in the order of a hash that may be chosen is the same one for
        all hosts; where it is set aside, all go to the next. With 58 hosts, targets read 252
        thousand shared tokens again in a minute instead of 1,595 thousand, as counted in
        their answers.
        """
        for candidate in _ranked(demand.affinity_hash, candidates)[:HOMES_TRIED]:
            fits.add(candidate, drawn)
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
        for candidate, busy in drawn.items():
            missed = blocks - matches.get(candidate.target_id, 0)
            work = candidate.work(missed, busy)
            predicted = self._waits.predict(work)
            delays = predicted + self._waits.delay_to_others(missed)
            cost = (candidate.weigh(delays, now), self._random.random())
            if best is None or cost < best_cost:
                share = 1.0 - missed / blocks if blocks else 1.0
                best = Chosen(candidate, work, predicted, missed, share, bounded)
                best_cost = cost
        return best


class _Fit:
    """Find which candidates may take one demand, and how busy they are."""

    def __init__(
        self,
        demand: Demand,
        claim: Claim,
        usual: GroupMeans,
        barred: Container[str],
        backoffs: Backoffs,
        now: float,
    ) -> None:
        self._backoffs = backoffs
        self._demand = demand
        self._claim = claim
        self._usual = usual
        self._barred = barred
        self._now = now

    def add(self, candidate: Candidate, drawn: dict[Candidate, float]) -> None:
        """Put ``candidate`` into ``drawn``, with how busy it is, where it may be chosen."""
        demand = self._demand
        if candidate.target_id in demand.exclude or candidate.target_id in self._barred:
            return
        if self._backoffs.blocks_requests(candidate.start, self._now):
            return
        if not candidate.serves(demand.version, demand.adapter):
            return
        if not candidate.has_room(self._claim, self._now):
            return
        if demand.retry and not candidate.retries.allows(self._now):
            return
        drawn[candidate] = candidate.busy(self._usual, self._now)


def _homes(demand: Demand, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return where every host looks first for a prompt that begins like this one.

    Without it each host would warm a cache of its own for a popular beginning, and the
    targets' caches would hold the same blocks many times.
    """
    if not demand.prefix_hashes:
        return []
    start = demand.prefix_hashes[:HOME_BLOCKS][-1]
    key = int.from_bytes(start, "big")
    return nlargest(HOMES, candidates, key=lambda candidate: _mix(candidate.seed ^ key))


def _ranked(affinity_hash: bytes, candidates: Sequence[Candidate]) -> list[Candidate]:
    key = int.from_bytes(affinity_hash[:8], "big")
    return nlargest(HOMES_TRIED, candidates, key=lambda candidate: _mix(candidate.seed ^ key))


def _mix(number: int) -> int:
    return number * _GOLDEN & _MASK


_GOLDEN = 0x9E3779B97F4A7C15
_MASK = 2**64 - 1
