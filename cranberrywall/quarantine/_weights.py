"""Weights of runs: the likelihood of a target's end as observed, if the run was its cause."""

from cranberrywall.quarantine._runs import Run

START_WINDOW_S = 1.0
"""A target that ends because it starts to run a request ends within this time after the head of its
answer, in seconds. The weight falls for later ends: most requests that run beside such a request
have run for longer."""

MIN_WEIGHT = 0.02
"""Minimum weight of a request that its target has run for long."""

UNANSWERED_WEIGHT = 0.5
"""Weight of a request whose target had not started to answer, if targets answer as they start. Most
such requests are still queued, but the head may have been lost with the target."""

ANSWERED_WEIGHT = 0.1
"""Weight of a call that the target had run already, when the rest of the answer was lost with
it."""


def weight_of(run: Run, ended_at: float) -> float:
    """Return the likelihood of the target's end as it was observed, if the run were its cause."""
    answered_s = run.answered_s(ended_at)
    if not run.is_streamed:
        return 1.0 if answered_s is None else ANSWERED_WEIGHT
    if answered_s is None:
        return UNANSWERED_WEIGHT
    return max(MIN_WEIGHT, (START_WINDOW_S / max(START_WINDOW_S, answered_s)) ** 4)
