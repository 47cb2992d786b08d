"""Follow a run that another host owns, and let other hosts follow runs here."""

from collections.abc import Callable

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.requests._run import Run, RunState
from cranberrywall.requests.messages import FOLLOW, FollowReply, FollowRequest, RunKey
from cranberrywall.runtime import Clock

FOLLOW_WAIT_S = 2.0
FOLLOW_TIMEOUT_S = 3.0
_MOST_FRAMES = 512


class FollowHandler:
    """Answer hosts that follow runs which this host owns."""

    def __init__(self, find: Callable[[RunKey], Run | None], clock: Clock) -> None:
        self._find = find
        self._clock = clock

    def register(self, server: Server) -> None:
        """Answer the call at ``server``."""
        server.register(FOLLOW, self._answer)

    async def _answer(self, request: FollowRequest, peer: Peer) -> Result[FollowReply, Refusal]:
        run = self._find(request.key)
        if run is None or run.is_followed:
            return Err(Refusal(ErrorKind.NOT_FOUND, "this host does not own the run"))
        # The follower's callers are this run's as well: without this, the run would be
        # cancelled once its callers here had left.
        run.followed_until = self._clock.now() + FOLLOW_TIMEOUT_S
        await run.wait_beyond_for(request.start, request.wait_s)
        frames = tuple(run.frames[request.start : run.released][:_MOST_FRAMES])
        whole = request.start + len(frames) == run.released
        ended = whole and run.state is not RunState.RUNNING
        usage = run.usage or {"prompt_tokens": 0, "completion_tokens": 0}
        refusal = run.refusal if ended else None
        return Ok(
            FollowReply(
                frames,
                ended,
                usage["prompt_tokens"],
                usage["completion_tokens"],
                str(refusal.kind) if refusal else "",
                refusal.message if refusal else "",
            )
        )


async def follow(run: Run, key: RunKey, links: str, caller: Caller, clock: Clock) -> bool:
    """Copy the owner's run into ``run``; return false where the owner is lost.

    The owner has reserved and charges; this host does neither.
    """
    while True:
        request = FollowRequest(key, len(run.frames), FOLLOW_WAIT_S)
        replied = await caller.call(links, FOLLOW, request, FOLLOW_TIMEOUT_S)
        if isinstance(replied, Err):
            return False
        reply = replied.ok_value
        for frame in reply.frames:
            run.append(frame, None)
        if not reply.ended:
            continue
        if reply.refusal_kind:
            refusal = Refusal(ErrorKind(reply.refusal_kind), reply.refusal_message)
            run.fail(refusal, clock.now())
        else:
            run.usage = {
                "prompt_tokens": reply.prompt_tokens,
                "completion_tokens": reply.completion_tokens,
            }
            run.answer(clock.now())
        return True
