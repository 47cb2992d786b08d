"""Writing of log lines in a thread, so that the event loop never waits for whoever reads them."""

import os
import threading
import time
from collections.abc import Callable

MAX_PENDING_CHARACTERS = 4 * 1024 * 1024
"""Maximum size of the lines that wait to be written; further lines are dropped and counted."""

COLLECT_S = 0.01
"""Time for which lines are collected before they are written, in seconds."""

CLOSE_TIMEOUT_S = 0.5
"""Time limit for writing the pending lines when the process ends, in seconds."""


class LogWriter:
    """File-like sink that writes to a file descriptor in a thread of its own.

    A pipe whose reader is slow, and a file on a disk that stalls, block each write to them. The
    descriptor is used directly: a thread that is blocked in a buffered stream would hold that
    stream's lock when the interpreter flushes it at its end.
    """

    def __init__(
        self,
        descriptor: int,
        report_dropped: Callable[[int], None],
        max_pending: int = MAX_PENDING_CHARACTERS,
    ) -> None:
        """``report_dropped`` is called in the thread, with a number of lines, after each loss."""
        self._descriptor = descriptor
        self._report_dropped = report_dropped
        self._max_pending = max_pending
        self._condition = threading.Condition()
        self._lines: list[str] = []
        self._pending = 0
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue a line, or drop it if too much is pending."""
        # The report of dropped lines comes from the writing thread itself and is always queued.
        is_own = threading.current_thread() is self._thread
        with self._condition:
            if self._pending + len(line) > self._max_pending and not is_own:
                self._dropped += 1
                return
            is_first = not self._lines
            self._lines.append(line)
            self._pending += len(line)
            if is_first:
                self._condition.notify_all()

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Return once all pending lines are written, or after ``timeout_s``."""
        with self._condition:
            self._condition.wait_for(lambda: not self._pending, timeout_s)

    def _run(self) -> None:
        while True:
            with self._condition:
                self._condition.wait_for(lambda: self._lines)
            # The lines of some milliseconds are written at once: each write wakes this thread.
            time.sleep(COLLECT_S)
            with self._condition:
                lines, self._lines = self._lines, []
            is_written = self._write_all("".join(lines).encode(errors="backslashreplace"))
            # The lock is not held for the report: the log's own lock is taken before this one.
            if is_written and (dropped := self._take_dropped()):
                self._report_dropped(dropped)
            with self._condition:
                self._pending -= sum(map(len, lines))
                self._dropped += 0 if is_written else len(lines)
                self._condition.notify_all()

    def _take_dropped(self) -> int:
        with self._condition:
            dropped, self._dropped = self._dropped, 0
            return dropped

    def _write_all(self, data: bytes) -> bool:
        """Return whether everything was written; false if the descriptor takes nothing."""
        while data:
            try:
                written = os.write(self._descriptor, data)
            except OSError:
                return False
            data = data[written:]
        return True
