"""Hand revisions on: answer peers that fetch, and notify neighbours of a new revision.

A notice holds the revision's number only; whoever lacks it fetches the deltas, so each
host receives them once, from whichever neighbour spoke first.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

from result import Ok, Result

from cranberrywall.configuration._neighbours import (
    Peers,
    SpreadHost,
    choose_neighbours,
    rank_hosts,
)
from cranberrywall.configuration.messages import (
    FETCH,
    NOTICE,
    Delta,
    DocumentAt,
    Fetch,
    FetchReply,
    Notice,
    NoticeReply,
)
from cranberrywall.errors import Refusal
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.observability import log_event

NOTICE_TIMEOUT_S = 1.0
DELTAS_PER_FETCH = 256
CONTROL_FEEDS = 3
"""Entry hosts that each control host notifies of a new revision."""

ROUNDS_LIMIT = 16
"""Rounds of notices that a control host has in progress at most; the next one waits."""

CONTROL_TRIES = 12
"""Entry hosts that a control host calls at most to find those that answer."""


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


def make_control_feed(me: SpreadHost, source: Source, peers: Peers, caller: Caller) -> "Feed":
    """Return the spread's part on a control host; ``source`` is its group's machine."""
    return Feed(me, source, peers, caller, is_control=True, on_heard=lambda heard: None)


class Feed:
    """Answer ``NOTICE`` and ``FETCH`` for one source, and notify of what is new in it."""

    def __init__(
        self,
        me: SpreadHost,
        source: Source,
        peers: Peers,
        caller: Caller,
        is_control: bool,
        on_heard: Callable[[Heard], None],
    ) -> None:
        self._me = me
        self._source = source
        self._peers = peers
        self._caller = caller
        self._is_control = is_control
        self._on_heard = on_heard
        self._new = asyncio.Event()
        self._telling: set[str] = set()
        self._rounds = 0
        self._is_round_due = False
        self._revision_by_links: dict[str, int] = {}
        self.heard = 0
        source.watch(lambda revision: self._new.set())

    def register(self, server: Server) -> None:
        """Answer the spread's calls at ``server``."""
        server.register(NOTICE, self._answer_notice)
        server.register(FETCH, self._answer_fetch)

    async def run(self) -> None:
        """Notify of each new revision, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                await self._new.wait()
                self._new.clear()
                # Nobody is waited for here: a silent neighbour would keep the others from
                # the next revision until its call times out, and so at every hop.
                if not self._is_control:
                    for links in self._neighbours_behind():
                        tasks.create_task(self._tell(links))
                elif self._rounds < ROUNDS_LIMIT:
                    tasks.create_task(self._notify_some())
                else:
                    self._is_round_due = True

    def note(self, heard: Heard) -> None:
        """Remember what a peer has, so that it is told nothing it knows."""
        self.heard = max(self.heard, heard.revision)
        self._revision_by_links[heard.links] = heard.revision
        self._on_heard(heard)

    def neighbours(self) -> list[SpreadHost]:
        """Return this host's neighbours as of now."""
        chosen = choose_neighbours(self._me, self._peers.alive())
        links = {host.links for host in chosen}
        self._revision_by_links = {
            known: revision for known, revision in self._revision_by_links.items() if known in links
        }
        return chosen

    async def notify(self, links: str) -> bool:
        """Tell one peer which revision this host has, and learn which it has."""
        notice = Notice(self._source.revision, self._me.links)
        result = await self._caller.call(links, NOTICE, notice, NOTICE_TIMEOUT_S)
        if not isinstance(result, Ok):
            return False
        reply = result.ok_value
        self.heard = max(self.heard, reply.heard)
        self.note(Heard(reply.revision, links))
        return True

    def _neighbours_behind(self) -> list[str]:
        return [
            host.links
            for host in self.neighbours()
            if host.links not in self._telling and self._is_behind(host.links)
        ]

    def _is_behind(self, links: str) -> bool:
        return self._revision_by_links.get(links, 0) < self._source.revision

    async def _tell(self, links: str) -> None:
        """Notify one neighbour, and again while newer revisions come meanwhile."""
        self._telling.add(links)
        told = -1
        while told < self._source.revision and self._is_behind(links):
            told = self._source.revision
            await self.notify(links)
        self._telling.discard(links)

    async def _notify_some(self) -> None:
        # The document also names hosts that are down. Were a control host to stop at its
        # first few, an accepted revision could stay on the control hosts; so it goes on
        # to others until enough have answered.
        self._rounds += 1
        answered = 0
        asked = 0
        revision = self._source.revision
        ranked = rank_hosts(self._me, self._peers.alive())[:CONTROL_TRIES]
        for start in range(0, len(ranked), CONTROL_FEEDS):
            batch = ranked[start : start + CONTROL_FEEDS]
            answers = await asyncio.gather(*(self.notify(host.links) for host in batch))
            asked += len(batch)
            answered += sum(answers)
            if answered >= CONTROL_FEEDS:
                break
        log_event("INFO", "configuration_told", revision=revision, asked=asked, answered=answered)
        self._rounds -= 1
        if self._is_round_due:
            self._is_round_due = False
            self._new.set()

    async def _answer_notice(self, notice: Notice, peer: Peer) -> Result[NoticeReply, Refusal]:
        self.note(Heard(notice.revision, notice.links))
        return Ok(NoticeReply(self._source.revision, self._highest()))

    async def _answer_fetch(self, fetch: Fetch, peer: Peer) -> Result[FetchReply, Refusal]:
        revision, heard = self._source.revision, self._highest()
        deltas = None
        if not fetch.whole and revision - fetch.since <= DELTAS_PER_FETCH:
            deltas = self._source.deltas_after(fetch.since, DELTAS_PER_FETCH)
        if deltas is not None:
            return Ok(FetchReply(revision, heard, deltas, None))
        return Ok(FetchReply(revision, heard, (), self._source.document_at()))

    def _highest(self) -> int:
        return max(self.heard, self._source.revision)
