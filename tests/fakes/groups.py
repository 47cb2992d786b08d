"""Keep one copy of a state machine in memory, in place of a replicated group."""

from collections.abc import Callable, Mapping

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.replication import StateMachine


class FakeGroup:
    """Implement ``Group`` around one state machine that ``make_machine`` builds.

    A test sets ``is_leader`` to refuse calls, ``reachable`` to lose them before they are
    applied, and ``answers_lost`` to the number of next proposals whose answer gets lost.
    """

    def __init__(self, name: str, make_machine: Callable[[], StateMachine]) -> None:
        self.name = name
        self.is_leader = True
        self.reachable = True
        self.answers_lost = 0
        self.commands: list[bytes] = []
        self._make_machine = make_machine
        self.machine = make_machine()

    async def propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Apply ``command`` at once."""
        refusal = self._refusal()
        if refusal is not None:
            return Err(refusal)
        self.commands.append(command)
        result = self.machine.apply(command)
        if self.answers_lost > 0:
            self.answers_lost -= 1
            return Err(Refusal(ErrorKind.TIMEOUT, "the answer was lost"))
        return Ok(result)

    async def query(self, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Read the one copy."""
        refusal = self._refusal()
        if refusal is not None:
            return Err(refusal)
        return Ok(self.machine.query(query))

    def restart_from_snapshot(self) -> None:
        """Put a new machine in place, restored from the old one's snapshot."""
        snapshot = self.machine.snapshot()
        self.machine = self._make_machine()
        self.machine.restore(snapshot)

    def restart_from_log(self) -> None:
        """Put a new machine in place that applied every command again."""
        self.machine = self._make_machine()
        for command in self.commands:
            self.machine.apply(command)

    def _refusal(self) -> Refusal | None:
        if not self.reachable:
            return Refusal(ErrorKind.UNREACHABLE, "the group is cut off")
        if not self.is_leader:
            return Refusal(ErrorKind.NOT_LEADER)
        return None


class FakeControlClient:
    """Implement ``ControlClient`` over groups by name."""

    def __init__(self, group_by_name: Mapping[str, FakeGroup]) -> None:
        self.group_by_name = dict(group_by_name)

    async def propose(self, group: str, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Commit ``command`` in the named group."""
        return await self.group_by_name[group].propose(command, timeout)

    async def query(self, group: str, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Read from the named group."""
        return await self.group_by_name[group].query(query, timeout)

    async def supports(self, group: str, feature: str, timeout: float) -> Result[bool, Refusal]:
        """All members run one build."""
        return Ok(True)


def make_control_client(make_machine_by_group: Mapping[str, Callable[[], StateMachine]]):
    """Return a client with one fake group for each name.

    >>> client = make_control_client({})
    >>> client.group_by_name
    {}
    """
    return FakeControlClient(
        {name: FakeGroup(name, make) for name, make in make_machine_by_group.items()}
    )
