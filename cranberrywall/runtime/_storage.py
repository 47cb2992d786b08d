"""File system implementation of the storage interface."""

import asyncio
import os
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeVar

from cranberrywall.runtime._interfaces import AppendFile, Storage

T = TypeVar("T")

_TEMPORARY_SUFFIX = ".beside"
"""Suffix of the temporary file that ``replace`` writes; a crash may leave such a file."""

_FILE_MODE = 0o640
"""Files contain password hashes and ledgers, so other users of the machine must not read them."""


def make_storage(folder: str) -> Storage:
    """Return the storage of the files in ``folder``; raise ``OSError`` if it does not exist."""
    root = Path(folder)
    if not root.is_dir():
        raise NotADirectoryError(f"data folder {folder} does not exist or is not a folder")
    return _FileStorage(root)


class _FileStorage:
    def __init__(self, root: Path) -> None:
        self._root = root
        # A single thread runs the calls in their order.
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="storage")

    def names(self, folder: str) -> Sequence[str]:
        path = self._path(folder)
        if not path.is_dir():
            return []
        files = (entry for entry in path.iterdir() if entry.is_file())
        return sorted(file.name for file in files if not file.name.endswith(_TEMPORARY_SUFFIX))

    def read(self, name: str) -> bytes | None:
        try:
            return self._path(name).read_bytes()
        except FileNotFoundError:
            return None

    def replace(self, name: str, data: bytes) -> None:
        path = self._path(name)
        self._make_folders(path.parent)
        temporary_path = path.with_name(path.name + _TEMPORARY_SUFFIX)
        with open(temporary_path, "wb", opener=_open_with_file_mode) as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, path)
        _sync_folder(path.parent)

    def remove(self, name: str) -> None:
        path = self._path(name)
        try:
            path.unlink()
        except FileNotFoundError:
            return
        _sync_folder(path.parent)

    def truncate(self, name: str, size: int) -> None:
        with open(self._path(name), "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def open_append(self, name: str) -> AppendFile:
        path = self._path(name)
        self._make_folders(path.parent)
        is_new = not path.exists()
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, _FILE_MODE)
        if is_new:
            _sync_folder(path.parent)
        return _FileAppender(descriptor)

    async def run_blocking(self, work: Callable[[], T]) -> T:
        return await asyncio.get_running_loop().run_in_executor(self._executor, work)

    def _path(self, name: str) -> Path:
        path = self._root / name
        if ".." in path.parts or not path.is_relative_to(self._root):
            raise ValueError(f"file name {name} is outside the data folder")
        return path

    def _make_folders(self, folder: Path) -> None:
        if folder.is_dir():
            return
        self._make_folders(folder.parent)
        folder.mkdir(exist_ok=True)
        _sync_folder(folder.parent)


class _FileAppender:
    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def append(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._descriptor, remaining) :]

    def sync(self) -> None:
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        os.close(self._descriptor)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _open_with_file_mode(path: str, flags: int) -> int:
    return os.open(path, flags, _FILE_MODE)
