"""Weigh how well a run fits with having ended its target."""

from cranberrywall.quarantine._runs import Run

BEGINS_S = 1.0
"""A target that a request ends as it begins it ends within this, in seconds after the head of its
answer. Later ends fit less and less: most requests that run beside such a one have run for longer.
"""

RAN_ON = 0.02
"""Least weight of a request that its target has run for long."""

UNKNOWN = 0.5
"""Weight of a request whose target had not begun to answer, where targets answer as they begin:
most such requests wait their turn, but the head may have been lost with the target."""

ANSWERED = 0.1
"""Weight of a call whose target had run it already, and was lost with the rest of the answer."""


def weight_of(run: Run, ended_at: float) -> float:
    """Return how likely the target's end would have been seen so, had the run been its cause."""
    answered_s = run.answered_s(ended_at)
    if not run.is_streamed:
        return 1.0 if answered_s is None else ANSWERED
    if answered_s is None:
        return UNKNOWN
    return max(RAN_ON, (BEGINS_S / max(BEGINS_S, answered_s)) ** 4)
