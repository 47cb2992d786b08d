"""Start the programs as deployed, on loopback, for the scripts of the second review.

The platform, the workers and the callers are the project's own stand-ins (``standins``).
"""

import asyncio
import contextlib
import os
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins._platform import FRONT_PORT_OFFSET, Machine, Platform  # noqa: E402

BROKEN, HELD, NOT_RUN = 1, 0, 2

LIMITS = {
    "front": {"cpu_share": 0.537, "cores": 2, "memory_mb": 150, "max_fds": 4100},
    "core": {"cpu_share": 0.645, "cores": 1, "memory_mb": 296, "max_fds": 4096},
}
"""Section ``limits`` of the settings, as on the sheet of kmusb-renewals."""

BOUNDS = """
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
recover_s = 12
pass_ms = 120
reuse_window_s = 10
settle_ms = 1500
ttl_max_s = 5
"""
"""Bounds of the same sheet, in the form of the settings file."""


def has_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Deployment(Platform):
    """Platform that runs the programs with the commands and environment of the deploy file."""

    async def start_machine(self, machine: Machine, first_start: bool = False) -> None:
        """Start a machine's program, with the disk that it had."""
        path = self._write_boot(machine, first_start)
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "CRANBERRYWALL_CONFIG": str(path),
            "CRANBERRYWALL_CODE_ARCHIVE": f"target/{machine.module}.code",
            "SSL_CERT_FILE": "/dev/null",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        command = ["python3", "-S", "-m", f"cranberrywall.platform.{machine.module}"]
        with (self._folder / f"{machine.name}.log").open("ab") as log:
            self._process_by_name[machine.name] = await asyncio.create_subprocess_exec(
                *command, env=environment, stdout=log, stderr=log, cwd=ROOT
            )

    def front_port(self) -> int:
        """Return the port at which each front serves callers."""
        return self._port + FRONT_PORT_OFFSET

    def resident_mb(self, machine: Machine) -> float:
        """Return the resident memory of a machine's process in MB; 0 if it has ended."""
        try:
            fields = Path(f"/proc/{self.process(machine).pid}/statm").read_text().split()
            return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError):
            return 0.0

    def _write_boot(self, machine: Machine, first_start: bool) -> Path:
        disk_mb = 128 if machine.module == "core" else 0
        self.limits = {**LIMITS[machine.module], "link_mbps": 1000.0, "disk_mb": disk_mb}
        path = super()._write_boot(machine, first_start)
        path.write_text(path.read_text(encoding="utf-8") + BOUNDS, encoding="utf-8")
        return path


class Record:
    """File ``record.txt`` of a case: what was sent, answered and run, with times in seconds."""

    def __init__(self, folder: Path) -> None:
        self._started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write one line, in the file and to standard output."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        print(line)
        self._file.write(line + "\n")
        self._file.flush()


async def _run(play: Callable[[Record], Awaitable[int]], record: Record, limit_s: float) -> int:
    try:
        async with asyncio.timeout(limit_s):
            return await play(record)
    except (TimeoutError, OSError, ValueError) as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        return NOT_RUN


def main(play: Callable[[Record], Awaitable[int]], folder: Path, limit_s: float = 110.0) -> None:
    """Play a case, and exit with its result."""
    record = Record(folder)
    record.write(f"TROUBLE={int(has_trouble())}")
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(asyncio.run(_run(play, record, limit_s)))
