"""Keep what one person asked for until another approves it."""

import json
import secrets
from typing import Any, NamedTuple

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import Storage

FILE = "pending.json"
MOST_PENDING = 200
CONFIRM_DEAD = "confirm that a host is dead"
BILL = "bill an amount in doubt"
RELEASE = "release an amount in doubt"


class Pending(NamedTuple):
    """Hold one request for approval.

    ``host`` and ``incarnation`` name the run of an entry host that is dead; ``group`` and
    ``number`` an amount in doubt. ``evidence`` is what the operator wrote.
    """

    id: str
    action: str
    operator: str
    at: float
    evidence: str
    host: str = ""
    incarnation: int = 0
    group: str = ""
    number: int = 0

    @property
    def what(self) -> str:
        """Return what it is about, for people."""
        if self.action == CONFIRM_DEAD:
            return f"{self.host}, start {self.incarnation}"
        return f"{self.group}, exception {self.number}"


class PendingRequests:
    """Find pending requests by id; each change is durable before it counts."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._by_id = _read(storage)

    def oldest(self) -> list[Pending]:
        """Return all, oldest first."""
        return list(self._by_id.values())

    def by_id(self, request_id: str) -> Pending | None:
        """Return one, or ``None`` where it was approved or withdrawn."""
        return self._by_id.get(request_id)

    async def add(self, pending: Pending) -> Result[None, Refusal]:
        """Keep a request; the same one asked for twice is kept once."""
        if len(self._by_id) >= MOST_PENDING:
            message = f"{MOST_PENDING} requests wait already"
            return Err(Refusal(ErrorKind.CONFLICT, message, "", "approve or withdraw some"))
        if all(not _is_same(pending, other) for other in self._by_id.values()):
            await self._write({**self._by_id, pending.id: pending})
        return Ok(None)

    async def remove(self, request_id: str) -> None:
        """Forget a request that was carried out or withdrawn."""
        await self._write({key: value for key, value in self._by_id.items() if key != request_id})

    async def _write(self, by_id: dict[str, Pending]) -> None:
        data = json.dumps([pending._asdict() for pending in by_id.values()]).encode()
        await self._storage.run_blocking(lambda: self._storage.replace(FILE, data))
        self._by_id = by_id


def new_id() -> str:
    """Return an id for a new request."""
    return secrets.token_hex(8)


def _read(storage: Storage) -> dict[str, Pending]:
    rows: list[dict[str, Any]] = json.loads(storage.read(FILE) or b"[]")
    return {row["id"]: Pending(**row) for row in rows}


def _is_same(one: Pending, other: Pending) -> bool:
    return (one.action, one.what) == (other.action, other.what)
