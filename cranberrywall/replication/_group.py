"""Assemble one member of a group."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Handler, Peer, Server
from cranberrywall.replication._applier import Applier
from cranberrywall.replication._changes import MemberChanges
from cranberrywall.replication._core import Core, Role
from cranberrywall.replication._election import Elections
from cranberrywall.replication._files import Opened
from cranberrywall.replication._following import Following
from cranberrywall.replication._formation import Formation, InitialMembers
from cranberrywall.replication._interfaces import GroupState, Replica, StateMachine
from cranberrywall.replication._leadership import Leadership
from cranberrywall.replication._rosters import describe
from cranberrywall.replication._settings import GroupSettings
from cranberrywall.replication.checks import MemberView, Step, list_steps
from cranberrywall.replication.messages import EntryKind, make_methods
from cranberrywall.runtime import Runtime

_DISK_BITS = 64
_MICROSECONDS = 1_000_000


def make_group(
    name: str,
    founders: InitialMembers,
    this_host: str,
    state_machine: StateMachine,
    runtime: Runtime,
    caller: Caller,
    server: Server,
    settings: GroupSettings | None = None,
) -> Replica:
    """Return this host's member of group ``name``; ``start`` opens its files.

    ``founders`` form the group when none of them has any of it yet. Later its members are
    those in its log. Raise ``ValueError`` for a host without a disk.
    """
    if runtime.storage is None:
        raise ValueError(f"{this_host} has no data folder, which a member of a group needs")
    core = Core(
        name,
        this_host,
        settings or GroupSettings(),
        make_methods(name),
        caller,
        runtime.clock,
        runtime.random,
        runtime.storage,
    )
    return _Group(core, state_machine, founders, server)


class _Group:
    def __init__(
        self,
        core: Core,
        state_machine: StateMachine,
        founders: InitialMembers,
        server: Server,
    ) -> None:
        self._core = core
        self._server = server
        self._applier = Applier(core, state_machine)
        self._applier.on_applied = self._applied
        self._applier.on_turn = self._applied_turn
        self._elections = Elections(core, self._lead)
        self._following = Following(core, self._applier)
        self._formation = Formation(core, founders)
        self._changes = MemberChanges(core)
        self._leadership: Leadership | None = None
        core.on_step_down = self._stop_leading

    @property
    def name(self) -> str:
        return self._core.group

    @property
    def is_leader(self) -> bool:
        return self._core.role is Role.LEADER

    @property
    def has_leader_contact(self) -> bool:
        core = self._core
        return bool(core.leader) and core.has_leader_contact(core.clock.now())

    @property
    def has_caught_up(self) -> bool:
        core = self._core
        if core.caught_up_index is None and self._leadership is not None:
            core.caught_up_index = self._leadership.first_index
        index = core.caught_up_index
        return index is not None and self._applier.applied_index >= index

    @property
    def failure(self) -> Refusal | None:
        return self._core.failure

    def addresses(self) -> Sequence[str]:
        return [member.address for member in self._core.log.roster.members]

    async def start(self) -> Result[None, Refusal]:
        core = self._core
        disk = self._draw_disk()
        read = await core.write(lambda: core.files.open(disk))
        loaded = read.and_then(lambda opened: opened.and_then(self._load))
        if isinstance(loaded, Err):
            core.fail(loaded.err_value)
            return loaded
        core.put_off_campaign(core.clock.now())
        if len(core.log.roster.members) == 1:
            core.campaign_at = core.clock.now()
        self._register()
        core.spawn(self._applier.run())
        self._elections.tick(core.clock.now())
        core.spawn(self._tick_always())
        return Ok(None)

    async def hand_over(self) -> None:
        if self._leadership is not None:
            await self._leadership.hand_over()

    async def stop(self) -> None:
        self._core.step_down("this host stops", "INFO")
        await self._core.stop()

    async def propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        leadership = self._leadership
        if leadership is None or leadership.is_leaving:
            return Err(self._not_leading())
        if len(command) > self._core.settings.command_bytes:
            limit = self._core.settings.command_bytes
            return Err(Refusal(ErrorKind.TOO_LARGE, f"a command has at most {limit} bytes"))
        deadline = self._core.clock.now() + timeout
        return await leadership.propose(EntryKind.COMMAND, command, deadline)

    async def query(self, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        leadership = self._leadership
        if leadership is None:
            return Err(self._not_leading())
        return await leadership.read(query, self._core.clock.now() + timeout)

    def members(self) -> Result[Sequence[MemberView], Refusal]:
        if self._leadership is None:
            return Err(self._not_leading())
        return Ok(self._changes.view(self._leadership, self._core.clock.now()))

    def steps(self) -> Result[Sequence[Step], Refusal]:
        return self.members().map(list_steps)

    async def add(self, host: str, address: str, timeout: float) -> Result[None, Refusal]:
        if self._leadership is None:
            return Err(self._not_leading())
        deadline = self._core.clock.now() + timeout
        return await self._changes.add(self._leadership, host, address, deadline)

    async def enlist(self, host: str, address: str, timeout: float) -> Result[None, Refusal]:
        if self._leadership is None:
            return Err(self._not_leading())
        deadline = self._core.clock.now() + timeout
        return await self._changes.enlist(self._leadership, host, address, deadline)

    async def remove(
        self, host: str, timeout: float, forced: bool = False
    ) -> Result[None, Refusal]:
        if self._leadership is None:
            return Err(self._not_leading())
        deadline = self._core.clock.now() + timeout
        return await self._changes.remove(self._leadership, host, deadline, forced)

    async def replace(
        self, old: str, new: str, address: str, timeout: float, forced: bool = False
    ) -> Result[None, Refusal]:
        if self._leadership is None:
            return Err(self._not_leading())
        deadline = self._core.clock.now() + timeout
        return await self._changes.replace(self._leadership, old, new, address, deadline, forced)

    def state(self) -> GroupState:
        core = self._core
        snapshot = core.files.snapshot
        return GroupState(
            group=core.group,
            host=core.host,
            role=str(core.role),
            term=core.term,
            leader=core.leader if self.has_leader_contact else "",
            disk=core.vote.disk,
            lineage=core.lineage,
            last_index=core.log.last_index,
            commit_index=core.commit_index,
            applied_index=self._applier.applied_index,
            snapshot_index=snapshot.last_index if snapshot else 0,
            roster=[describe(member) for member in core.log.roster.members],
            members=[view._asdict() for view in self.members().unwrap_or([])],
            failure=str(core.failure or ""),
        )

    def _draw_disk(self) -> str:
        # Random numbers may be seeded, and would then give an emptied disk the identity
        # that it had before; the time of its start does not come again.
        core = self._core
        started = int(core.clock.wall() * _MICROSECONDS)
        return f"{core.host}-{started:x}-{core.random.getrandbits(_DISK_BITS):016x}"

    def _load(self, opened: Opened) -> Result[None, Refusal]:
        core = self._core
        core.vote = opened.vote
        core.log = opened.log
        if opened.snapshot is not None:
            core.commit_index = opened.snapshot.info.last_index
            try:
                self._applier.restore(core.commit_index, opened.snapshot.data)
            except ValueError as error:
                message = f"the snapshot cannot be read: {error}"
                remedy = "run the version that wrote it, or empty the group's folder"
                return Err(Refusal(ErrorKind.CORRUPT, message, "data", remedy))
        core.durable_index = core.log.last_index
        if opened.torn_bytes:
            core.event("torn_tail_cut", "WARNING", bytes=opened.torn_bytes)
        core.event("group_opened", last_index=core.log.last_index, base=core.log.base_index)
        return Ok(None)

    def _register(self) -> None:
        methods = self._core.methods
        self._server.register(methods.vote, self._whole(self._elections.answer))
        self._server.register(methods.append, self._whole(self._following.append))
        self._server.register(methods.install, self._whole(self._following.install))
        self._server.register(methods.hand_over, self._whole(self._elections.take_over))
        self._server.register(methods.identify, self._whole(self._formation.answer))

    def _whole(
        self, answer: Callable[[Any, Peer], Awaitable[Result[Any, Refusal]]]
    ) -> Handler[Any, Any]:
        """Run ``answer`` to its end even where the call is given up.

        A vote or an append that is cancelled between its write and the change in memory
        would leave the two in disagreement.
        """

        async def handle(request: Any, peer: Peer) -> Result[Any, Refusal]:
            async def run() -> Result[Any, Refusal]:
                return await answer(request, peer)

            return await asyncio.shield(self._core.spawn(run()))

        return handle

    async def _tick_always(self) -> None:
        core = self._core
        while True:
            await core.clock.sleep(core.settings.tick_s)
            now = core.clock.now()
            if self._leadership is not None:
                self._leadership.tick(now)
            if self._leadership is not None:
                self._changes.tick(self._leadership, now)
            self._elections.tick(now)
            self._formation.tick(now)

    async def _lead(self) -> None:
        core = self._core
        core.role = Role.LEADER
        core.leader = core.host
        self._leadership = Leadership(core, self._applier.query, core.clock.now())
        self._leadership.applied_index = self._applier.applied_index
        self._leadership.start()

    def _stop_leading(self, reason: str) -> None:
        leadership, self._leadership = self._leadership, None
        if leadership is not None:
            leadership.end(reason)

    def _applied(self, index: int, result: Result[bytes, Refusal]) -> None:
        if self._leadership is not None:
            self._leadership.applied(index, result)

    def _applied_turn(self) -> None:
        if self._leadership is not None:
            self._leadership.applied_all()

    def _not_leading(self) -> Refusal:
        core = self._core
        if core.failure is not None:
            return core.failure
        if self._leadership is not None:
            return Refusal(ErrorKind.NOT_LEADER, "")
        if core.leader and core.has_leader_contact(core.clock.now()):
            return Refusal(ErrorKind.NOT_LEADER, core.leader_address())
        remedy = "ask another control host"
        return Refusal(ErrorKind.NOT_CURRENT, "this host hears no leader", remedy=remedy)
