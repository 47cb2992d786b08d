"""Infer which part of prompts ends the targets that begin to answer to it.

A part that ends each target is never in a whole answer, and stands in requests of which no two need
to be alike. So a part is the cause if several targets ended, one after the other, as they began
different requests with it, and no answer to a prompt with it was written meanwhile. Ends that a
known cause explains are no evidence against the other parts that were at these targets.

The pattern of a cause is all that its requests had in common: the part, its workspace if there was
only one, and each part that always stood beside it and was never answered without it. A request
with the pattern is refused. One with less of it is the trial that shows which part is the cause.

Parts that are exactly as likely as each other may have met by chance at targets that a common cause
ended. Each is held by the moments at which no other one was at a target that ended, or all are held
by so many ends that all of them are likely to be causes.

The odds are those of naive Bayes with the constants for requests. Targets that end at the same
moment count once: a common cause, such as a lost rack, ends them together.
"""

from collections.abc import Collection, Iterable, Sequence
from math import log
from typing import NamedTuple

from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._inference import (
    HOLD_THRESHOLD,
    MIN_ENDINGS,
    PRIOR,
    PRIOR_WHILE_HELD,
    UNRELATED_ENDING_PROBABILITY,
    log_odds_of,
)
from cranberrywall.quarantine._prompt_evidence import PromptEnding, PromptRun
from cranberrywall.quarantine._traits import Pattern, Trait

SIMULTANEOUS_S = 0.1
"""Targets that end within this time of each other count as one end, in seconds."""

MAX_FOUND = 16
"""Maximum number of patterns that one evaluation finds."""


class KnownPattern(NamedTuple):
    """Pattern that explains the ends until a time; ``until`` is infinite while it is held."""

    pattern: Pattern
    until: float


class _Suspicion(NamedTuple):
    """End at which a part may be the cause, with the runs that had the part."""

    ending: PromptEnding
    runs: Sequence[PromptRun]
    is_explained: bool


class _Candidate(NamedTuple):
    """Pattern of a part that is likely enough to be the cause of some ends."""

    pattern: Pattern
    odds: float
    suspicions: Sequence[_Suspicion]


def find_patterns(
    endings: Sequence[PromptEnding],
    known: Iterable[KnownPattern],
    held_requests: Collection[Fingerprint] = (),
) -> list[Pattern]:
    """Return the patterns that explain the ends that neither known patterns nor requests do."""
    all_known = list(known)
    found: list[Pattern] = []
    while len(found) < MAX_FOUND:
        likeliest = _likeliest(endings, all_known, held_requests)
        if not likeliest:
            break
        found += likeliest
        all_known += [KnownPattern(pattern, float("inf")) for pattern in likeliest]
    return found


def _likeliest(
    endings: Sequence[PromptEnding],
    known: Sequence[KnownPattern],
    held_requests: Collection[Fingerprint],
) -> list[Pattern]:
    """Return the pattern of the likeliest part, or several if they are equally likely."""
    candidates = _candidates(endings, known, held_requests)
    if not candidates:
        return []
    highest = max(one.odds for one in candidates.values())
    likeliest = [one for one in candidates.values() if one.odds == highest]
    # A part that stands in all these prompts and others besides is as likely as a part that
    # stands in these alone. The narrower pattern refuses less.
    rivals = [
        one for one in likeliest if not any(one.pattern < other.pattern for other in likeliest)
    ]
    odds_of_all = highest + (len(rivals) - 1) * log_odds_of(PRIOR_WHILE_HELD)
    if odds_of_all >= log_odds_of(HOLD_THRESHOLD):
        return [one.pattern for one in rivals]
    return [one.pattern for one in rivals if _is_shown_alone(one, rivals)]


