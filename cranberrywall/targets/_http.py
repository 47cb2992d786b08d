"""HTTP route by which targets announce themselves."""

import hmac
from collections.abc import Callable

import msgspec
from aiohttp import web

from cranberrywall.errors import ErrorKind, Refusal, answer_for
from cranberrywall.runtime import Clock
from cranberrywall.targets._targets import TTL_S, Change, Targets
from cranberrywall.targets.checks import read_announcement
from cranberrywall.targets.messages import Announcement, AnnounceReply

ANNOUNCE_PATH = "/v1/targets/announce"
MAX_BODY_BYTES = 512 * 1024

Publish = Callable[[Announcement], None]


def make_announce_routes(
    targets: Targets, target_key: str, clock: Clock, publish: Publish
) -> list[web.RouteDef]:
    """Return the routes that targets call; each accepted announcement is passed to ``publish``.

    ``target_key`` is the bearer key that all targets of the fleet share.
    """
    handler = _Announcements(targets, target_key, clock, publish)
    return [web.post(ANNOUNCE_PATH, handler.announce)]


class _Announcements:
    def __init__(self, targets: Targets, target_key: str, clock: Clock, publish: Publish) -> None:
        self._targets = targets
        self._authorization = f"Bearer {target_key}".encode()
        self._clock = clock
        self._publish = publish

    async def announce(self, request: web.Request) -> web.Response:
        given = request.headers.get("Authorization", "").encode("utf-8", "surrogateescape")
        if not hmac.compare_digest(given, self._authorization):
            return _refusal_response(_WRONG_KEY)
        if (request.content_length or 0) > MAX_BODY_BYTES:
            return _refusal_response(_TOO_LARGE)
        announcement = read_announcement(await request.read())
        if announcement.is_err():
            return _refusal_response(announcement.unwrap_err())
        return self._accept(announcement.unwrap())

    def _accept(self, announcement: Announcement) -> web.Response:
        change = self._targets.apply(announcement, self._clock.now())
        if change is Change.FULL:
            return _refusal_response(_FULL)
        # A stale message is answered as accepted: it is not the target's fault if the network
        # delivers its messages out of order.
        if change is not Change.STALE:
            self._publish(announcement)
        return _json(200, AnnounceReply(ttl_s=TTL_S))


_WRONG_KEY = Refusal(
    ErrorKind.UNAUTHENTICATED,
    "the target key is missing or wrong",
    "Authorization",
    "send 'Bearer ' and the fleet's target key",
)
_TOO_LARGE = Refusal(
    ErrorKind.TOO_LARGE,
    f"the body is over {MAX_BODY_BYTES} bytes",
    "body",
    "send fewer cache events in one announcement",
)
_FULL = Refusal(ErrorKind.OVERLOADED, "this host has the maximum number of targets")


def _refusal_response(refusal: Refusal) -> web.Response:
    answer = answer_for(refusal)
    error = {
        "code": refusal.kind,
        "message": refusal.message,
        "field": refusal.field,
        "remedy": refusal.remedy,
        "ran": answer.ran,
        "retry_safe": answer.retry_safe,
    }
    return _json(answer.status, {"error": error})


def _json(status: int, body: object) -> web.Response:
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )
