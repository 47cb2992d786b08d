"""Calls to replicated groups through other entry hosts while the control hosts are out of reach.

A host that is partitioned from all control hosts often reaches entry hosts that are not. Without
their help it can report nothing that it spends. It may spend only a part of what it holds, and if
it is lost, the ledger has to take more and more of that for spent.

A leader that all hosts reach again after a partition has many calls to answer. A call is therefore
not sent to several hosts to see which answers: hosts are asked first whether they reach a leader.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Literal, NamedTuple

from result import Err, Ok, Result

from cranberrywall.control._client import ControlClient
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Method, Peer, Server
from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Clock, Random

RELAYS_ASKED = 4
"""Number of entry hosts that are asked at a time whether they reach the control hosts.

In a partition most hosts that are asked do not."""

SEARCH_INTERVAL_S = 0.5
"""Minimum interval in seconds between two searches for a relay."""

OFFER_TIMEOUT_S = 0.25
"""Time limit of the question to one entry host, in seconds."""

MAX_ANSWER_AGE_S = 2.0
"""Age of the last answer of a leader up to which a host offers to relay, in seconds.

A host that has not called for longer may be partitioned without knowing it."""

DIRECT_INTERVAL_S = 0.5
"""Interval in seconds at which the leader is asked for an answer directly, once a host relays."""

MAX_RELAYED_CALLS = 32
"""Maximum number of calls that a host relays at a time; it has its own requests to serve."""

_OUT_OF_REACH = frozenset({ErrorKind.UNREACHABLE, ErrorKind.TIMEOUT})

_Kind = Literal["propose", "query", "support"]


class RelayRequest(NamedTuple):
    """Call to the leader of ``group``; ``payload`` is a command, a query or a feature's name.

    ``timeout_s`` is the time in which an answer is of use.
    """

    group: str
    kind: _Kind
    payload: bytes
    timeout_s: float


class RelayReply(NamedTuple):
    """Result of the call; one byte for ``support``, which is 1 if the feature is supported."""

    result: bytes


class OfferRequest(NamedTuple):
    """Question to an entry host whether it reaches the leaders and relays calls."""


class OfferReply(NamedTuple):
    """Whether the host relays calls now."""

    is_offered: bool


RELAY = Method("control.relay", RelayRequest, RelayReply, is_cancellable=True)
OFFER = Method("control.relay_offer", OfferRequest, OfferReply)

_Reply = Result[bytes, Refusal]


class RelayedClient(ControlClient):
    """Client of the replicated groups that asks other entry hosts if it reaches no leader.

    It also relays the calls of others, as long as it reaches the leaders itself. A call is relayed
    once at most.
    """

    def __init__(
        self,
        direct: ControlClient,
        caller: Caller,
        peers: Callable[[], Sequence[str]],
        clock: Clock,
        random: Random,
    ) -> None:
        """Create the client; ``peers`` returns the stream addresses of other entry hosts."""
        self._direct = direct
        self._caller = caller
        self._peers = peers
        self._clock = clock
        self._random = random
        self._is_direct = True
        self._answered_at = float("-inf")
        self._relay: str | None = None
        self._direct_at = float("-inf")
        self._searched_at = float("-inf")
        self._relayed_calls = 0
        self._tasks: set[asyncio.Task[object]] = set()

    def register(self, server: Server) -> None:
        """Relay the calls of other hosts that come to ``server``."""
        server.register(RELAY, self._answer)
        server.register(OFFER, self._offer)

    def export(self, metrics: Metrics) -> None:
        """Register the number of calls that this host relays now, and whether it needs a relay."""
        metrics.gauge_of(
            "control_calls_relayed",
            "Calls of other hosts to the control hosts that this host relays now.",
            lambda: self._relayed_calls,
        )
        metrics.gauge_of(
            "control_out_of_reach",
            "Whether this host's last call to the control hosts had no answer.",
            lambda: not self._is_direct,
        )

    async def propose(self, group: str, command: bytes, timeout: float) -> _Reply:
        return await self._call(RelayRequest(group, "propose", command, timeout))

    async def query(self, group: str, query: bytes, timeout: float) -> _Reply:
        return await self._call(RelayRequest(group, "query", query, timeout))

    async def supports(self, group: str, feature: str, timeout: float) -> Result[bool, Refusal]:
        reply = await self._call(RelayRequest(group, "support", feature.encode(), timeout))
        return reply.map(lambda result: result == b"\x01")

    async def _call(self, request: RelayRequest) -> _Reply:
        now = self._clock.now()
        if self._is_direct:
            return await self._call_directly(request)
        if self._relay is None:
            if now >= self._searched_at + SEARCH_INTERVAL_S:
                self._searched_at = now
                self._start(self._search())
            return await self._call_directly(request)
        if now >= self._direct_at + DIRECT_INTERVAL_S:
            self._direct_at = now
            # Any answer shows that the control hosts are in reach again. A copy of the call itself
            # would cost a leader as much as the call that is relayed.
            self._start(self._call_directly(request._replace(kind="support", payload=b"")))
        return await self._call_relay(self._relay, request)

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _search(self) -> None:
        """Ask some entry hosts whether they relay calls, and take one that does."""
        asked = self._choose_peers()
        offers = await asyncio.gather(*(self._ask(address) for address in asked))
        offered = [address for address, is_offered in zip(asked, offers, strict=True) if is_offered]
        if offered and self._relay is None and not self._is_direct:
            self._relay = offered[0]
            log_event("INFO", "control_called_by_relay", relay=self._relay)

    async def _ask(self, address: str) -> bool:
        reply = await self._caller.call(address, OFFER, OfferRequest(), OFFER_TIMEOUT_S)
        return isinstance(reply, Ok) and reply.ok_value.is_offered

    async def _call_directly(self, request: RelayRequest) -> _Reply:
        reply = await self._send(request)
        is_direct = not (isinstance(reply, Err) and reply.err_value.kind in _OUT_OF_REACH)
        if is_direct and not self._is_direct:
            log_event("INFO", "control_called_directly", relay=self._relay or "")
            self._relay = None
        self._is_direct = is_direct
        if is_direct:
            self._answered_at = self._clock.now()
        return reply

    async def _send(self, request: RelayRequest) -> _Reply:
        group, kind, payload, timeout_s = request
        if kind == "support":
            supported = await self._direct.supports(group, payload.decode(), timeout_s)
            return supported.map(lambda is_supported: b"\x01" if is_supported else b"\x00")
        if kind == "query":
            return await self._direct.query(group, payload, timeout_s)
        return await self._direct.propose(group, payload, timeout_s)

    def _choose_peers(self) -> list[str]:
        peers = list(self._peers())
        chosen: list[str] = []
        while peers and len(chosen) < RELAYS_ASKED:
            chosen.append(peers.pop(self._random.randrange(0, len(peers))))
        return chosen

    async def _call_relay(self, relay: str, request: RelayRequest) -> _Reply:
        reply = await self._caller.call(relay, RELAY, request, request.timeout_s)
        if isinstance(reply, Err):
            if self._relay == relay:
                self._relay = None
            return Err(_as_out_of_reach(reply.err_value))
        return Ok(reply.ok_value.result)

    async def _offer(self, request: OfferRequest, peer: Peer) -> Result[OfferReply, Refusal]:
        age_s = self._clock.now() - self._answered_at
        is_in_reach = self._is_direct and age_s <= MAX_ANSWER_AGE_S
        return Ok(OfferReply(is_in_reach and self._relayed_calls < MAX_RELAYED_CALLS))

    async def _answer(self, request: RelayRequest, peer: Peer) -> Result[RelayReply, Refusal]:
        if not self._is_direct:
            message = "this host does not reach the control hosts either"
            return Err(Refusal(ErrorKind.UNREACHABLE, message))
        if self._relayed_calls >= MAX_RELAYED_CALLS:
            return Err(Refusal(ErrorKind.OVERLOADED, "this host relays too many calls"))
        self._relayed_calls += 1
        try:
            reply = await self._call_directly(request)
        finally:
            self._relayed_calls -= 1
        return reply.map(RelayReply)


def _as_out_of_reach(refusal: Refusal) -> Refusal:
    """Return the refusal of a relay as one that the caller's own attempt could have had.

    A relay that is draining, overloaded or of an older build says nothing about the group. The
    call may have been carried out unless nothing was sent.
    """
    if refusal.kind in _OUT_OF_REACH:
        return refusal
    return Refusal(ErrorKind.TIMEOUT, f"the relay refused: {refusal}")
