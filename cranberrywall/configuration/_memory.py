"""Remember on a host's disk the highest configuration that it had in force.

Two files: ``document`` holds a whole revision, ``deltas`` what followed it. Only every
``DOCUMENT_EVERY`` revisions is the whole document written, so that what a change costs
the disk does not follow the document's size. Each file starts with a checksum.
"""

from typing import Any, NamedTuple, TypeVar, cast

import msgspec
import xxhash
from result import Err, Ok, Result

from cranberrywall.configuration._edits import apply_edits
from cranberrywall.configuration._in_force import ActiveConfiguration, make_in_force
from cranberrywall.configuration.messages import Delta, DocumentAt
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import Storage

DOCUMENT_FILE = "configuration/document"
DELTAS_FILE = "configuration/deltas"
DOCUMENT_EVERY = 64

_CHECKSUM_BYTES = 8
_T = TypeVar("_T")


class _Tail(NamedTuple):
    deltas: tuple[Delta, ...]


class Memory:
    """Write and read the two files; all writes are in order and off the event loop."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._tail: list[Delta] = []
        self._has_document = False

    async def recall(self) -> Result[ActiveConfiguration | None, Refusal]:
        """Return what was remembered, ``None`` where there is nothing, or ``CORRUPT``."""
        try:
            return await self._storage.run_blocking(self._read)
        except OSError as error:
            return Err(Refusal(ErrorKind.STORAGE_FAILED, str(error)))

    async def remember(
        self, in_force: ActiveConfiguration, deltas: tuple[Delta, ...]
    ) -> Result[None, Refusal]:
        """Make ``in_force`` durable; ``deltas`` led to it, or none where a snapshot did."""
        tail = [*self._tail, *deltas]
        whole = not deltas or not self._has_document or len(tail) > DOCUMENT_EVERY
        try:
            if whole:
                await self._storage.run_blocking(lambda: self._write_document(in_force))
            else:
                await self._storage.run_blocking(lambda: self._write_tail(tail))
        except OSError as error:
            # The next write must be a whole document: a tail without this delta has a gap.
            self._has_document = False
            return Err(Refusal(ErrorKind.STORAGE_FAILED, str(error)))
        self._tail = [] if whole else tail
        self._has_document = True
        return Ok(None)

    def _write_document(self, in_force: ActiveConfiguration) -> None:
        # Deltas up to the new document may stay in the other file: they are passed over
        # when read, so a crash between two writes leaves nothing half done.
        document = cast(dict[str, Any], in_force.document)
        whole = DocumentAt(in_force.revision, document, in_force.chain)
        self._storage.replace(DOCUMENT_FILE, _seal(msgspec.msgpack.encode(whole)))

    def _write_tail(self, tail: list[Delta]) -> None:
        self._storage.replace(DELTAS_FILE, _seal(msgspec.msgpack.encode(_Tail(tuple(tail)))))

    def _read(self) -> Result[ActiveConfiguration | None, Refusal]:
        sealed = self._storage.read(DOCUMENT_FILE)
        if sealed is None:
            return Ok(None)
        whole = _open(sealed, DOCUMENT_FILE, DocumentAt)
        if isinstance(whole, Err):
            return whole
        sealed_tail = self._storage.read(DELTAS_FILE)
        tail: Result[_Tail, Refusal] = Ok(_Tail(()))
        if sealed_tail is not None:
            tail = _open(sealed_tail, DELTAS_FILE, _Tail)
        if isinstance(tail, Err):
            return tail
        self._has_document = True
        return Ok(self._join(whole.ok_value, tail.ok_value))

    def _join(self, whole: DocumentAt, tail: _Tail) -> ActiveConfiguration:
        revision, chain = whole.revision, whole.chain
        document = whole.checked
        for delta in tail.deltas:
            if delta.revision.number == revision + 1:
                document = apply_edits(document, delta.edits)
                revision, chain = delta.revision.number, delta.chain
                self._tail.append(delta)
        return make_in_force(revision, chain, document)


def _seal(data: bytes) -> bytes:
    return xxhash.xxh64(data).digest() + data


def _open(sealed: bytes, name: str, shape: type[_T]) -> Result[_T, Refusal]:
    checksum, data = sealed[:_CHECKSUM_BYTES], sealed[_CHECKSUM_BYTES:]
    if xxhash.xxh64(data).digest() != checksum:
        return Err(_corrupt(name, "its checksum does not match"))
    try:
        return Ok(msgspec.msgpack.decode(data, type=shape))
    except msgspec.MsgspecError as error:
        return Err(_corrupt(name, str(error)))


def _corrupt(name: str, message: str) -> Refusal:
    remedy = "remove the file; the host then asks its peers, as one without a disk does"
    return Refusal(ErrorKind.CORRUPT, message, name, remedy)
