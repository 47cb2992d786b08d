"""Calendar of periods: maps the time of a reservation to a period.

A period is identified by its end, ``through``, in seconds since the epoch. Planned ends come first;
after the last of them periods are calendar months in UTC.
"""

from bisect import bisect_right
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from typing import Any, NamedTuple

from cranberrywall.budgets.messages import PlannedPeriod, Rejected
from cranberrywall.errors import ErrorKind

MAX_TIME = 4_102_444_800.0
"""Latest time that a command may contain, in seconds: the start of the year 2100."""

_JUST_BEFORE_S = 0.001


class MovedEnd(NamedTuple):
    """Old and new end of an open period, in seconds since the epoch."""

    old: float
    new: float


class Calendar:
    """Ends of the planned periods, and the open periods that have charges."""

    def __init__(self) -> None:
        self.closed_through = 0.0
        self._planned: list[PlannedPeriod] = []
        self._latest_reserved_at = 0.0
        self._booked: set[float] = set()

    def period_of(self, time: float) -> PlannedPeriod:
        """Return the period of a time, or the first open period if that one is closed."""
        return _period_of(max(time, self.closed_through), self._planned)

    def open_periods(self, now: float) -> tuple[PlannedPeriod, ...]:
        """Return the periods that charges were booked to, and the one that contains ``now``."""
        ends = {*self._booked, self.period_of(now).through}
        return tuple(self.period_of(end - _JUST_BEFORE_S) for end in sorted(ends))

    def book(self, reserved_at: float) -> float:
        """Return the end of the period that a charge is booked to, and record the booking."""
        through = self.period_of(reserved_at).through
        self._latest_reserved_at = max(self._latest_reserved_at, reserved_at)
        self._booked.add(through)
        return through

    def check_plan(self, periods: tuple[PlannedPeriod, ...]) -> Rejected | None:
        """Reject a plan that is not in order, or that would move booked charges."""
        ends = [planned.through for planned in periods]
        is_ordered = sorted(set(ends)) == ends and all(0 < end < MAX_TIME for end in ends)
        if not is_ordered or len({planned.period for planned in periods}) < len(periods):
            remedy = "list each period once, with rising ends in seconds since the epoch"
            return Rejected(
                ErrorKind.BAD_REQUEST,
                "the periods are not distinct or their ends do not rise",
                "periods",
                remedy,
            )
        if ends and ends[0] <= self.closed_through:
            remedy = "start the plan with the first open period"
            return Rejected(
                ErrorKind.PERIOD_CLOSED, "the first period of the plan is closed", "periods", remedy
            )
        if any(not self._is_end(end, self._planned) for end in self._past_ends(periods)):
            remedy = "use ends after the last reservation, or ends of the current plan"
            return Rejected(
                ErrorKind.CONFLICT, "the plan would split booked charges", "periods", remedy
            )
        booked = (end for end in self._booked if end <= self._latest_reserved_at)
        if any(not self._is_end(end, list(periods)) for end in booked):
            remedy = "keep the ends of the periods that charges are booked to"
            return Rejected(
                ErrorKind.CONFLICT, "the plan would merge booked charges", "periods", remedy
            )
        return None

    def _past_ends(self, planned: Sequence[PlannedPeriod]) -> Iterator[float]:
        """Yield the ends of a plan's periods up to the last reservation, months included.

        If a plan is shorter than the current one, calendar months in UTC take the place of the
        periods that it leaves out, and may split booked charges.
        """
        time = self.closed_through
        while (end := _period_of(time, planned).through) <= self._latest_reserved_at:
            yield end
            time = end

    def _is_end(self, end: float, planned: Sequence[PlannedPeriod]) -> bool:
        before = max(end - _JUST_BEFORE_S, self.closed_through)
        return _period_of(before, planned).through == end

    def plan(self, periods: tuple[PlannedPeriod, ...]) -> MovedEnd | None:
        """Apply a checked plan; return the end that it moved, if any."""
        old = self._open_booked_end()
        self._planned = list(periods)
        return self._move_booked_end(old, self.period_of(self._latest_reserved_at).through)

    def check_closing(self, through: float) -> Rejected | None:
        """Reject an end that would split booked charges or skip an open earlier period."""
        if not 0 < through < MAX_TIME:
            remedy = "use seconds since the epoch"
            return Rejected(ErrorKind.BAD_REQUEST, "not a valid time", "through", remedy)
        earlier = sorted(end for end in self._booked if end < through)
        if earlier:
            name = self._name_of(earlier[0])
            remedy = f"close {name} first"
            return Rejected(
                ErrorKind.CONFLICT, f"the earlier period {name} is open", "through", remedy
            )
        planned = self.period_of(through - _JUST_BEFORE_S)
        if planned.through != through and self._latest_reserved_at >= through:
            message = f"charges after it are booked to {planned.period}"
            remedy = f"close that period: it ends at {planned.through:.0f}"
            return Rejected(ErrorKind.CONFLICT, message, "through", remedy)
        return None

    def close(self, through: float) -> MovedEnd | None:
        """Apply a checked closing; return the end that it moved, if any."""
        moved = None
        if self._latest_reserved_at < through:
            moved = self._move_booked_end(self._open_booked_end(), through)
        self.closed_through = through
        self._planned = [planned for planned in self._planned if planned.through > through]
        self._booked = {end for end in self._booked if end > through}
        return moved

    def _open_booked_end(self) -> float | None:
        """Return the end after the last reservation if charges are booked to it, else ``None``."""
        return max((end for end in self._booked if end > self._latest_reserved_at), default=None)

    def _move_booked_end(self, old: float | None, new: float) -> MovedEnd | None:
        if old is None or old == new:
            return None
        self._booked.remove(old)
        self._booked.add(new)
        return MovedEnd(old, new)

    def _name_of(self, through: float) -> str:
        return self.period_of(through - _JUST_BEFORE_S).period

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [self.closed_through, self._latest_reserved_at, sorted(self._booked), self._planned]

    def load(self, plain: list[Any]) -> None:
        """Replace the state with one that ``dump`` returned."""
        self.closed_through, self._latest_reserved_at, booked, planned = plain
        self._booked = set(booked)
        self._planned = [PlannedPeriod(*one) for one in planned]


def _period_of(time: float, planned: Sequence[PlannedPeriod]) -> PlannedPeriod:
    index = bisect_right([period.through for period in planned], time)
    return planned[index] if index < len(planned) else _month_of(time)


def _month_of(time: float) -> PlannedPeriod:
    start = datetime.fromtimestamp(time, UTC)
    year, month = divmod(start.year * 12 + start.month, 12)
    end = datetime(year, month + 1, 1, tzinfo=UTC)
    return PlannedPeriod(f"{start.year:04}-{start.month:02}", end.timestamp())
