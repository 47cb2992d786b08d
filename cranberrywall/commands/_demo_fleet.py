"""Run one deployment's fleet, with its targets, in this process."""

import asyncio
from pathlib import Path
from typing import Protocol

from result import Err

from cranberrywall.commands._console_program import make_console_program
from cranberrywall.commands._control_program import make_control_program
from cranberrywall.commands._entry_service import make_entry_program
from cranberrywall.console import Role, make_accounts
from cranberrywall.demo import (
    Deployment,
    FleetClient,
    FleetFiles,
    Targets,
    demo_credits,
    make_fleet_client,
    start_targets,
    wait_for_targets,
    wait_until_ready,
)
from cranberrywall.observability import process_context
from cranberrywall.runtime import Runtime, make_runtime, make_storage
from cranberrywall.settings import Settings, load_settings

PATIENCE_S = 20.0


class Program(Protocol):
    """Define what the demo needs of a program."""

    async def start(self) -> None:
        """Start it."""
        ...

    async def stop(self) -> None:
        """Stop it."""
        ...


class DemoFleet:
    """Hold a running fleet."""

    def __init__(self, deployment: Deployment, files: FleetFiles) -> None:
        self.deployment = deployment
        self.files = files
        self.client: FleetClient = make_fleet_client(files)
        self.targets = Targets([], [])
        self.programs_by_role: dict[str, list[Program]] = {}

    async def start(self) -> None:
        """Start control, commit the document and the money, then start the rest."""
        await self._start_role("control")
        await self.client.commit(self.files.document, PATIENCE_S)
        credits = demo_credits(self.deployment)
        await self.client.credit(self.files.document, credits, PATIENCE_S)
        await self._start_role("entry")
        await self._start_role("console")
        self.targets = await start_targets(self.deployment, self.files)
        await wait_until_ready(list(self.files.by_host.values()), PATIENCE_S)
        await wait_for_targets(self.files, len(self.targets.standins), PATIENCE_S)

    def put_account(self, name: str, password: str) -> None:
        """Let an operator log in at the console."""
        for host in self.files.of_role("console"):
            storage = make_storage(str(self.files.folder / "data" / host.name))
            make_accounts(storage).put(name, Role.APPROVER, password).unwrap()

    async def stop(self) -> None:
        """Stop everything: the targets, the entry hosts, and control at the end."""
        await self.targets.close()
        for role in ("entry", "console", "control"):
            programs = self.programs_by_role.pop(role, [])
            await asyncio.gather(*(program.stop() for program in programs))
        await self.client.close()

    async def _start_role(self, role: str) -> None:
        for host in self.files.of_role(role):
            settings = _read(host.path)
            runtime = make_runtime(settings.get("data"))
            with process_context(role, host.name, settings["place"]):
                program = _make_program(role, settings, runtime)
                await program.start()
            self.programs_by_role.setdefault(role, []).append(program)


def _make_program(role: str, settings: Settings, runtime: Runtime) -> Program:
    if role == "control":
        return make_control_program(settings, runtime)
    if role == "entry":
        return make_entry_program(settings, runtime)
    return make_console_program(settings, runtime)


def _read(path: Path) -> Settings:
    result = load_settings(str(path))
    if isinstance(result, Err):
        raise ValueError("; ".join(str(problem) for problem in result.err_value))
    return result.ok_value
