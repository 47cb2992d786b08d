"""Write one key=value line for each event.

A line names the process, its host and place, and the request where there is one. Keys and
prompts never get in: fields that could hold one are hidden by name, registered secrets are
hidden wherever they stand, and long values are cut.
"""

import atexit
import logging
import sys
import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, TextIO

from loguru import logger

from cranberrywall.observability._log_writer import LogWriter

_VALUE_CHARACTERS = 300
_FRAMES_OF_ERROR = 3
_HIDDEN = "hidden"
_HIDDEN_FIELDS = frozenset(
    ("authorization", "body", "key", "messages", "password", "prompt", "secret", "token")
)
_SHORTEST_SECRET = 8

_secrets: set[str] = set()


def configure_process_log(process: str, host: str, place: str, level: str, stream: TextIO) -> None:
    """Send the events of a process that serves to ``stream``, without waiting for its reader."""
    writer = LogWriter(
        stream.fileno(), lambda count: log_event("WARNING", "log_lines_dropped", count=count)
    )
    configure_log(process, host, place, level, writer)
    writer.start()
    atexit.register(writer.close)


def configure_log(
    process: str, host: str, place: str, level: str, sink: TextIO | LogWriter | None = None
) -> None:
    """Send this process's events to ``sink`` (standard error where ``None``)."""
    logger.remove()
    logger.configure(extra={"process_name": process, "host": host, "place": place})
    logger.add(
        sink or sys.stderr,
        level=level,
        format=_format,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    _take_over_library_logs()


@contextmanager
def process_context(process: str, host: str, place: str) -> Iterator[None]:
    """Name another process in the events of tasks started in the block.

    The demonstration runs several programs in one process of the operating system.
    """
    with logger.contextualize(process_name=process, host=host, place=place):
        yield


def log_event(level: str, event: str, error: BaseException | None = None, **fields: Any) -> None:
    """Write one event; ``fields`` are its key=value pairs, ``error`` an exception to name."""
    if error is not None:
        fields.update(_describe(error))
    logger.bind(event=event, fields=fields).log(level, event)


@contextmanager
def request_context(request: str) -> Iterator[None]:
    """Name ``request`` in every event of this task, and of tasks it starts, in the block."""
    with logger.contextualize(request=request):
        yield


def hide_secret(secret: str) -> None:
    """Never write ``secret`` again, wherever it stands; short texts are refused."""
    if len(secret) < _SHORTEST_SECRET:
        raise ValueError(f"a secret has at least {_SHORTEST_SECRET} characters")
    _secrets.add(secret)


def format_pairs(pairs: dict[str, Any]) -> str:
    """Return the pairs as one line.

    >>> format_pairs({"host": "entry-1", "message": 'two "words"', "key": "sk-1"})
    'host=entry-1 message="two \\\\"words\\\\"" key=hidden'
    """
    return " ".join(f"{name}={_format_value(name, value)}" for name, value in pairs.items())


def _format(record: Any) -> str:
    extra = record["extra"]
    pairs = {
        "time": record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f%z"),
        "level": record["level"].name,
        "event": extra.get("event", "message"),
        "process": extra.get("process_name", "-"),
        "host": extra.get("host", "-"),
        "place": extra.get("place", "-"),
    }
    if "request" in extra:
        pairs["request"] = extra["request"]
    if record["message"] != pairs["event"]:
        pairs["message"] = record["message"]
    pairs.update(extra.get("fields", {}))
    if record["exception"] is not None and record["exception"].value is not None:
        pairs.update(_describe(record["exception"].value))
    # Loguru formats what is returned once more; the line goes in as a value of its own.
    extra["line"] = format_pairs(pairs)
    return "{extra[line]}\n"


def _format_value(name: str, value: Any) -> str:
    if name.lower() in _HIDDEN_FIELDS:
        return _HIDDEN
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    for secret in _secrets:
        text = text.replace(secret, _HIDDEN)
    if len(text) > _VALUE_CHARACTERS and name != "state":
        text = text[:_VALUE_CHARACTERS] + "..."
    if text and text.isprintable() and not any(mark in text for mark in ' "=\\'):
        return text
    return '"' + _escape(text) + '"'


def _escape(text: str) -> str:
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return "".join(
        letter if letter.isprintable() else letter.encode("unicode_escape").decode()
        for letter in escaped
    )


def _describe(error: BaseException) -> dict[str, str]:
    frames = traceback.extract_tb(error.__traceback__)[-_FRAMES_OF_ERROR:]
    places = [f"{frame.filename.rpartition('/')[2]}:{frame.lineno}" for frame in frames]
    return {"error": type(error).__name__, "reason": str(error), "at": ">".join(places)}


class _LibraryLogs(logging.Handler):
    """Turn records of libraries that use ``logging`` into events."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        message = record.getMessage()
        log_event(record.levelname, "library", error, library=record.name, message=message)


def _take_over_library_logs() -> None:
    logging.basicConfig(handlers=[_LibraryLogs()], level=logging.WARNING, force=True)


class EventLimiter:
    """Log an event that outsiders can cause at will once in a while, with the number since.

    Without it, a stranger that knocks a thousand times a second fills the log's disk.
    """

    def __init__(self, now: Callable[[], float], every: float = 10.0) -> None:
        self._now = now
        self._every = every
        self._logged_at: dict[tuple[str, str], float] = {}
        self._since: dict[tuple[str, str], int] = {}

    def log(self, level: str, event: str, reason: str, **fields: Any) -> None:
        """Write the event, unless one for the same ``reason`` was written just before.

        ``reason`` must come from a closed list.
        """
        key = (event, reason)
        now = self._now()
        self._since[key] = self._since.get(key, 0) + 1
        if now - self._logged_at.get(key, float("-inf")) < self._every:
            return
        log_event(level, event, reason=reason, count=self._since.pop(key), **fields)
        self._logged_at[key] = now
