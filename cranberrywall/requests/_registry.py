"""Register which host owns the run of each named request."""

import asyncio
from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

import xxhash
from result import Err, Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.hosts import Membership
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.requests._background import BackgroundTasks
from cranberrywall.requests.messages import (
    CLAIM,
    NOTE,
    Attempted,
    ClaimReply,
    ClaimRequest,
    NoteReply,
    NoteRequest,
    Owner,
    RunKey,
)
from cranberrywall.runtime import Clock

REGISTRY_HOSTS = 2
"""Two hosts know of each run, so that the death of one host loses no registration."""

CLAIM_TIMEOUT_S = 0.5
KEPT_S = 300.0
MOST_ENTRIES = 65_536
NOTHING_ATTEMPTED = Attempted("", "")


class _Entry(NamedTuple):
    fingerprint: str
    owner: Owner
    attempted: Attempted
    changed_at: float


class RegistryTable:
    """Keep this host's share of the registrations; the oldest are forgotten."""

    def __init__(self) -> None:
        self._entry_by_key: OrderedDict[RunKey, _Entry] = OrderedDict()

    def claim(self, request: ClaimRequest, now: float) -> ClaimReply:
        """Make the claimant the owner of a run that nobody else owns."""
        self._forget(now)
        entry = self._entry_by_key.get(request.key)
        if entry is None:
            entry = _Entry(request.fingerprint, request.claimant, NOTHING_ATTEMPTED, now)
            self._entry_by_key[request.key] = entry
        elif entry.owner == request.replaces and entry.fingerprint == request.fingerprint:
            entry = entry._replace(owner=request.claimant, changed_at=now)
            self._entry_by_key[request.key] = entry
        return ClaimReply(entry.owner, entry.attempted, entry.fingerprint)

    def note(self, request: NoteRequest, now: float) -> None:
        """Take in what the owner says; a host that was replaced is not heard."""
        entry = self._entry_by_key.get(request.key)
        if entry is None or entry.owner != request.owner:
            return
        if request.failed:
            del self._entry_by_key[request.key]
            return
        self._entry_by_key[request.key] = entry._replace(
            attempted=request.attempted, changed_at=now
        )
        self._entry_by_key.move_to_end(request.key)

    def _forget(self, now: float) -> None:
        while self._entry_by_key:
            oldest = next(iter(self._entry_by_key.values()))
            if len(self._entry_by_key) < MOST_ENTRIES and now - oldest.changed_at <= KEPT_S:
                return
            self._entry_by_key.popitem(last=False)


class Registry:
    """Claim runs for this host and answer the claims of others."""

    def __init__(
        self,
        own: Owner,
        membership: Membership,
        caller: Caller,
        clock: Clock,
        background: BackgroundTasks,
    ) -> None:
        self.own = own
        self._membership = membership
        self._caller = caller
        self._clock = clock
        self._background = background
        self._table = RegistryTable()

    def register(self, server: Server) -> None:
        """Answer the registry's calls at ``server``."""
        server.register(CLAIM, self._answer_claim)
        server.register(NOTE, self._answer_note)

    async def claim(
        self, key: RunKey, fingerprint: str, replaces: Owner | None = None
    ) -> ClaimReply:
        """Return who owns the run; this host where no registry host can be reached.

        Alone, it may run a request a second time. That is safe for a repeatable one, and
        the ledger bills the id once.
        """
        replies = await self._claim_everywhere(key, fingerprint, replaces)
        known = [reply.ok_value for reply in replies if isinstance(reply, Ok)]
        if not known:
            return ClaimReply(self.own, NOTHING_ATTEMPTED, fingerprint)
        return self._decide(known, first_claim=replaces is None)

    async def claim_first(self, key: RunKey, fingerprint: str) -> bool:
        """Return whether every registry host answered and knows of no other claimant."""
        replies = await self._claim_everywhere(key, fingerprint, None)
        return all(isinstance(reply, Ok) and reply.ok_value.owner == self.own for reply in replies)

    async def _claim_everywhere(
        self, key: RunKey, fingerprint: str, replaces: Owner | None
    ) -> Sequence[Result[ClaimReply, Refusal]]:
        request = ClaimRequest(key, fingerprint, self.own, replaces)
        links = registry_links(self._membership, key)
        return await asyncio.gather(*(self._claim_at(address, request) for address in links))

    def _decide(self, known: Sequence[ClaimReply], first_claim: bool) -> ClaimReply:
        # The first registry host decides alone: were both to decide, two hosts that
        # claim at once could each be granted the run by one of them.
        first, *others = known
        if first.owner != self.own:
            return first
        for other in others:
            begun = other.attempted != NOTHING_ATTEMPTED
            if begun and other.owner == self.own:
                return other
            if begun and first_claim and first.attempted == NOTHING_ATTEMPTED:
                # The first host may have joined or restarted after the run began.
                return other
        return first

    def note(self, key: RunKey, attempted: Attempted, failed: bool = False) -> None:
        """Tell the registry hosts, in the background, what this host does."""
        request = NoteRequest(key, self.own, attempted, failed)
        self._background.spawn(self._note_everywhere(request))

    async def _claim_at(self, links: str, request: ClaimRequest) -> Result[ClaimReply, Refusal]:
        if links == self.own.links:
            return Ok(self._table.claim(request, self._clock.now()))
        return await self._caller.call(links, CLAIM, request, CLAIM_TIMEOUT_S)

    async def _note_everywhere(self, request: NoteRequest) -> None:
        links = registry_links(self._membership, request.key)
        await asyncio.gather(*(self._note_at(address, request) for address in links))

    async def _note_at(self, links: str, request: NoteRequest) -> None:
        if links == self.own.links:
            self._table.note(request, self._clock.now())
            return
        noted = await self._caller.call(links, NOTE, request, CLAIM_TIMEOUT_S)
        if isinstance(noted, Err):
            # A lost note costs a retry that comes by this host a second run at most.
            return

    async def _answer_claim(self, request: ClaimRequest, peer: Peer) -> Result[ClaimReply, Refusal]:
        return Ok(self._table.claim(request, self._clock.now()))

    async def _answer_note(self, request: NoteRequest, peer: Peer) -> Result[NoteReply, Refusal]:
        self._table.note(request, self._clock.now())
        return Ok(NoteReply())


def registry_links(membership: Membership, key: RunKey) -> Sequence[str]:
    """Return the addresses of the registry hosts of a request, the first choice first."""
    text = f"{key.workspace}\n{key.request_id}\n"

    def weight(host: str) -> int:
        return xxhash.xxh64_intdigest(f"{text}{host}".encode())

    ranked = sorted(membership.alive(), key=lambda view: weight(view.host), reverse=True)
    return [view.links for view in ranked[:REGISTRY_HOSTS]]
