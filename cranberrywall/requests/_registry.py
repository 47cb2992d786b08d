"""Registry of the host that owns the run of each named request."""

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
    AttemptLocation,
    ClaimReply,
    ClaimRequest,
    NoteReply,
    NoteRequest,
    Owner,
    RunKey,
)
from cranberrywall.runtime import Clock

REGISTRY_HOSTS = 2
"""Two hosts register each run, so that no registration is lost if one of them fails."""

CLAIM_TIMEOUT_S = 0.5
REGISTRATION_TTL_S = 300.0
MAX_ENTRIES = 65_536
NO_ATTEMPT = AttemptLocation("", "")


class _Entry(NamedTuple):
    fingerprint: str
    owner: Owner
    latest_attempt: AttemptLocation
    changed_at: float


class RegistryTable:
    """Registrations that this host stores.

    A registration expires ``REGISTRATION_TTL_S`` seconds after its last change. If the
    table is full, the oldest registration is removed first.
    """

    def __init__(self) -> None:
        self._entry_by_key: OrderedDict[RunKey, _Entry] = OrderedDict()

    def claim(self, request: ClaimRequest, now: float) -> ClaimReply:
        """Return the owner of a run.

        The claimant becomes the owner if no host owns the run, or if ``request.replaces``
        does and the fingerprints are equal.
        """
        self._expire(now)
        entry = self._entry_by_key.get(request.key)
        if entry is None:
            entry = _Entry(request.fingerprint, request.claimant, NO_ATTEMPT, now)
            self._entry_by_key[request.key] = entry
        elif entry.owner == request.replaces and entry.fingerprint == request.fingerprint:
            entry = entry._replace(owner=request.claimant, changed_at=now)
            self._entry_by_key[request.key] = entry
        return ClaimReply(entry.owner, entry.latest_attempt, entry.fingerprint)

    def record_report(self, request: NoteRequest, now: float) -> None:
        """Record the report of an owner; ignore a host that no longer owns the run."""
        entry = self._entry_by_key.get(request.key)
        if entry is None or entry.owner != request.owner:
            return
        if request.failed:
            del self._entry_by_key[request.key]
            return
        self._entry_by_key[request.key] = entry._replace(
            latest_attempt=request.latest_attempt, changed_at=now
        )
        self._entry_by_key.move_to_end(request.key)

    def _expire(self, now: float) -> None:
        while self._entry_by_key:
            oldest = next(iter(self._entry_by_key.values()))
            if (
                len(self._entry_by_key) < MAX_ENTRIES
                and now - oldest.changed_at <= REGISTRATION_TTL_S
            ):
                return
            self._entry_by_key.popitem(last=False)


class Registry:
    """Claim runs for this host, and answer the claims of other hosts."""

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
        """Register the handlers of registry calls at ``server``."""
        server.register(CLAIM, self._handle_claim)
        server.register(NOTE, self._handle_note)

    async def claim(
        self, key: RunKey, fingerprint: str, replaces: Owner | None = None
    ) -> ClaimReply:
        """Return the owner of the run; this host, if no registry host can be reached.

        In that case the request may run a second time. This is safe because the request
        is repeatable, and the ledger bills the id only once.
        """
        replies = await self._claim_at_registry_hosts(key, fingerprint, replaces)
        granted = [reply.ok_value for reply in replies if isinstance(reply, Ok)]
        if not granted:
            return ClaimReply(self.own, NO_ATTEMPT, fingerprint)
        return self._select_reply(granted, first_claim=replaces is None)

    async def claim_unanimously(self, key: RunKey, fingerprint: str) -> bool:
        """Claim the run; return whether every registry host confirmed this host as its owner."""
        replies = await self._claim_at_registry_hosts(key, fingerprint, None)
        return all(isinstance(reply, Ok) and reply.ok_value.owner == self.own for reply in replies)

    async def _claim_at_registry_hosts(
        self, key: RunKey, fingerprint: str, replaces: Owner | None
    ) -> Sequence[Result[ClaimReply, Refusal]]:
        request = ClaimRequest(key, fingerprint, self.own, replaces)
        links = registry_links(self._membership, key)
        return await asyncio.gather(*(self._claim_at(address, request) for address in links))

    def _select_reply(self, granted: Sequence[ClaimReply], first_claim: bool) -> ClaimReply:
        # Only the first registry host decides. If both decided, two hosts that claim the run
        # at the same time could each be granted it by one of them.
        first, *others = granted
        if first.owner != self.own:
            return first
        for other in others:
            is_started = other.latest_attempt != NO_ATTEMPT
            if is_started and other.owner == self.own:
                return other
            if is_started and first_claim and first.latest_attempt == NO_ATTEMPT:
                # The first registry host may have joined or restarted after the run started.
                return other
        return first

    def report_attempt(self, key: RunKey, attempt: AttemptLocation, failed: bool = False) -> None:
        """Report this host's latest attempt to the registry hosts, in the background.

        ``failed`` removes the registration.
        """
        request = NoteRequest(key, self.own, attempt, failed)
        self._background.spawn(self._report_to_registry_hosts(request))

    async def _claim_at(self, links: str, request: ClaimRequest) -> Result[ClaimReply, Refusal]:
        if links == self.own.links:
            return Ok(self._table.claim(request, self._clock.now()))
        return await self._caller.call(links, CLAIM, request, CLAIM_TIMEOUT_S)

    async def _report_to_registry_hosts(self, request: NoteRequest) -> None:
        links = registry_links(self._membership, request.key)
        await asyncio.gather(*(self._report_to(address, request) for address in links))

    async def _report_to(self, links: str, request: NoteRequest) -> None:
        if links == self.own.links:
            self._table.record_report(request, self._clock.now())
            return
        reported = await self._caller.call(links, NOTE, request, CLAIM_TIMEOUT_S)
        if isinstance(reported, Err):
            # If the report is lost, a retry that reaches this registry host causes at most
            # a second run.
            return

    async def _handle_claim(self, request: ClaimRequest, peer: Peer) -> Result[ClaimReply, Refusal]:
        return Ok(self._table.claim(request, self._clock.now()))

    async def _handle_note(self, request: NoteRequest, peer: Peer) -> Result[NoteReply, Refusal]:
        self._table.record_report(request, self._clock.now())
        return Ok(NoteReply())


def registry_links(membership: Membership, key: RunKey) -> Sequence[str]:
    """Return the addresses of the registry hosts of a request, in order of preference."""
    text = f"{key.workspace}\n{key.request_id}\n"

    def weight(host: str) -> int:
        return xxhash.xxh64_intdigest(f"{text}{host}".encode())

    ranked = sorted(membership.alive(), key=lambda view: weight(view.host), reverse=True)
    return [view.links for view in ranked[:REGISTRY_HOSTS]]
