"""Time limit of calls, from the observed times of earlier answers."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import Clock

AnswerT = TypeVar("AnswerT")

SMOOTHING = 1 / 8
"""Weight of one observation in the mean time of answers, 0 to 1 (RFC 6298)."""

DEVIATION_SMOOTHING = 1 / 4
"""Weight of one observation in the mean deviation from that time, 0 to 1 (RFC 6298)."""

DEVIATION_FACTOR = 4.0
"""Number of mean deviations by which an answer may exceed the mean time (RFC 6298)."""

BACKOFF_FACTOR = 2.0
"""Factor by which the limit grows after a call that had no answer."""


class AnswerTimes:
    """Retransmission timeout as in RFC 6298, between ``min_s`` and ``max_s`` seconds.

    A call without an answer raises the limit of the next one, since no answer that takes longer
    than the limit is observed. The call after that has the usual limit again: a peer that is really
    lost must be found soon once it is back.
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._backoff = 1.0

    @property
    def limit_s(self) -> float:
        """Return the time limit of the next call, in seconds."""
        return min(self._max_s, self._base_s * self._backoff)

    async def call(
        self, send: Callable[[float], Awaitable[Result[AnswerT, Refusal]]], clock: Clock
    ) -> Result[AnswerT, Refusal]:
        """Return the answer to a call that ``send`` makes within the limit, and record its time."""
        sent_at = clock.now()
        answer = await send(self.limit_s)
        if isinstance(answer, Err) and answer.err_value.kind is ErrorKind.TIMEOUT:
            self.record_timeout()
        elif not isinstance(answer, Err):
            self.record_answer(clock.now() - sent_at)
        return answer

    async def measure(
        self, send: Callable[[float], Awaitable[Result[AnswerT, Refusal]]], clock: Clock
    ) -> None:
        """Record the time of a call that ``send`` makes within ``max_s``.

        It shows how long answers take when they take longer than the limit.
        """
        sent_at = clock.now()
        answer = await send(self._max_s)
        if isinstance(answer, Ok):
            self.record_answer(clock.now() - sent_at)

    def record_answer(self, seconds: float) -> None:
        """Record that a call was answered after ``seconds``."""
        self._backoff = 1.0
        if self._mean_s is None:
            self._mean_s = seconds
            self._deviation_s = seconds / 2.0
            return
        difference_s = abs(seconds - self._mean_s)
        self._deviation_s += DEVIATION_SMOOTHING * (difference_s - self._deviation_s)
        self._mean_s += SMOOTHING * (seconds - self._mean_s)

    def record_timeout(self) -> None:
        """Record that a call was not answered within the limit."""
        self._backoff = BACKOFF_FACTOR if self._backoff == 1.0 else 1.0

    @property
    def _base_s(self) -> float:
        mean_s = self._mean_s if self._mean_s is not None else 0.0
        return max(self._min_s, mean_s + DEVIATION_FACTOR * self._deviation_s)
