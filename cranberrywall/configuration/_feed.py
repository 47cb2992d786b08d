"""Hand revisions on: answer peers that fetch, and notify neighbours of a new revision.

A notice holds the revision's number only; whoever lacks it fetches the deltas, so each
host receives them once, from whichever neighbour spoke first.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from cranberrywall.configuration._neighbours import Peers, SpreadHost
from cranberrywall.configuration._packing import Packs
from cranberrywall.configuration.messages import (
    FETCH,
    NOTICE,
    Delta,
    DocumentAt,
    Fetch,
    FetchReply,
    Notice,
    NoticeReply,
    Pack,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.observability import EventLimiter, Metrics
from cranberrywall.runtime import Clock

NOTICE_TIMEOUT_S = 0.5
DELTAS_PER_FETCH = 256

TELL_AGAIN_S = 0.25
"""A control host tells a host that doesn't answer again after this, in seconds."""

TELL_FOR_S = 30.0
"""A control host tries to tell a host for so long, in seconds.

One that is in touch again later asks by itself."""

CATCH_UP_S = 30.0
"""Time without a leader after which a control host announces its revision, in seconds."""

WHOLE = -1
"""Stands for the revision that a whole document leads from: none."""

LATE_S = 1.0
"""A host that could be told only after this is logged, in seconds."""


_NOT_CURRENT = Refusal(
    ErrorKind.NOT_CURRENT, "this host may lack the newest revision", remedy="ask another host"
)


class Source(Protocol):
    """Hold revisions to hand on; a host's holder and the group's machine both do."""

    @property
    def revision(self) -> int:
        """Return the newest revision held."""
        ...

    def document_at(self) -> DocumentAt | None:
        """Return the newest document."""
        ...

    def deltas_after(self, since: int, limit: int) -> tuple[Delta, ...] | None:
        """Return deltas after ``since``, or ``None`` where they are not kept."""
        ...

    def watch(self, on_revision: Callable[[int], None]) -> None:
        """Call ``on_revision`` with each new revision."""
        ...


class Heard(NamedTuple):
    """Say who has which revision."""

    revision: int
    links: str


def make_control_feed(
    me: SpreadHost,
    source: Source,
    peers: Peers,
    caller: Caller,
    clock: Clock,
    notifies: Callable[[str], bool] = lambda links: True,
    has_caught_up: Callable[[], bool] = lambda: True,
) -> "Feed":
    """Return the spread's part on a control host; ``source`` is its group's machine.

    It notifies those of ``peers`` for whose address ``notifies`` is true. After a start it waits
    until the group's copy ``has_caught_up``, for ``CATCH_UP_S`` at most.
    """
    started_at = clock.now()

    def is_current() -> bool:
        return has_caught_up() or clock.now() - started_at >= CATCH_UP_S

    def fall_to_me() -> list[str]:
        return [host.links for host in peers.alive() if notifies(host.links)]

    return Feed(me, source, caller, clock, fall_to_me, TELL_FOR_S, is_current=is_current)


