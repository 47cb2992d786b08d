"""Switch faults on, and draw for each request which of them it meets."""

import random
from typing import NamedTuple, TypedDict

import xxhash

NEED_SPAN_S = 5.0
"""Whether a stand-in is in need is drawn anew so often, in seconds."""


class Faults(NamedTuple):
    """Hold the faults of one stand-in.

    ``slow`` multiplies the time of the work. The others are shares of requests, 0 to 1:
    ``cut`` ends the connection in mid answer; ``crossed`` gives another request's answer;
    ``late`` holds the answer back for ``late_s`` seconds; ``wrong_usage`` reports too much
    usage; ``refuses`` answers 503 without running; ``dies`` ends the stand-in in mid answer.

    One with ``limit_per_s`` of 0 or more is in need: its answers name that many requests a second,
    which it takes from all hosts together. With ``needs`` above 0 it is so only in that share of
    spans of ``NEED_SPAN_S`` seconds, drawn by chance.

    With ``backoff_s`` above 0 each 503 asks the host for that many seconds without a call.
    ``max_rejections``, 0 or more, is stated in each answer; more 503s in a second end the target.
    One that ``says_leaving``, with 1, says in each answer that it takes no new work.
    """

    slow: float = 1.0
    cut: float = 0.0
    crossed: float = 0.0
    late: float = 0.0
    late_s: float = 1.0
    wrong_usage: float = 0.0
    refuses: float = 0.0
    dies: float = 0.0
    limit_per_s: float = -1.0
    needs: float = 0.0
    backoff_s: float = 0.0
    max_rejections: float = -1.0
    says_leaving: float = 0.0


class FaultChange(TypedDict, total=False):
    """Name the faults to change; the others stay as they are."""

    slow: float
    cut: float
    crossed: float
    late: float
    late_s: float
    wrong_usage: float
    refuses: float
    dies: float
    limit_per_s: float
    needs: float
    backoff_s: float
    max_rejections: float
    says_leaving: float


class Draw(NamedTuple):
    """Say which faults one execution meets."""

    cut: bool
    crossed: bool
    late: bool
    wrong_usage: bool
    refuses: bool
    dies: bool


def draw_faults(faults: Faults, seed: int, request_id: str, execution: int) -> Draw:
    """Draw from the seed, the request and its count here, so that order does not matter."""
    digest = xxhash.xxh64_intdigest(f"{request_id}#{execution}".encode(), seed=seed)
    generator = random.Random(digest)
    return Draw(
        cut=generator.random() < faults.cut,
        crossed=generator.random() < faults.crossed,
        late=generator.random() < faults.late,
        wrong_usage=generator.random() < faults.wrong_usage,
        refuses=generator.random() < faults.refuses,
        dies=generator.random() < faults.dies,
    )


def is_in_need(faults: Faults, seed: int, now: float) -> bool:
    """Say whether a stand-in names a limit now.

    >>> is_in_need(Faults(), 1, 0.0), is_in_need(Faults(limit_per_s=2.0), 1, 0.0)
    (False, True)
    """
    if faults.limit_per_s < 0 or not faults.needs:
        return faults.limit_per_s >= 0
    span = int(now // NEED_SPAN_S)
    generator = random.Random(xxhash.xxh64_intdigest(f"need#{span}".encode(), seed=seed))
    return generator.random() < faults.needs
