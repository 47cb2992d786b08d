"""Find a group's leader and call it."""

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from result import Err, Ok, Result

from cranberrywall.control.messages import (
    CHANGE_MEMBER,
    MEMBERS,
    PROPOSE,
    QUERY,
    ChangeMemberReply,
    ChangeMemberRequest,
    MembersReply,
    MembersRequest,
    ProposeRequest,
    QueryRequest,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Method
from cranberrywall.runtime import Clock, Random, make_random

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")

ATTEMPT_S = 1.0
"""How long one control host may take to answer before another is asked, in seconds."""

_BACKOFF_FIRST_S = 0.02
_BACKOFF_MOST_S = 0.5

_TRY_ANOTHER = frozenset(
    {
        ErrorKind.NOT_LEADER,
        ErrorKind.NOT_CURRENT,
        ErrorKind.NOT_READY,
        ErrorKind.UNREACHABLE,
        ErrorKind.TIMEOUT,
        ErrorKind.STORAGE_FAILED,
        ErrorKind.CORRUPT,
        ErrorKind.DRAINING,
        ErrorKind.OVERLOADED,
    }
)
_MAY_HAVE_ACTED = frozenset({ErrorKind.TIMEOUT, ErrorKind.STORAGE_FAILED})


class ControlClient(Protocol):
    """Reach the replicated groups from any process; each ``timeout`` is in seconds."""

    async def propose(self, group: str, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Commit ``command`` in ``group``, following leader hints until ``timeout``.

        A call that timed out is sent again only where the command is idempotent, which
        every command of this system is.
        """
        ...

    async def query(self, group: str, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Read from ``group``'s leader; the answer reflects every earlier commit."""
        ...


class MembersClient(ControlClient, Protocol):
    """Change the members of groups as well."""

    async def members(self, group: str, timeout: float) -> Result[MembersReply, Refusal]:
        """Return a group's members, and which changes of them are safe now."""
        ...

    async def change_member(
        self, request: ChangeMemberRequest, timeout: float
    ) -> Result[ChangeMemberReply, Refusal]:
        """Add, remove or replace a member; ``Err`` is ``UNSAFE_STEP`` where it is unsafe."""
        ...


def make_control_client(
    caller: Caller,
    clock: Clock,
    controls: Sequence[str] | Callable[[], Sequence[str]],
    random: Random | None = None,
) -> MembersClient:
    """Return a client of the control hosts at the addresses ``controls``.

    A function gives the addresses known at each call. Raise ``ValueError`` where there are
    none.
    """
    addresses = controls if callable(controls) else _make_fixed(controls)
    if not addresses():
        raise ValueError("name at least one control host")
    return _ControlClient(caller, clock, addresses, random or make_random())


def _make_fixed(controls: Sequence[str]) -> Callable[[], Sequence[str]]:
    fixed = tuple(controls)
    return lambda: fixed


class _ControlClient:
    def __init__(
        self,
        caller: Caller,
        clock: Clock,
        controls: Callable[[], Sequence[str]],
        random: Random,
    ) -> None:
        self._caller = caller
        self._clock = clock
        self._controls = controls
        self._random = random
        self._leader_by_group: dict[str, str] = {}
        self._next = random.randrange(0, len(controls()))

    async def propose(self, group: str, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        reply = await self._follow(group, PROPOSE, ProposeRequest(group, command), timeout)
        return reply.map(lambda message: message.result)

    async def query(self, group: str, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        reply = await self._follow(group, QUERY, QueryRequest(group, query), timeout)
        return reply.map(lambda message: message.result)

    async def members(self, group: str, timeout: float) -> Result[MembersReply, Refusal]:
        return await self._follow(group, MEMBERS, MembersRequest(group), timeout)

    async def change_member(
        self, request: ChangeMemberRequest, timeout: float
    ) -> Result[ChangeMemberReply, Refusal]:
        return await self._follow(request.group, CHANGE_MEMBER, request, timeout)

    async def _follow(
        self, group: str, method: Method[RequestT, ReplyT], request: RequestT, timeout: float
    ) -> Result[ReplyT, Refusal]:
        search = _Search(self._clock.now() + timeout)
        while True:
            address = self._leader_by_group.get(group) or self._another()
            remaining = search.deadline - self._clock.now()
            if remaining <= 0:
                return Err(search.refusal())
            reply = await self._caller.call(address, method, request, min(ATTEMPT_S, remaining))
            if isinstance(reply, Ok):
                self._leader_by_group[group] = address
                return reply
            refusal = reply.err_value
            if refusal.kind not in _TRY_ANOTHER:
                return Err(refusal)
            search.note(refusal)
            self._take_hint(group, address, refusal)
            await self._back_off(search)

    def _another(self) -> str:
        controls = self._controls()
        self._next = (self._next + 1) % len(controls)
        return controls[self._next]

    def _take_hint(self, group: str, address: str, refusal: Refusal) -> None:
        self._leader_by_group.pop(group, None)
        # A host that was cut off may name itself or a leader of long ago; such a hint
        # costs one attempt, since whatever fails is forgotten here.
        hint = refusal.message if refusal.kind is ErrorKind.NOT_LEADER else ""
        if hint and hint != address:
            self._leader_by_group[group] = hint

    async def _back_off(self, search: "_Search") -> None:
        # The first failure is most often a hint to follow. After that the group may be
        # electing, and thousands of clients must not ask it in step.
        if search.failures == 1:
            return
        longest = min(_BACKOFF_MOST_S, _BACKOFF_FIRST_S * 2**search.failures)
        remaining = search.deadline - self._clock.now()
        await self._clock.sleep(max(0.0, min(remaining, self._random.uniform(0.0, longest))))


class _Search:
    """Remember what went wrong while a leader was looked for."""

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.failures = 0
        self._last: Refusal | None = None
        self._may_have_acted: Refusal | None = None

    def note(self, refusal: Refusal) -> None:
        """Note one attempt's refusal."""
        self.failures += 1
        self._last = refusal
        if refusal.kind in _MAY_HAVE_ACTED:
            self._may_have_acted = refusal

    def refusal(self) -> Refusal:
        """Return what to tell the caller at the deadline.

        Once any attempt may have acted, a later one that certainly did not must not hide
        it: the caller would take an unknown outcome for a failure.
        """
        if self._may_have_acted is not None:
            return Refusal(ErrorKind.TIMEOUT, f"no leader answered: {self._may_have_acted}")
        if self._last is not None:
            return Refusal(ErrorKind.UNREACHABLE, f"no leader was found: {self._last}")
        return Refusal(ErrorKind.UNREACHABLE, "the deadline had passed")