class Feed:
    """Answer ``NOTICE`` and ``FETCH`` for one source, and notify of what is new in it."""

    def __init__(
        self,
        me: SpreadHost,
        source: Source,
        caller: Caller,
        clock: Clock,
        whom: Callable[[], Sequence[str]],
        tell_for_s: float,
        on_heard: Callable[[Heard], None] = lambda heard: None,
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        """``whom`` returns the addresses to notify, each for ``tell_for_s`` until it answers.

        While ``is_current`` is false, no host is notified and calls are refused.
        """
        self._me = me
        self._source = source
        self._caller = caller
        self._clock = clock
        self._whom = whom
        self._tell_for_s = tell_for_s
        self._on_heard = on_heard
        self._is_current = is_current
        self._new = asyncio.Event()
        self._telling: set[str] = set()
        self._packs = Packs()
        self._late = EventLimiter(clock.now)
        self._revision_by_links: dict[str, int] = {}
        self._observe_told: Callable[[float], None] = lambda seconds: None
        self.heard = 0
        source.watch(lambda revision: self._new.set())

    def export(self, metrics: Metrics) -> None:
        """Let ``metrics`` show how soon hosts are told, and how many are not yet."""
        told = metrics.histogram(
            "configuration_told_seconds", "Time until a host was told of a revision."
        )
        self._observe_told = told.labels().observe
        metrics.gauge_of(
            "configuration_untold_hosts",
            "Entry hosts that are being told of a revision.",
            lambda: len(self._telling),
        )

    @property
    def unnotified(self) -> Sequence[str]:
        """Return the addresses of the hosts that are being told now."""
        return sorted(self._telling)

    def register(self, server: Server) -> None:
        """Answer the spread's calls at ``server``."""
        server.register(NOTICE, self._answer_notice)
        server.register(FETCH, self._answer_fetch)

    async def run(self) -> None:
        """Notify of each new revision, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                await self._new.wait()
                while not self._is_current():
                    await self._clock.sleep(TELL_AGAIN_S)
                self._new.clear()
                # Nobody is waited for here: a silent host would keep the others from the
                # next revision until its call times out, and so at every hop.
                for links in self._to_tell():
                    tasks.create_task(self._tell(links))

    def note(self, heard: Heard) -> None:
        """Remember what a peer has, so that it is told nothing it knows."""
        self.heard = max(self.heard, heard.revision)
        self._revision_by_links[heard.links] = heard.revision
        self._on_heard(heard)

    async def notify(self, links: str, timeout: float = NOTICE_TIMEOUT_S) -> bool:
        """Tell one peer which revision this host has, and learn which it has.

        ``timeout`` is in seconds.
        """
        notice = Notice(self._source.revision, self._me.links)
        result = await self._caller.call(links, NOTICE, notice, timeout)
        if not isinstance(result, Ok):
            return False
        reply = result.ok_value
        self.heard = max(self.heard, reply.heard)
        self.note(Heard(reply.revision, links))
        return True

    def _to_tell(self) -> list[str]:
        listed = self._whom()
        self._revision_by_links = {
            links: self._revision_by_links.get(links, 0) for links in dict.fromkeys(listed)
        }
        return [links for links in listed if links not in self._telling and self._is_behind(links)]

    def _is_behind(self, links: str) -> bool:
        return self._revision_by_links.get(links, 0) < self._source.revision

    async def _tell(self, links: str) -> None:
        """Notify one host, and again while newer revisions come or it doesn't answer."""
        self._telling.add(links)
        began_at = self._clock.now()
        told = -1
        while told < self._source.revision and self._is_behind(links):
            revision = self._source.revision
            if await self.notify(links):
                told = revision
            elif self._clock.now() - began_at >= self._tell_for_s:
                break
            else:
                await self._clock.sleep(TELL_AGAIN_S)
        self._telling.discard(links)
        seconds = self._clock.now() - began_at
        self._observe_told(seconds)
        if seconds > LATE_S:
            is_told = told >= 0 or not self._is_behind(links)
            self._late.log(
                "WARNING",
                "configuration_told_late",
                "told" if is_told else "gave_up",
                peer=links,
                revision=self._source.revision,
                seconds=seconds,
            )

    async def _answer_notice(self, notice: Notice, peer: Peer) -> Result[NoticeReply, Refusal]:
        self.note(Heard(notice.revision, notice.links))
        if not self._is_current():
            return Err(_NOT_CURRENT)
        return Ok(NoticeReply(self._source.revision, self._highest()))

    async def _answer_fetch(self, fetch: Fetch, peer: Peer) -> Result[FetchReply, Refusal]:
        if not self._is_current():
            return Err(_NOT_CURRENT)
        revision = self._source.revision
        if not fetch.whole and fetch.since >= revision:
            return Ok(FetchReply(revision, self._highest(), b""))
        deltas = None
        if not fetch.whole and revision - fetch.since <= DELTAS_PER_FETCH:
            deltas = self._source.deltas_after(fetch.since, DELTAS_PER_FETCH)
        if deltas is not None:
            content = Pack(deltas, None)
            packed = self._packs.get(fetch.since, revision, lambda: content)
        else:
            packed = self._packs.get(WHOLE, revision, lambda: Pack((), self._source.document_at()))
        return Ok(FetchReply(revision, self._highest(), packed))

    def _highest(self) -> int:
        return max(self.heard, self._source.revision)
