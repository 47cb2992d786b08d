"""Define the calls between entry hosts that keep a named request to one run.

Each named repeatable request has two registry hosts, chosen by rendezvous hash, that know
which host owns its run. The owner lets other hosts follow the run.
"""

from typing import NamedTuple

from cranberrywall.links import Method


class RunKey(NamedTuple):
    """Name a request within the fleet."""

    workspace: str
    request_id: str


class Owner(NamedTuple):
    """Name the host that runs a request; ``links`` is the address of its streams."""

    host: str
    incarnation: int
    links: str


class Attempted(NamedTuple):
    """Say where the newest attempt runs; both are empty before the first one."""

    url: str
    attempt_id: str


class ClaimRequest(NamedTuple):
    """Ask to own the run of a request.

    ``replaces`` is an owner that could not be reached: where it still owns the run, the
    claimant takes it over.
    """

    key: RunKey
    fingerprint: str
    claimant: Owner
    replaces: Owner | None


class ClaimReply(NamedTuple):
    """Name the owner; where it is the claimant, ``attempted`` is what an earlier one began."""

    owner: Owner
    attempted: Attempted
    fingerprint: str


class NoteRequest(NamedTuple):
    """Tell a registry host what the owner does; ``failed`` ends the registration."""

    key: RunKey
    owner: Owner
    attempted: Attempted
    failed: bool


class NoteReply(NamedTuple):
    """Acknowledge a note."""


class FollowRequest(NamedTuple):
    """Ask the owner for the frames of a run from number ``start`` on.

    The answer waits up to ``wait_s`` seconds for a frame or the end.
    """

    key: RunKey
    start: int
    wait_s: float


class FollowReply(NamedTuple):
    """Carry frames; after the last one ``ended`` is true.

    ``refusal_kind`` is an ``ErrorKind`` where the run failed, and empty otherwise.
    """

    frames: tuple[bytes, ...]
    ended: bool
    prompt_tokens: int
    completion_tokens: int
    refusal_kind: str
    refusal_message: str


CLAIM = Method("requests.claim", ClaimRequest, ClaimReply)
NOTE = Method("requests.note", NoteRequest, NoteReply)
FOLLOW = Method("requests.follow", FollowRequest, FollowReply)
