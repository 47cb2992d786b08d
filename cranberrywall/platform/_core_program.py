"""Put a control host together for the users' platform, and run it."""

from cranberrywall.commands._control_program import make_control_program
from cranberrywall.intake import make_intake
from cranberrywall.observability import StateRegistry
from cranberrywall.platform._boot import Boot, fleet_keys, settings_of
from cranberrywall.platform._control import ControlCalls
from cranberrywall.platform._running import run_program
from cranberrywall.runtime import make_runtime


class _Program:
    """Run a control host, and answer the operator and the targets."""

    def __init__(self, boot: Boot) -> None:
        runtime = make_runtime(boot.data)
        self._program = make_control_program(
            settings_of(boot, "control"), runtime, keys=fleet_keys()
        )
        calls = ControlCalls(self._program, boot.region_by_place, runtime.clock)
        intake = make_intake(boot.memory_bytes, boot.max_fds, runtime.clock)
        self._listener = calls.make_listener(boot.control, intake)

    @property
    def state(self) -> StateRegistry:
        return self._program.state

    async def start(self) -> None:
        await self._program.start()
        await self._listener.start()

    async def stop(self) -> None:
        await self._listener.close()
        await self._program.stop()


def main() -> None:
    """Run a control host until SIGTERM."""
    run_program("control", _Program)
