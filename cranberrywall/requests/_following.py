"""Follow runs that other hosts own, and serve the frames of runs that this host owns."""

from collections.abc import Callable

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Peer, Server
from cranberrywall.requests._run import Run, RunState
from cranberrywall.requests.messages import FOLLOW, FollowReply, FollowRequest, RunKey
from cranberrywall.runtime import Clock

FOLLOW_WAIT_S = 2.0
FOLLOW_TIMEOUT_S = 3.0
_MAX_FRAMES = 512


class FollowHandler:
    """Serve the frames of runs that this host owns to hosts that follow them."""

    def __init__(self, find: Callable[[RunKey], Run | None], clock: Clock) -> None:
        self._find = find
        self._clock = clock

    def register(self, server: Server) -> None:
        """Register the handler of ``requests.follow`` at ``server``."""
        server.register(FOLLOW, self._handle)

    async def _handle(self, request: FollowRequest, peer: Peer) -> Result[FollowReply, Refusal]:
        run = self._find(request.key)
        if run is None or run.is_followed:
            return Err(Refusal(ErrorKind.NOT_FOUND, "this host does not own the run"))
        # The follower has callers that wait for this run. Without this time, the run would
        # be cancelled once all callers at this host have disconnected.
        run.followed_until = self._clock.now() + FOLLOW_TIMEOUT_S
        await run.wait_for_frame_within(request.start, request.wait_s)
        frames = tuple(run.frames[request.start : run.released][:_MAX_FRAMES])
        is_last = request.start + len(frames) == run.released
        ended = is_last and run.state is not RunState.RUNNING
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
    """Copy the owner's run into ``run``; return false if the owner cannot be reached.

    Also return false if the owner no longer has the run. The owner makes the reservation
    and the charge; this host does neither.
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
            run.complete(clock.now())
        return True
