"""One host's run tracker in virtual time, with addresses that a test controls."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from cranberrywall.quarantine import Run, RunEnd, RunTracker, fingerprint_of
from cranberrywall.quarantine._endings import Ending
from cranberrywall.targets import Announcement, make_targets
from tests.fakes.clock import VirtualClock, run_virtual


class ScriptedNetwork:
    """Network that accepts connections, refuses them or does not respond, by address."""

    def __init__(self) -> None:
        self.refuses: set[str] = set()
        self.unresponsive: set[str] = set()
        self.dialled: list[str] = []

    async def dial(self, address: str, timeout: float) -> Any:
        self.dialled.append(address)
        if address in self.refuses:
            raise ConnectionRefusedError(111, "refused")
        if address in self.unresponsive:
            await asyncio.sleep(timeout)
            raise TimeoutError
        return object(), _FakeWriter()


class _FakeWriter:
    def close(self) -> None:
        pass


def announcement(target: str, port: int, incarnation: int = 1, **fields: Any) -> Announcement:
    made = Announcement(
        target, incarnation, 1, "engine", "drafting-llm", "town-hall", f"http://10.0.0.1:{port}", 8
    )
    return made._replace(**fields)


class Scene:
    """One host's run tracker, and the ends of targets that it reported."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.network = ScriptedNetwork()
        self.targets = make_targets()
        network: Any = self.network  # only ``dial`` is called
        self.tracker = RunTracker(self.targets, network, self.clock)
        self.ended: list[tuple[Ending, list[str]]] = []
        self.tracker.on_ended = self._record_ending

    def _record_ending(self, ending: Ending, runs: Any, now: float) -> None:
        self.ended.append((ending, sorted(run.request_id for run in runs)))

    def announce(self, target: str, port: int, incarnation: int = 1, **fields: Any) -> None:
        self.targets.apply(announcement(target, port, incarnation, **fields), self.clock.now())

    def run(self, request_id: str, target: str, body: bytes = b"") -> Run:
        return self.tracker.begin(request_id, target, fingerprint_of("desk", "/x", body), True)

    def finish(self, run: Run, end: RunEnd, port: int) -> None:
        self.tracker.finish(run, end, f"http://10.0.0.1:{port}", self.clock.now())


def run_scene(scenario: Callable[[Scene], Awaitable[None]]) -> None:
    async def main() -> None:
        scene = Scene()
        scene.announce("a", 1)
        await scenario(scene)
        scene.tracker.close()

    run_virtual(main())
