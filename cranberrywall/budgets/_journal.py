"""Store charges and transfers on this host's disk while the ledger does not have them.

While the ledger is out of reach, the journal also contains a checkpoint of what the host held when
it lost the ledger. After a restart the host continues under the old incarnation's numbers, with the
checkpoint's amounts less what was spent since. While the ledger is in reach, only transfers are
written.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.budgets._allotment import StepNumbers
from cranberrywall.budgets._charge_replication import HostFilter, Kept
from cranberrywall.budgets.messages import Charge, Holder, Transfer
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import MalformedMessageError, MessageCodec
from cranberrywall.observability import log_event
from cranberrywall.replication import encode_frame, scan_frames
from cranberrywall.runtime import AppendFile, Storage

FILE = "budgets/journal"
# The file is rewritten if it exceeds this size and most of it is obsolete.
COMPACT_BYTES = 1 << 20


class HeldRow(NamedTuple):
    """One budget in a checkpoint; ``held`` is what the host may spend or has not committed."""

    budget: str
    workspace: str
    held: int
    numbers: StepNumbers


class Checkpoint(NamedTuple):
    """What ``holder`` held at one ledger group when the group became unreachable."""

    group: str
    holder: Holder
    rows: tuple[HeldRow, ...]


class InReach(NamedTuple):
    """End of a group's checkpoint: what the host holds now is not in the journal."""

    group: str


class Committed(NamedTuple):
    """Records that the ledger has: transfers by donor and number, charges by number."""

    holder: Holder
    transfers: tuple[tuple[str, Holder, int], ...]
    charges: tuple[tuple[str, int], ...]


class Recovered(NamedTuple):
    """Data from earlier incarnations: allotments to resume, and records to deliver."""

    checkpoints: tuple[Checkpoint, ...]
    kept: tuple[Kept, ...]


class _Batch(NamedTuple):
    """Records of one write, which is atomic: all of them are durable, or none."""

    records: tuple[bytes, ...]


_Record = Kept | Committed | Checkpoint | InReach
_CODEC = MessageCodec([Kept, Committed, Checkpoint, InReach, _Batch])


class _ChargeKey(NamedTuple):
    holder: Holder
    budget: str
    number: int


class _TransferKey(NamedTuple):
    """Key of a transfer and of the host that has to report it.

    Both ends report a transfer. A donor with a disk may also store the report of a recipient
    without one, and the two entries are dropped at different times.
    """

    reporter: str
    giver: Holder
    budget: str
    number: int


def _transfer_key(holder: Holder, transfer: Transfer) -> _TransferKey:
    return _TransferKey(holder.host, transfer.giver, transfer.budget, transfer.giver_number)


class _LiveRecords:
    """State that results from the records so far: what must still be delivered."""

    def __init__(self) -> None:
        self.charge_by_key: dict[_ChargeKey, Charge] = {}
        self.transfer_by_key: dict[_TransferKey, Transfer] = {}
        self.reporter_by_key: dict[_TransferKey, Holder] = {}
        self.checkpoint_by_group: dict[str, Checkpoint] = {}

    def apply(self, record: _Record) -> None:
        match record:
            case Kept():
                self._apply_kept(record)
            case Committed():
                self._apply_committed(record)
            case Checkpoint():
                self.checkpoint_by_group[record.group] = record
            case InReach():
                self.checkpoint_by_group.pop(record.group, None)

    def _apply_kept(self, kept: Kept) -> None:
        for charge in kept.charges:
            key = _ChargeKey(kept.holder, charge.budget, charge.number)
            self.charge_by_key[key] = charge
        for transfer in kept.transfers:
            to_report = _transfer_key(kept.holder, transfer)
            self.transfer_by_key[to_report] = transfer
            self.reporter_by_key[to_report] = kept.holder
            self._apply_transfer(kept.holder, transfer)

    def _apply_transfer(self, holder: Holder, transfer: Transfer) -> None:
        """Apply a transfer that was made after the checkpoints to them."""
        change = transfer.amount if transfer.taker == holder else -transfer.amount
        for group, checkpoint in list(self.checkpoint_by_group.items()):
            rows = tuple(
                row._replace(held=row.held + change) if row.budget == transfer.budget else row
                for row in checkpoint.rows
            )
            if checkpoint.holder == holder:
                self.checkpoint_by_group[group] = checkpoint._replace(rows=rows)

    def _apply_committed(self, record: Committed) -> None:
        for budget, number in record.charges:
            self.charge_by_key.pop(_ChargeKey(record.holder, budget, number), None)
        for budget, giver, number in record.transfers:
            reported = _TransferKey(record.holder.host, giver, budget, number)
            self.transfer_by_key.pop(reported, None)
            self.reporter_by_key.pop(reported, None)

    def kept(self) -> list[Kept]:
        """Return what is to be delivered, by holder, in the order of the numbers."""
        holders = {key.holder for key in self.charge_by_key} | set(self.reporter_by_key.values())
        return [
            Kept(holder, self._transfers_of(holder), self._charges_of(holder))
            for holder in sorted(holders)
        ]

    def _transfers_of(self, holder: Holder) -> tuple[Transfer, ...]:
        keys = [key for key, reporter in self.reporter_by_key.items() if reporter == holder]
        return tuple(self.transfer_by_key[key] for key in keys)

    def _charges_of(self, holder: Holder) -> tuple[Charge, ...]:
        keys = sorted(key for key in self.charge_by_key if key.holder == holder)
        return tuple(self.charge_by_key[key] for key in keys)