def _candidates(
    endings: Sequence[PromptEnding],
    known: Sequence[KnownPattern],
    held_requests: Collection[Fingerprint],
) -> dict[Pattern, _Candidate]:
    """Return the patterns of the parts that are likely enough."""
    is_held = any(one.until == float("inf") for one in known)
    prior = log_odds_of(PRIOR_WHILE_HELD if is_held else PRIOR)
    candidates: dict[Pattern, _Candidate] = {}
    for suspicions in _suspicions_by_part(endings, known, held_requests).values():
        if len(suspicions) < MIN_ENDINGS or _is_one_request(suspicions):
            continue
        odds = prior + _evidence(suspicions)
        if odds >= log_odds_of(HOLD_THRESHOLD):
            pattern = _pattern_of(suspicions)
            candidates[pattern] = _Candidate(pattern, odds, suspicions)
    return candidates


def _is_shown_alone(candidate: _Candidate, rivals: Sequence[_Candidate]) -> bool:
    """Return whether a part is likely enough without the moments of its rivals' ends."""
    rivals_at = [
        suspicion.ending.at
        for rival in rivals
        if rival.pattern != candidate.pattern
        for suspicion in rival.suspicions
    ]
    alone = [
        suspicion
        for suspicion in candidate.suspicions
        if all(abs(suspicion.ending.at - at) > SIMULTANEOUS_S for at in rivals_at)
    ]
    return log_odds_of(PRIOR_WHILE_HELD) + _evidence(alone) >= log_odds_of(HOLD_THRESHOLD)


def _suspicions_by_part(
    endings: Sequence[PromptEnding],
    known: Sequence[KnownPattern],
    held_requests: Collection[Fingerprint],
) -> dict[Trait, list[_Suspicion]]:
    """Return the ends at which each part may be the cause, if at least one is unexplained."""
    found: dict[Trait, list[_Suspicion]] = {}
    for ending in endings:
        causes = [
            one.pattern
            for one in known
            if ending.at < one.until and any(one.pattern <= run.traits.all for run in ending.runs)
        ]
        held = [run.traits.parts for run in ending.runs if run.fingerprint in held_requests]
        for part, runs in _runs_by_part(ending).items():
            if any(part not in cause for cause in causes) or any(part not in h for h in held):
                continue
            if causes:
                runs = [run for run in runs if any(cause <= run.traits.all for cause in causes)]
            if runs:
                found.setdefault(part, []).append(_Suspicion(ending, runs, bool(causes)))
    return {
        part: suspicions
        for part, suspicions in found.items()
        if not all(one.is_explained for one in suspicions)
    }


def _runs_by_part(ending: PromptEnding) -> dict[Trait, list[PromptRun]]:
    runs_by_part: dict[Trait, list[PromptRun]] = {}
    for run in ending.runs:
        for part in run.traits.parts:
            runs_by_part.setdefault(part, []).append(run)
    return runs_by_part


def _is_one_request(suspicions: Sequence[_Suspicion]) -> bool:
    """Return whether one request was at all these ends, which may then be the cause itself."""
    at_all = {run.fingerprint for run in suspicions[0].runs}
    for suspicion in suspicions[1:]:
        at_all &= {run.fingerprint for run in suspicion.runs}
    return bool(at_all)


def _evidence(suspicions: Sequence[_Suspicion]) -> float:
    """Return the log of the likelihood ratio of the ends."""
    total = heaviest = 0.0
    first_at = float("-inf")
    for suspicion in sorted(suspicions, key=lambda one: one.ending.at):
        weight = max(run.weight for run in suspicion.runs)
        ratio = max(0.0, log(weight / UNRELATED_ENDING_PROBABILITY))
        if suspicion.ending.at - first_at > SIMULTANEOUS_S:
            total += heaviest
            first_at, heaviest = suspicion.ending.at, ratio
        heaviest = max(heaviest, ratio)
    return total + heaviest


def _pattern_of(suspicions: Sequence[_Suspicion]) -> Pattern:
    """Return what all runs with the part had in common."""
    return frozenset.intersection(
        *(run.traits.all for suspicion in suspicions for run in suspicion.runs)
    )
