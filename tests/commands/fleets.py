"""Run ``cranberrywallctl`` against state machines in memory."""

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec
from click.testing import CliRunner, Result
from result import Err, Ok

from cranberrywall.budgets.ledger import make_ledger_machine
from cranberrywall.budgets.messages import LEDGER_CODEC
from cranberrywall.commands.ctl import main
from cranberrywall.commands.ctl._session import Options, Session
from cranberrywall.control import ChangeMemberRequest, MembersReply, ledger_group
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import DUMP, DumpReply, DumpRequest, register_drain
from cranberrywall.links import Peer
from cranberrywall.orders import make_group_machine
from cranberrywall.replication import MemberView, Step
from tests.fakes.clock import ManualClock
from tests.fakes.groups import FakeControlClient, FakeGroup

LEDGER_GROUPS = 2
EXAMPLE = "examples/savings-board/configuration.yaml"


class FakeMembersClient(FakeControlClient):
    """Answer for members as a group of one host would."""

    def __init__(self, group_by_name: dict[str, FakeGroup]) -> None:
        super().__init__(group_by_name)
        self.changes: list[ChangeMemberRequest] = []

    async def members(self, group: str, timeout: float):
        member = MemberView("control-1", "127.0.0.1:7101", True, True, True, False, 0)
        return Ok(MembersReply((member,), (Step("remove", "control-1", "it is the last"),)))

    async def change_member(self, request: ChangeMemberRequest, timeout: float):
        if not request.forced:
            return Err(Refusal(ErrorKind.UNSAFE_STEP, "it is the last", "host", "add one first"))
        self.changes.append(request)
        return Ok(None)


class FakeCaller:
    """Call the methods that hosts registered by address; other hosts do not answer."""

    def __init__(self) -> None:
        self.handler_by_address: dict[tuple[str, str], Any] = {}

    async def call(self, address: str, method: Any, request: Any, timeout: float):
        handler = self.handler_by_address.get((address, method.name))
        if handler is None:
            return Err(Refusal(ErrorKind.UNREACHABLE, "nobody listens"))
        return await handler(request, Peer("cranberrywallctl", "operator", 1))

    def listen(self, address: str, incarnation: int, drain: Callable[[], None]) -> None:
        register_drain(FakeServer(self, address), incarnation, drain)


class FakeServer:
    """Register one method at an address."""

    def __init__(self, caller: FakeCaller, address: str) -> None:
        self._caller = caller
        self._address = address

    def register(self, method: Any, handler: Any) -> None:
        self._caller.handler_by_address[self._address, method.name] = handler


class CtlFleet:
    """Hold the groups of a fleet whose configuration is an example's."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.groups = {"configuration": FakeGroup("configuration", make_group_machine)}
        for number in range(LEDGER_GROUPS):
            name = f"ledger-{number}"
            self.groups[name] = FakeGroup(name, make_ledger_machine)
        self.control = FakeMembersClient(self.groups)
        self.caller = FakeCaller()

    @asynccontextmanager
    async def connect(self, options: Options) -> AsyncIterator[Session]:
        yield Session(self.control, self.caller, self.clock, options)

    def run(self, *arguments: str, operator: str = "ann") -> Result:
        runner = CliRunner()
        given = ["--operator", operator, *arguments]
        return runner.invoke(main, given, obj=self.connect, catch_exceptions=False)

    def run_json(self, *arguments: str) -> Any:
        result = self.run("--json", *arguments)
        assert result.exit_code == 0, result.output
        return json.loads(result.stdout)

    def apply(self, budget: str, command: Any) -> Any:
        """Send a command to the ledger as an entry host would."""
        group = self.groups[ledger_group(budget, LEDGER_GROUPS)]
        return LEDGER_CODEC.decode(group.machine.apply(LEDGER_CODEC.encode(command)))


def serve_dump(fleet: CtlFleet, address: str, state: dict[str, object]) -> None:
    """Let a host answer with ``state``, by section."""

    async def answer(request: DumpRequest, peer: object):
        dumped = state.get(request.section) if request.section else state
        return Ok(DumpReply(msgspec.json.encode(dumped)))

    fleet.caller.handler_by_address[address, DUMP.name] = answer


def configured_fleet() -> CtlFleet:
    """Return a fleet with the savings board's configuration."""
    fleet = CtlFleet()
    assert fleet.run("apply", EXAMPLE, "--based-on", "0").exit_code == 0
    return fleet
