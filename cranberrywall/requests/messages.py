"""Messages between entry hosts that let a request with a caller's id run only once.

Each named repeatable request has two registry hosts, chosen by rendezvous hashing. They
record which host owns the run of the request. Other hosts follow the run at its owner.
"""

from typing import NamedTuple

from cranberrywall.links import Method


class RunKey(NamedTuple):
    """Key of a request that is unique in the fleet."""

    workspace: str
    request_id: str


class Owner(NamedTuple):
    """Host that runs a request; ``links`` is the address of its streams."""

    host: str
    incarnation: int
    links: str


class AttemptLocation(NamedTuple):
    """Target URL and id of the latest attempt; both are empty before the first attempt."""

    url: str
    attempt_id: str


class ClaimRequest(NamedTuple):
    """Request for ownership of the run of a request.

    ``replaces`` is an owner that could not be reached. If it still owns the run, the
    claimant becomes the owner.
    """

    key: RunKey
    fingerprint: str
    claimant: Owner
    replaces: Owner | None


class ClaimReply(NamedTuple):
    """Owner of the run after a claim.

    If the claimant is the owner, ``latest_attempt`` is the attempt that an earlier owner
    started, if any.
    """

    owner: Owner
    latest_attempt: AttemptLocation
    fingerprint: str


class NoteRequest(NamedTuple):
    """Report of the owner's latest attempt; ``failed`` removes the registration."""

    key: RunKey
    owner: Owner
    latest_attempt: AttemptLocation
    failed: bool


class NoteReply(NamedTuple):
    """Acknowledgement of a ``NoteRequest``."""


class FollowRequest(NamedTuple):
    """Request for the frames of a run, starting with frame number ``start``.

    The owner waits up to ``wait_s`` seconds for a frame or for the end of the run before it
    replies.
    """

    key: RunKey
    start: int
    wait_s: float


class FollowReply(NamedTuple):
    """Frames of a run; ``ended`` is true if the run has ended and no frame follows.

    ``refusal_kind`` is an ``ErrorKind`` if the run failed, and empty otherwise.
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
