"""Client that finds the leader of a replicated group and calls it."""

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from result import Err, Ok, Result

from cranberrywall.control.messages import (
    CHANGE_MEMBER,
    MEMBERS,
    PROPOSE,
    QUERY,
    SUPPORT,
    ChangeMemberReply,
    ChangeMemberRequest,
    MembersReply,
    MembersRequest,
    ProposeRequest,
    QueryRequest,
    SupportRequest,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Method
from cranberrywall.runtime import Clock, Random, make_random

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")

ATTEMPT_TIMEOUT_S = 1.0
"""Time limit of a call to one control host, in seconds; after it the next host is called."""

_INITIAL_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 0.5

_RETRYABLE_KINDS = frozenset(
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
_UNKNOWN_OUTCOME_KINDS = frozenset({ErrorKind.TIMEOUT, ErrorKind.STORAGE_FAILED})


class ControlClient(Protocol):
    """Client of the replicated groups, for any process; each ``timeout`` is in seconds."""

    async def propose(self, group: str, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Commit ``command`` in ``group`` and return the result of the state machine.

        Follow the hints of followers to the leader until ``timeout``. A call that timed out is
        sent again. This is safe because every command of this system is idempotent.
        """
        ...

    async def query(self, group: str, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Read from the leader of ``group``; the answer reflects every earlier commit."""
        ...

    async def supports(self, group: str, feature: str, timeout: float) -> Result[bool, Refusal]:
        """Return whether the builds of all members of ``group`` have a feature.

        Replicas that apply a command differently must never be members of the same group. A leader
        of a build without this call refuses it with ``MALFORMED``.
        """
        ...


class MembersClient(ControlClient, Protocol):
    """Client that can also list and change the members of groups."""

    async def members(self, group: str, timeout: float) -> Result[MembersReply, Refusal]:
        """Return the members of a group and which membership changes are safe now."""
        ...

    async def change_member(
        self, request: ChangeMemberRequest, timeout: float
    ) -> Result[ChangeMemberReply, Refusal]:
        """Add, enlist, remove or replace a member; return ``UNSAFE_STEP`` if that is unsafe."""
        ...


def make_control_client(
    caller: Caller,
    clock: Clock,
    controls: Sequence[str] | Callable[[], Sequence[str]],
    random: Random | None = None,
) -> MembersClient:
    """Return a client of the control hosts at the addresses ``controls``.

    A function ``controls`` is called whenever the client needs the current addresses. Raise
    ``ValueError`` if there are no addresses.
    """
    addresses = controls if callable(controls) else _make_constant(controls)
    if not addresses():
        raise ValueError("at least one control host address is required")
    return _ControlClient(caller, clock, addresses, random or make_random())


def _make_constant(controls: Sequence[str]) -> Callable[[], Sequence[str]]:
    addresses = tuple(controls)
    return lambda: addresses


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
        self._index = random.randrange(0, len(controls()))

    async def propose(self, group: str, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        reply = await self._call_leader(group, PROPOSE, ProposeRequest(group, command), timeout)
        return reply.map(lambda message: message.result)

    async def query(self, group: str, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        reply = await self._call_leader(group, QUERY, QueryRequest(group, query), timeout)
        return reply.map(lambda message: message.result)

    async def supports(self, group: str, feature: str, timeout: float) -> Result[bool, Refusal]:
        request = SupportRequest(group, feature)
        reply = await self._call_leader(group, SUPPORT, request, timeout)
        return reply.map(lambda message: message.is_supported)

    async def members(self, group: str, timeout: float) -> Result[MembersReply, Refusal]:
        return await self._call_leader(group, MEMBERS, MembersRequest(group), timeout)

    async def change_member(
        self, request: ChangeMemberRequest, timeout: float
    ) -> Result[ChangeMemberReply, Refusal]:
        return await self._call_leader(request.group, CHANGE_MEMBER, request, timeout)

    async def _call_leader(
        self, group: str, method: Method[RequestT, ReplyT], request: RequestT, timeout: float
    ) -> Result[ReplyT, Refusal]:
        search = _LeaderSearch(self._clock.now() + timeout)
        while True:
            address = self._leader_by_group.get(group) or self._next_control()
            remaining = search.deadline - self._clock.now()
            if remaining <= 0:
                return Err(search.refusal())
            reply = await self._caller.call(
                address, method, request, min(ATTEMPT_TIMEOUT_S, remaining)
            )
            if isinstance(reply, Ok):
                self._leader_by_group[group] = address
                return reply
            refusal = reply.err_value
            if refusal.kind not in _RETRYABLE_KINDS:
                return Err(refusal)
            search.record_refusal(refusal)
            self._apply_hint(group, address, refusal)
            await self._back_off(search)

    def _next_control(self) -> str:
        controls = self._controls()
        self._index = (self._index + 1) % len(controls)
        return controls[self._index]

    def _apply_hint(self, group: str, address: str, refusal: Refusal) -> None:
        self._leader_by_group.pop(group, None)
        # A host that was partitioned may name itself or a former leader. Such a hint costs one
        # attempt, because an address that fails is removed above.
        hint = refusal.message if refusal.kind is ErrorKind.NOT_LEADER else ""
        if hint and hint != address:
            self._leader_by_group[group] = hint

    async def _back_off(self, search: "_LeaderSearch") -> None:
        # The first failure is usually a hint that can be followed immediately. After that the
        # group may be electing a leader, and thousands of clients must not retry in step.
        if search.failures == 1:
            return
        max_backoff_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**search.failures)
        remaining = search.deadline - self._clock.now()
        await self._clock.sleep(max(0.0, min(remaining, self._random.uniform(0.0, max_backoff_s))))


class _LeaderSearch:
    """Failed attempts of one search for a leader, up to its deadline."""

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.failures = 0
        self._last: Refusal | None = None
        self._unknown_outcome: Refusal | None = None

    def record_refusal(self, refusal: Refusal) -> None:
        """Record the refusal of one attempt."""
        self.failures += 1
        self._last = refusal
        if refusal.kind in _UNKNOWN_OUTCOME_KINDS:
            self._unknown_outcome = refusal

    def refusal(self) -> Refusal:
        """Return the refusal that the caller gets at the deadline.

        If any attempt may have been carried out, return ``TIMEOUT``, also if a later attempt
        was certainly not. The caller would otherwise treat an unknown outcome as a failure.
        """
        if self._unknown_outcome is not None:
            return Refusal(ErrorKind.TIMEOUT, f"no leader answered: {self._unknown_outcome}")
        if self._last is not None:
            return Refusal(ErrorKind.UNREACHABLE, f"no leader was found: {self._last}")
        return Refusal(ErrorKind.UNREACHABLE, "the deadline passed before the first attempt")
