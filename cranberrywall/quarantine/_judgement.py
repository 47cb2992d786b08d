"""Tell the request that ends targets from those that merely ran beside it.

Each target that ended was at a number of requests, and at most a few of these were the cause. A
request's odds rise with each target that ended under it, by as much as nothing else explains that
end: an end that another request explains well says nothing about the rest. So requests that were
taken down with a guilty one are cleared by its guilt, and two that were always together stay in
doubt, both, until they run apart.

This is naive Bayes, with the chance of "anything else" taken from the other requests' own odds,
and brought to rest by going a part of the way each time.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from math import exp, log
from typing import NamedTuple

from cranberrywall.quarantine._fingerprint import Fingerprint

PRIOR = 1e-4
"""Chance that a request ends targets, before anything is known: one in ten thousand is generous."""

PRIOR_AMONG_OTHERS = 1e-3
"""The same while a request is held back: where there is one, there are often more. It saves one
target for each further one."""

BY_CHANCE = 0.02
"""Chance that a target ends under a run for a reason that has nothing to do with any request, such
as a lost machine. Set high: with real ones well below one in a thousand, it keeps a request that
met three such ends in a row from being held back."""

HELD_FROM = 0.99
"""A request this likely to end targets is held back. Where one run in fifty meets its target's end
by chance, that takes four targets that ended as they began it, or five where it can't be told
whether they had begun it; three and four while another request is held."""

DOUBTED_FROM = 0.05
"""A request this likely to end targets is in doubt: that takes two such ends."""

LEAST_ENDINGS = 2
"""A request under which fewer targets ended is not looked at by itself: it stays at its prior."""

_MOST_LOG_ODDS = 20.0
_MOST_ROUNDS = 60
_AT_REST = 1e-3
_NEAR_ONE = 1.0 - 1e-9

Weights = Mapping[Fingerprint, float]
"""For each request that a target was at as it ended: how likely the end would have been seen so,
with the request as its cause; 0 to 1."""


class _Reduced(NamedTuple):
    """Hold one end: ``otherwise`` is the chance that neither a request that is not open nor
    anything else is its cause."""

    otherwise: float
    weight_by_open: Weights


def chances(
    ends: Sequence[Weights], held: Collection[Fingerprint] = ()
) -> dict[Fingerprint, float]:
    """Return how likely each request ends targets that begin it, where two or more ended.

    Requests that are ``held`` already count as certain.
    """
    counts = Counter(fingerprint for weights in ends for fingerprint in weights)
    open_ones = {
        fingerprint
        for fingerprint, count in counts.items()
        if count >= LEAST_ENDINGS and fingerprint not in held
    }
    if not open_ones:
        return {}
    reduced = [
        _reduce(weights, open_ones, held) for weights in ends if not open_ones.isdisjoint(weights)
    ]
    prior = _log_odds(PRIOR_AMONG_OTHERS if held else PRIOR)
    # Two that explain the same ends push each other down and up by turns where each goes all
    # the way at once. The more ends they share, the smaller the part has to be.
    part = 1.0 / (1.0 + max(counts[fingerprint] for fingerprint in open_ones))
    log_odds = dict.fromkeys(open_ones, prior)
    for _ in range(_MOST_ROUNDS):
        target = _reckon(reduced, prior, {one: _chance(odds) for one, odds in log_odds.items()})
        steps = {one: part * (target[one] - odds) for one, odds in log_odds.items()}
        for one, step in steps.items():
            log_odds[one] += step
        if max(map(abs, steps.values())) < _AT_REST:
            break
    return {one: _chance(odds) for one, odds in log_odds.items()}


def _reduce(
    weights: Weights, open_ones: Collection[Fingerprint], held: Collection[Fingerprint]
) -> _Reduced:
    """Put together all that does not change from round to round."""
    otherwise = 1.0 - BY_CHANCE
    for one, weight in weights.items():
        if one not in open_ones:
            otherwise *= _not_by(1.0 if one in held else PRIOR, weight)
    return _Reduced(otherwise, {one: weights[one] for one in weights if one in open_ones})


def _reckon(
    ends: Sequence[_Reduced], prior: float, chance: Mapping[Fingerprint, float]
) -> dict[Fingerprint, float]:
    """Return the log odds of the open requests, by the chances of all as they stand."""
    target = dict.fromkeys(chance, prior)
    for ending in ends:
        unexplained = ending.otherwise
        for one, weight in ending.weight_by_open.items():
            unexplained *= _not_by(chance[one], weight)
        for one, weight in ending.weight_by_open.items():
            by_others = 1.0 - unexplained / _not_by(chance[one], weight)
            target[one] += log((by_others + (1.0 - by_others) * weight) / by_others)
    return {one: max(-_MOST_LOG_ODDS, min(_MOST_LOG_ODDS, odds)) for one, odds in target.items()}


def _not_by(chance: float, weight: float) -> float:
    """Return the chance that a request is not the cause of an end; never quite 0."""
    return 1.0 - min(_NEAR_ONE, chance * weight)


def _log_odds(chance: float) -> float:
    return log(chance / (1.0 - chance))


def _chance(log_odds: float) -> float:
    return 1.0 / (1.0 + exp(-log_odds))
