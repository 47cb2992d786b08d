"""Run a fleet's programs as processes of their own, and end them as hosts end."""

import asyncio
import signal
import sys
from asyncio.subprocess import Process
from collections.abc import Mapping, Sequence
from pathlib import Path

from cranberrywall.demo import FleetFiles, wait_until_ready

READY_S = 30.0
STOP_S = 30.0
LOGGED_LINES = 120
ROOT = Path(__file__).parents[1]


class FleetProcesses:
    """Hold the processes of one fleet by host name; their logs are in the fleet's folder."""

    def __init__(self, files: FleetFiles, root_by_host: Mapping[str, Path] | None = None) -> None:
        """``root_by_host`` names the checkouts of hosts that run another build than this one."""
        self._files = files
        self._root_by_host = root_by_host if root_by_host is not None else {}
        self._process_by_host: dict[str, Process] = {}

    async def start(self, hosts: Sequence[str]) -> None:
        """Start hosts at once and wait until each is ready."""
        await asyncio.gather(*(self._start(host) for host in hosts))
        await asyncio.gather(*(self.wait_ready(host) for host in hosts))

    async def end(self, host: str, number: signal.Signals) -> int:
        """Send a signal to one host's process and return its exit status once it ended."""
        process = self._process_by_host.pop(host)
        process.send_signal(number)
        try:
            async with asyncio.timeout(STOP_S):
                return await process.wait()
        except TimeoutError:
            lines = self.log(host).splitlines()[-LOGGED_LINES:]
            print(f"{host} had not ended after {STOP_S:g} s:", *lines, sep="\n  ")
            raise

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal after which the host's process goes on."""
        self._process_by_host[host].send_signal(number)

    async def end_all(self) -> dict[str, int]:
        """End every process by SIGTERM, entry hosts first; return their exit statuses."""
        statuses: dict[str, int] = {}
        for role in ("entry", "console", "control"):
            hosts = [h for h in self._process_by_host if self._files.by_host[h].role == role]
            ended = await asyncio.gather(*(self._end_or_find_ended(host) for host in hosts))
            statuses.update(zip(hosts, ended, strict=True))
        return statuses

    async def _end_or_find_ended(self, host: str) -> int:
        process = self._process_by_host[host]
        if process.returncode is not None:
            del self._process_by_host[host]
            return process.returncode
        return await self.end(host, signal.SIGTERM)

    async def wait_ready(self, host: str) -> None:
        """Wait until the host says that it is ready; raise with its log where it ended."""
        waiting = asyncio.create_task(wait_until_ready([self._files.by_host[host]], READY_S))
        ending = asyncio.create_task(self._process_by_host[host].wait())
        await asyncio.wait((waiting, ending), return_when=asyncio.FIRST_COMPLETED)
        ending.cancel()
        if not waiting.done():
            waiting.cancel()
            raise RuntimeError(f"{host} ended: {self.log(host)}")
        await waiting

    def log(self, host: str) -> str:
        """Return what a host logged."""
        return self._log_path(host).read_text("utf-8", errors="replace")

    async def _start(self, host: str) -> None:
        described = self._files.by_host[host]
        with self._log_path(host).open("ab") as log:
            self._process_by_host[host] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"cranberrywall.commands.{described.role}",
                "--settings",
                str(described.path),
                stderr=log,
                cwd=self._root_by_host.get(host, ROOT),
            )

    def _log_path(self, host: str) -> Path:
        return self._files.folder / f"{host}.log"