class Journal:
    """Append records, and sync each write before the call returns."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._live = _LiveRecords()
        self._file: AppendFile | None = None
        self._size = 0
        self._writing = 0

    async def open(self) -> Result[Recovered, Refusal]:
        """Read the records of earlier incarnations, and open the file for appending."""
        return await self._storage.run_blocking(self._open)

    def _open(self) -> Result[Recovered, Refusal]:
        data = self._storage.read(FILE) or b""
        scan = scan_frames(data)
        if isinstance(scan, Err):
            return Err(_damaged(scan.err_value))
        payloads, sound_size = scan.ok_value
        try:
            for payload in payloads:
                self._apply([_CODEC.decode(one) for one in _CODEC.decode(payload).records])
        except MalformedMessageError as error:
            return Err(Refusal(ErrorKind.CORRUPT, f"{FILE}: {error}"))
        if sound_size < len(data):
            # A crash tore the last record. No host was informed that it was stored.
            self._storage.truncate(FILE, sound_size)
        self._file = self._storage.open_append(FILE)
        self._size = sound_size
        checkpoints = tuple(self._live.checkpoint_by_group.values())
        return Ok(Recovered(checkpoints, tuple(self._live.kept())))

    def choose_replica_holders(self, now: float) -> Collection[Holder]:
        """Return no peer: the disk stores everything."""
        return ()

    async def persist(
        self, kept: Kept, is_allowed: HostFilter | None = None
    ) -> Result[None, Refusal]:
        """Return once ``kept`` is synced."""
        return await self._write([kept])

    def can_persist(self, is_allowed: HostFilter) -> bool:
        """Return whether the file is open for writing."""
        return self._file is not None

    async def committed(self, kept: Kept) -> None:
        """Record what the ledger has, if the journal may contain it."""
        live = self._live
        if not (live.charge_by_key or live.transfer_by_key or self._writing):
            return
        charges = tuple((charge.budget, charge.number) for charge in kept.charges)
        transfers = tuple((one.budget, one.giver, one.giver_number) for one in kept.transfers)
        await self._write([Committed(kept.holder, transfers, charges)])

    async def out_of_reach(
        self, checkpoint: Checkpoint, unreported: tuple[Transfer, ...]
    ) -> Result[None, Refusal]:
        """Record what this host holds, and the transfers to it that the ledger does not have.

        The transfers come first: the amounts that they brought are already in the checkpoint.
        """
        return await self._write([Kept(checkpoint.holder, unreported, ()), checkpoint])

    async def in_reach(self, group: str) -> Result[None, Refusal]:
        """Drop the checkpoint: the ledger is in reach, and steps are no longer written."""
        return await self._write([InReach(group)])

    async def _write(self, records: Sequence[_Record]) -> Result[None, Refusal]:
        self._writing += 1
        try:
            return await self._storage.run_blocking(lambda: self._append(records))
        finally:
            self._writing -= 1

    def _append(self, records: Sequence[_Record]) -> Result[None, Refusal]:
        if self._file is None:
            return Err(Refusal(ErrorKind.STORAGE_FAILED, f"{FILE} is not open"))
        data = encode_frame(_CODEC.encode(_Batch(tuple(map(_CODEC.encode, records)))))
        try:
            self._file.append(data)
            self._file.sync()
            self._size += len(data)
            self._apply(records)
            if self._size > COMPACT_BYTES:
                self._compact()
        except OSError as error:
            # After a failed sync the written data may or may not be on disk, and nothing that
            # follows it would be reliably durable. The file is not written again in this
            # incarnation.
            self._file = None
            log_event("ERROR", "journal_failed", error=error)
            return Err(Refusal(ErrorKind.STORAGE_FAILED, f"{FILE}: {error}"))
        return Ok(None)

    def _apply(self, records: Sequence[_Record]) -> None:
        for record in records:
            self._live.apply(record)

    def _compact(self) -> None:
        """Write the live records to a new file: ``Kept`` first, since checkpoints follow them."""
        assert self._file is not None
        records: list[_Record] = [*self._live.kept(), *self._live.checkpoint_by_group.values()]
        batch = _Batch(tuple(map(_CODEC.encode, records)))
        image = encode_frame(_CODEC.encode(batch))
        if 2 * len(image) > self._size:
            return
        self._file.close()
        self._storage.replace(FILE, image)
        self._file = self._storage.open_append(FILE)
        self._size = len(image)


def _damaged(offset: int) -> Refusal:
    return Refusal(
        ErrorKind.CORRUPT,
        f"{FILE} is damaged at byte {offset}, before records that were synced",
        "data",
        "keep a copy of the file, confirm the host dead and start it with an empty folder",
    )
