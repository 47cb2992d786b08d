"""Check that whoever logs never waits for whoever reads the log."""

import os
import subprocess
import sys
import time
from collections.abc import Iterator

import pytest

from cranberrywall.observability._log_writer import LogWriter

LINE = "x" * 1000 + "\n"
LINES = 1000
WAIT_S = 5.0
NEVER_READ = """
import sys
from cranberrywall.observability import configure_process_log, log_event
configure_process_log("entry", "entry-1", "kranj", "INFO", sys.stdout)
for _ in range(1000):
    log_event("INFO", "answered", text="x" * 250)
"""


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def read_lines(descriptor: int, count: int) -> list[bytes]:
    data = b""
    while data.count(b"\n") < count:
        data += os.read(descriptor, 1 << 16)
    return data.splitlines()


def test_a_pipe_that_is_not_read_does_not_block_the_writer(pipe: tuple[int, int]) -> None:
    """A host stands still, as it waits for the reader of its log."""
    reading, writing = pipe
    writer = LogWriter(writing, lambda count: None)
    writer.start()
    began_at = time.monotonic()
    for number in range(LINES):
        writer.write(f"{number} {LINE}")
    assert time.monotonic() - began_at < 1.0
    lines = read_lines(reading, LINES)
    assert [int(line.split()[0]) for line in lines] == list(range(LINES))


def test_lines_beyond_the_bound_are_dropped_and_counted(pipe: tuple[int, int]) -> None:
    """Memory grows without end while a log is not read, or lines are lost without a word."""
    reading, writing = pipe
    writer = LogWriter(
        writing, lambda count: writer.write(f"dropped {count}\n"), max_pending=200 * len(LINE)
    )
    writer.start()
    for _ in range(LINES):
        writer.write(LINE)
    got: list[bytes] = []
    while not got or not got[-1].startswith(b"dropped"):
        got += read_lines(reading, 1)
    whole = b"".join(line.strip() for line in got[:-1])
    dropped = int(got[-1].split()[1])
    assert 0 < dropped < LINES
    assert len(whole) == (LINES - dropped) * (len(LINE) - 1)


def test_the_end_of_a_process_waits_for_pending_lines(pipe: tuple[int, int]) -> None:
    """The last lines of a process, which say why it ended, are missing from its log."""
    reading, writing = pipe
    writer = LogWriter(writing, lambda count: None)
    writer.start()
    writer.write("last\n")
    writer.close(WAIT_S)
    assert os.read(reading, 100) == b"last\n"


def test_a_process_ends_though_its_log_is_not_read() -> None:
    """A host that stops is killed in the end, as it waits for the reader of its log."""
    with subprocess.Popen([sys.executable, "-c", NEVER_READ], stdout=subprocess.PIPE) as process:
        assert process.wait(WAIT_S) == 0


def test_a_reader_that_has_gone_costs_lines_only() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    writer = LogWriter(writing, lambda count: None)
    writer.start()
    writer.write(LINE)
    writer.close(WAIT_S)
    writer.write(LINE)
    writer.close(WAIT_S)
    os.close(writing)
