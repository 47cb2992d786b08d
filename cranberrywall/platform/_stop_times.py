"""Times of an entry host's stop within the time that the platform gives it."""

from typing import NamedTuple

_SHARES = (0.36, 0.9, 0.93, 0.97)


class StopTimes(NamedTuple):
    """When the steps of a stop end, in seconds since SIGTERM.

    ``listen_s``: new connections are accepted. ``serve_s``: requests run.
    ``answer_s``: answers are written. ``hand_back_s``: money is handed back.
    """

    listen_s: float
    serve_s: float
    answer_s: float
    hand_back_s: float


def stop_times(grace_s: float) -> StopTimes:
    """Return the times of a host that is killed ``grace_s`` seconds after SIGTERM.

    >>> stop_times(10.0)
    StopTimes(listen_s=3.6, serve_s=9.0, answer_s=9.3, hand_back_s=9.7)
    """
    return StopTimes(*(round(share * grace_s, 3) for share in _SHARES))
