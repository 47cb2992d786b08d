"""Infer which requests end targets, and which ones only ran at the same time.

Each target that ended was running a number of requests, and at most a few of these were the cause.
The odds of a request rise with each target that ended while running it; they rise less if other
causes explain that end well, and an end that another request explains fully is no evidence against
the rest. Requests that ran beside the cause are therefore cleared once the cause is found. Two
requests that always ran together both stay in doubt until they run apart.

This is naive Bayes, in which the probability of "any other cause" comes from the odds of the other
requests. The odds are iterated to a fixed point with damped steps.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from math import exp, log
from typing import NamedTuple

from cranberrywall.quarantine._fingerprint import Fingerprint

PRIOR = 1e-4
"""Prior probability that a request ends targets: one in ten thousand is a generous estimate."""

PRIOR_WHILE_HELD = 1e-3
"""Prior probability while a request is held: if there is one such request, there are often more. A
higher prior saves one target for each further request."""

PRIOR_AFTER_HOLD = 0.9
"""Prior probability of a request that was held until its time was over: one more end as it started
holds it again."""

UNRELATED_ENDING_PROBABILITY = 0.02
"""Probability that a target ends during a run for a reason unrelated to any request, such as a lost
machine. It is set high: real values are well below one in a thousand, so a request that coincides
with three such ends in a row is not held."""

HOLD_THRESHOLD = 0.99
"""A request is held at this probability of ending targets. If one run in fifty coincides with an
unrelated end of its target, this takes four targets that ended as they started to run the request,
or five if it can't be determined whether they had started it. While another request is held, it
takes three and four."""

DOUBT_THRESHOLD = 0.05
"""A request is in doubt at this probability of ending targets: it takes two such ends."""

SUSPECT_THRESHOLD = 0.75
"""From this probability of ending targets on, a request runs at one target of the whole fleet at a
time: it takes three such ends."""

MIN_ENDINGS = 2
"""Minimum number of ends for which a request is evaluated; with fewer it stays at its prior. One is
enough for a request that was held before."""

_MAX_LOG_ODDS = 20.0
_MAX_ROUNDS = 60
_CONVERGED_STEP = 1e-3
"""The iteration ends if no log odds change by this much or more in a round."""
_MAX_PROBABILITY = 1.0 - 1e-9

Weights = Mapping[Fingerprint, float]
"""Likelihood of each end, as it was observed, for each request at the target if that request were
its cause; from 0 to 1."""


class _Reduced(NamedTuple):
    """One end, reduced to the requests that are evaluated.

    ``not_by_others`` is the probability that no other request and no unrelated reason caused it.
    """

    not_by_others: float
    weight_by_candidate: Weights


def probabilities(
    ends: Sequence[Weights],
    held: Collection[Fingerprint] = (),
    held_before: Collection[Fingerprint] = (),
) -> dict[Fingerprint, float]:
    """Return the probability that each request with enough ends is one that ends targets.

    Requests in ``held`` count as certain causes and are not evaluated. Those in ``held_before`` are
    no longer held because their time was over.
    """
    counts = Counter(fingerprint for weights in ends for fingerprint in weights)
    candidates = {
        fingerprint
        for fingerprint, count in counts.items()
        if (count >= MIN_ENDINGS or fingerprint in held_before) and fingerprint not in held
    }
    if not candidates:
        return {}
    reduced = [
        _reduce(weights, candidates, held) for weights in ends if not candidates.isdisjoint(weights)
    ]
    prior = log_odds_of(PRIOR_WHILE_HELD if held else PRIOR)
    prior_by_candidate = {
        one: log_odds_of(PRIOR_AFTER_HOLD) if one in held_before else prior for one in candidates
    }
    # With full steps, two requests that explain the same ends would push each other up and down by
    # turns. The more ends they share, the smaller the step has to be.
    step_size = 1.0 / (1.0 + max(counts[fingerprint] for fingerprint in candidates))
    log_odds = dict(prior_by_candidate)
    for _ in range(_MAX_ROUNDS):
        updated = _updated_log_odds(
            reduced,
            prior_by_candidate,
            {one: _probability(odds) for one, odds in log_odds.items()},
        )
        steps = {one: step_size * (updated[one] - odds) for one, odds in log_odds.items()}
        for one, step in steps.items():
            log_odds[one] += step
        if max(map(abs, steps.values())) < _CONVERGED_STEP:
            break
    return {one: _probability(odds) for one, odds in log_odds.items()}


def log_odds_of(probability: float) -> float:
    """Return the natural logarithm of the odds of a probability."""
    return log(probability / (1.0 - probability))


def _reduce(
    weights: Weights, candidates: Collection[Fingerprint], held: Collection[Fingerprint]
) -> _Reduced:
    """Combine the factors of an end that do not change from round to round."""
    not_by_others = 1.0 - UNRELATED_ENDING_PROBABILITY
    for one, weight in weights.items():
        if one not in candidates:
            not_by_others *= _probability_not_caused(1.0 if one in held else PRIOR, weight)
    return _Reduced(not_by_others, {one: weights[one] for one in weights if one in candidates})


def _updated_log_odds(
    ends: Sequence[_Reduced],
    prior_by_candidate: Mapping[Fingerprint, float],
    probability: Mapping[Fingerprint, float],
) -> dict[Fingerprint, float]:
    """Return new log odds of the evaluated requests, given the current probabilities of all."""
    updated = dict(prior_by_candidate)
    for end in ends:
        not_caused = end.not_by_others
        for one, weight in end.weight_by_candidate.items():
            not_caused *= _probability_not_caused(probability[one], weight)
        for one, weight in end.weight_by_candidate.items():
            caused_by_others = 1.0 - not_caused / _probability_not_caused(probability[one], weight)
            updated[one] += log(
                (caused_by_others + (1.0 - caused_by_others) * weight) / caused_by_others
            )
    return {one: max(-_MAX_LOG_ODDS, min(_MAX_LOG_ODDS, odds)) for one, odds in updated.items()}


def _probability_not_caused(probability: float, weight: float) -> float:
    """Return the probability that a request is not the cause of an end; it is always above 0."""
    return 1.0 - min(_MAX_PROBABILITY, probability * weight)


def _probability(log_odds: float) -> float:
    return 1.0 / (1.0 + exp(-log_odds))
