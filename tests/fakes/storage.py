"""Files in memory that fail as disks do.

Every write, sync, rename, removal and cut is one numbered operation, from 1. A crash keeps
what was synced, and of the rest as much as the test says.
"""

import asyncio
import errno
import os
from collections.abc import Callable, Sequence
from typing import TypeVar

from cranberrywall.runtime import AppendFile, Random

T = TypeVar("T")


class CrashError(Exception):
    """Report that the host is down; every operation raises it until ``restart``."""


class _FakeFile:
    def __init__(self) -> None:
        self.live = bytearray()
        self.durable = bytearray()

    def sync(self) -> None:
        self.durable += self.live[len(self.durable) :]


class FakeStorage:
    """Keep files in memory; set ``error_by_operation`` and ``crash_at`` to make it fail.

    ``random`` decides how much of an unsynced tail survives a crash, and whether a rename
    that was not synced does; without it, nothing unsynced survives. A failed sync loses
    what it should have kept, also where a later one succeeds: those bytes come back as
    zeros after a crash.
    """

    def __init__(self, random: Random | None = None) -> None:
        self.runs = 1
        self.operations = 0
        self.log: list[str] = []
        self.error_by_operation: dict[int, int] = {}
        self.crash_at: int | None = None
        self.is_crashed = False
        self._random = random
        self._file_by_name: dict[str, _FakeFile] = {}

    def names(self, folder: str) -> Sequence[str]:
        self._check_up()
        prefix = "" if folder in ("", ".") else folder.rstrip("/") + "/"
        rests = (name[len(prefix) :] for name in self._file_by_name if name.startswith(prefix))
        return sorted(rest for rest in rests if "/" not in rest)

    def read(self, name: str) -> bytes | None:
        self._check_up()
        file = self._file_by_name.get(name)
        return None if file is None else bytes(file.live)

    def replace(self, name: str, data: bytes) -> None:
        self._operate("write", name)
        file = _FakeFile()
        file.live += data
        file.sync()
        try:
            self._operate("rename", name)
        except CrashError:
            if self._random is not None and self._random.random() < 0.5:
                self._file_by_name[name] = file
            raise
        self._file_by_name[name] = file

    def remove(self, name: str) -> None:
        self._operate("remove", name)
        self._file_by_name.pop(name, None)

    def truncate(self, name: str, size: int) -> None:
        self._operate("truncate", name)
        file = self._file_by_name[name]
        del file.live[size:]
        del file.durable[size:]
        file.sync()

    def open_append(self, name: str) -> AppendFile:
        self._check_up()
        if name not in self._file_by_name:
            self._operate("create", name)
            self._file_by_name[name] = _FakeFile()
        return _FakeAppendFile(self, name, self._file_by_name[name])

    async def run_blocking(self, work: Callable[[], T]) -> T:
        await asyncio.sleep(0)
        return work()

    def append(self, name: str, file: _FakeFile, data: bytes) -> None:
        """Write at the end; a failed write leaves a part of ``data``."""
        file.live += data
        try:
            self._operate("append", name)
        except OSError:
            del file.live[len(file.live) - len(data) // 2 :]
            raise

    def sync(self, name: str, file: _FakeFile) -> None:
        """Make the file durable."""
        try:
            self._operate("sync", name)
        except OSError:
            file.durable += bytes(len(file.live) - len(file.durable))
            raise
        file.sync()

    def crash(self) -> None:
        """Lose what was not synced; every operation raises ``CrashError`` from now on."""
        if self.is_crashed:
            return
        self.is_crashed = True
        for file in self._file_by_name.values():
            file.durable += self._survivor(bytes(file.live[len(file.durable) :]))
            file.live = bytearray(file.durable)

    def restart(self) -> None:
        """Come back with what survived; open files of the time before stay dead."""
        self.crash()
        self.is_crashed = False
        self.runs += 1
        self.crash_at = None
        for name, file in list(self._file_by_name.items()):
            survivor = _FakeFile()
            survivor.live += file.live
            survivor.sync()
            self._file_by_name[name] = survivor

    def flip(self, name: str, position: int) -> None:
        """Damage one byte of a file, as a failing disk does."""
        file = self._file_by_name[name]
        file.live[position] ^= 0xFF
        file.durable[position] ^= 0xFF

    def check_open(self, name: str, file: _FakeFile, opened_in_run: int) -> None:
        """Raise where ``file`` was opened before a crash, or replaced or removed since."""
        self._check_up()
        if opened_in_run != self.runs:
            raise CrashError(f"{name} was opened before the crash")
        assert self._file_by_name.get(name) is file, f"{name} was replaced or removed while open"

    def _survivor(self, tail: bytes) -> bytes:
        if self._random is None or not tail:
            return b""
        return tail[: self._random.randrange(0, len(tail) + 1)]

    def _check_up(self) -> None:
        if self.is_crashed:
            raise CrashError("the host is down")

    def _operate(self, what: str, name: str) -> None:
        self._check_up()
        self.operations += 1
        self.log.append(f"{what} {name}")
        if self.operations == self.crash_at:
            self.crash()
            raise CrashError(f"crash at operation {self.operations}: {what} {name}")
        code = self.error_by_operation.get(self.operations)
        if code is not None:
            raise OSError(code, os.strerror(code), name)


class _FakeAppendFile:
    def __init__(self, storage: FakeStorage, name: str, file: _FakeFile) -> None:
        self._storage = storage
        self._name = name
        self._file = file
        self._opened_in_run = storage.runs

    def append(self, data: bytes) -> None:
        self._storage.check_open(self._name, self._file, self._opened_in_run)
        self._storage.append(self._name, self._file, data)

    def sync(self) -> None:
        self._storage.check_open(self._name, self._file, self._opened_in_run)
        self._storage.sync(self._name, self._file)

    def close(self) -> None:
        pass


DISK_FULL = errno.ENOSPC
SYNC_FAILED = errno.EIO
