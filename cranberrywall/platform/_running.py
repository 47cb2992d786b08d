"""Run a program on the users' platform until it is told to stop."""

import sys
import time
from collections.abc import Callable
from functools import partial

from result import Err

from cranberrywall import STARTED_PROCESSOR_S
from cranberrywall.commands._interfaces import Program
from cranberrywall.commands._signals import run_until_stop_signal, stop_within
from cranberrywall.observability import configure_process_log, log_event
from cranberrywall.platform._boot import Boot, path_from_environment, read_boot
from cranberrywall.platform._loading import archive_problems
from cranberrywall.runtime import resident_bytes

EXIT_NOT_STARTED = 1

Make = Callable[[Boot], Program]


class _ProgramService:
    """Start and stop a program with the process."""

    def __init__(self, boot: Boot, make: Make) -> None:
        self._boot = boot
        self._make = make
        self._program: Program | None = None

    async def start(self) -> None:
        """Start the program."""
        self._program = self._make(self._boot)
        await self._program.start()
        log_event(
            "INFO",
            "process_started",
            processor_s=_processor_s(),
            memory_kib=_resident_kib(),
            first_start=self._boot.may_form,
        )

    async def stop(self) -> None:
        """Stop the program."""
        log_event("INFO", "process_stopping", processor_s=_processor_s())
        if self._program is not None:
            await stop_within(self._boot.grace_s, self._program.stop())


def _processor_s() -> float:
    """Return the processor time that this process took since it imported the project."""
    return time.process_time() - STARTED_PROCESSOR_S


def _note_reload(started_with: Boot) -> None:
    read = read_boot(path_from_environment())
    if isinstance(read, Err):
        log_event("ERROR", "settings_not_reloaded", problem=read.err_value)
        return
    now = read.ok_value._asdict()
    changed = [name for name, value in started_with._asdict().items() if now[name] != value]
    log_event("INFO", "settings_read_again", changed=",".join(changed))


def _resident_kib() -> int:
    """Return the memory of this process that is resident, in KiB; 0 where it cannot be read."""
    try:
        return resident_bytes() // 1024
    except (OSError, IndexError, ValueError) as error:
        log_event("WARNING", "memory_not_known", error)
        return 0


def run_program(process: str, make: Make) -> None:
    """Read the settings, and run ``make``'s program until SIGTERM; exit 1 where it cannot start."""
    read = read_boot(path_from_environment())
    if isinstance(read, Err):
        print(f"not started: {read.err_value}", file=sys.stderr)
        sys.exit(EXIT_NOT_STARTED)
    boot = read.ok_value
    configure_process_log(process, boot.host, boot.place, "INFO", sys.stdout)
    for problem in archive_problems:
        log_event("WARNING", "code_archive_not_used", problem=problem)
    try:
        run_until_stop_signal(_ProgramService(boot, make), partial(_note_reload, boot))
    except OSError as error:
        log_event("ERROR", "not_started", error)
        sys.exit(EXIT_NOT_STARTED)
