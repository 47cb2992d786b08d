"""Keep the reports of closed periods as bytes that nothing changes any more.

Each closing's digest covers its rows, its exceptions and the digest before it, so that
a report that was exported can be compared with what the ledger keeps.
"""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import msgspec
import xxhash

from cranberrywall.budgets._ledger_exceptions import Unnamed
from cranberrywall.budgets.messages import (
    ClosedPeriod,
    ExceptionRow,
    ReportRow,
)

KEPT_CLOSINGS = 13
"""How many closed periods keep their rows: a year of months and one more."""

_ROWS_IN_CHUNK = 1_000

_ENCODER = msgspec.msgpack.Encoder()
_ROWS_DECODER = msgspec.msgpack.Decoder(list[ReportRow])
_EXCEPTIONS_DECODER = msgspec.msgpack.Decoder(list[ExceptionRow])


class _Chunk(NamedTuple):
    last: str
    rows: bytes


class _Closing(NamedTuple):
    about: ClosedPeriod
    chunks: tuple[_Chunk, ...]
    exceptions: bytes
    unnamed: Unnamed


class NamedExceptions(NamedTuple):
    """Hold a closed period's exceptions, and how many more were only counted."""

    rows: list[ExceptionRow]
    unnamed: Unnamed


class Closings:
    """Hold the closed periods, oldest first."""

    def __init__(self) -> None:
        self._closing_by_period: dict[str, _Closing] = {}
        self._digest = ""

    def find(self, period: str) -> ClosedPeriod | None:
        """Return what is known of a closed period."""
        closing = self._closing_by_period.get(period)
        return closing.about if closing else None

    def all(self) -> tuple[ClosedPeriod, ...]:
        """Return the closed periods that are kept, oldest first."""
        return tuple(closing.about for closing in self._closing_by_period.values())

    def add(
        self,
        about: ClosedPeriod,
        rows: Sequence[ReportRow],
        exceptions: Sequence[ExceptionRow],
        unnamed: Unnamed,
    ) -> ClosedPeriod:
        """Write a closing down; return it with its digest."""
        starts = range(0, len(rows), _ROWS_IN_CHUNK)
        chunks = tuple(_make_chunk(rows[start : start + _ROWS_IN_CHUNK]) for start in starts)
        named = _ENCODER.encode(exceptions)
        parts = [_ENCODER.encode(about), *(chunk.rows for chunk in chunks), named]
        about = about._replace(digest=self._chain(parts))
        self._closing_by_period[about.period] = _Closing(about, chunks, named, unnamed)
        while len(self._closing_by_period) > KEPT_CLOSINGS:
            del self._closing_by_period[next(iter(self._closing_by_period))]
        return about

    def _chain(self, parts: Iterable[bytes]) -> str:
        hasher = xxhash.xxh64(self._digest.encode())
        for part in parts:
            hasher.update(part)
        self._digest = hasher.hexdigest()
        return self._digest

    def rows_after(self, period: str, after: str) -> Iterable[ReportRow]:
        """Yield a closed period's rows whose budget's name is past ``after``."""
        for chunk in self._closing_by_period[period].chunks:
            if chunk.last <= after:
                continue
            for row in _ROWS_DECODER.decode(chunk.rows):
                if row.budget > after:
                    yield row

    def exceptions(self, period: str) -> NamedExceptions:
        """Return a closed period's exceptions."""
        closing = self._closing_by_period[period]
        return NamedExceptions(_EXCEPTIONS_DECODER.decode(closing.exceptions), closing.unnamed)

    def dump(self) -> list[Any]:
        """Return the state, for a snapshot."""
        return [self._digest, list(self._closing_by_period.values())]

    def load(self, plain: list[Any]) -> None:
        """Replace the state by one that ``dump`` gave."""
        self._digest = plain[0]
        self._closing_by_period = {}
        for about, chunks, exceptions, unnamed in plain[1]:
            closed = ClosedPeriod(*about)
            kept = tuple(_Chunk(*chunk) for chunk in chunks)
            self._closing_by_period[closed.period] = _Closing(
                closed, kept, exceptions, Unnamed(*unnamed)
            )


def _make_chunk(rows: Sequence[ReportRow]) -> _Chunk:
    return _Chunk(rows[-1].budget, _ENCODER.encode(rows))
