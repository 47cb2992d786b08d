"""Stored reports of closed periods, as bytes that do not change any more.

The digest of each closing covers its rows, its exceptions and the previous digest, so that an
exported report can be compared with the ledger's.
"""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import msgspec
import xxhash

from cranberrywall.budgets._ledger_exceptions import UnlistedCounts
from cranberrywall.budgets.messages import (
    ClosedPeriod,
    ExceptionRow,
    ReportRow,
)

MAX_CLOSED_PERIODS = 13
"""Number of closed periods that are stored with their rows: 12 months and one more."""

_ROWS_IN_CHUNK = 1_000
"""Maximum number of report rows that are encoded together as one chunk."""

_ENCODER = msgspec.msgpack.Encoder()
_ROWS_DECODER = msgspec.msgpack.Decoder(list[ReportRow])
_EXCEPTIONS_DECODER = msgspec.msgpack.Decoder(list[ExceptionRow])


class _Chunk(NamedTuple):
    last_budget: str
    rows: bytes


class _Closing(NamedTuple):
    period: ClosedPeriod
    chunks: tuple[_Chunk, ...]
    exceptions: bytes
    unlisted: UnlistedCounts


class StoredExceptions(NamedTuple):
    """Exceptions of a closed period, and counts of those that were not listed."""

    rows: list[ExceptionRow]
    unlisted: UnlistedCounts


class Closings:
    """Closed periods, oldest first."""

    def __init__(self) -> None:
        self._closing_by_period: dict[str, _Closing] = {}
        self._digest = ""

    def find(self, period: str) -> ClosedPeriod | None:
        """Return the closed period of this name, or ``None``."""
        closing = self._closing_by_period.get(period)
        return closing.period if closing else None

    def all(self) -> tuple[ClosedPeriod, ...]:
        """Return the stored closed periods, oldest first."""
        return tuple(closing.period for closing in self._closing_by_period.values())

    def add(
        self,
        period: ClosedPeriod,
        rows: Sequence[ReportRow],
        exceptions: Sequence[ExceptionRow],
        unlisted: UnlistedCounts,
    ) -> ClosedPeriod:
        """Store a closing; return its period with the digest."""
        starts = range(0, len(rows), _ROWS_IN_CHUNK)
        chunks = tuple(_make_chunk(rows[start : start + _ROWS_IN_CHUNK]) for start in starts)
        listed = _ENCODER.encode(exceptions)
        parts = [_ENCODER.encode(period), *(chunk.rows for chunk in chunks), listed]
        period = period._replace(digest=self._chain_digest(parts))
        self._closing_by_period[period.period] = _Closing(period, chunks, listed, unlisted)
        while len(self._closing_by_period) > MAX_CLOSED_PERIODS:
            del self._closing_by_period[next(iter(self._closing_by_period))]
        return period

    def _chain_digest(self, parts: Iterable[bytes]) -> str:
        hasher = xxhash.xxh64(self._digest.encode())
        for part in parts:
            hasher.update(part)
        self._digest = hasher.hexdigest()
        return self._digest

    def rows_after(self, period: str, after: str) -> Iterable[ReportRow]:
        """Yield a closed period's rows whose budget name sorts after ``after``."""
        for chunk in self._closing_by_period[period].chunks:
            if chunk.last_budget <= after:
                continue
            for row in _ROWS_DECODER.decode(chunk.rows):
                if row.budget > after:
                    yield row

    def exceptions(self, period: str) -> StoredExceptions:
        """Return a closed period's exceptions."""
        closing = self._closing_by_period[period]
        return StoredExceptions(_EXCEPTIONS_DECODER.decode(closing.exceptions), closing.unlisted)

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [self._digest, list(self._closing_by_period.values())]

    def load(self, plain: list[Any]) -> None:
        """Replace the state with one that ``dump`` returned."""
        self._digest = plain[0]
        self._closing_by_period = {}
        for period, chunks, exceptions, unlisted in plain[1]:
            closed = ClosedPeriod(*period)
            stored = tuple(_Chunk(*chunk) for chunk in chunks)
            self._closing_by_period[closed.period] = _Closing(
                closed, stored, exceptions, UnlistedCounts(*unlisted)
            )


def _make_chunk(rows: Sequence[ReportRow]) -> _Chunk:
    return _Chunk(rows[-1].budget, _ENCODER.encode(rows))
