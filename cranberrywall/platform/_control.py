"""Answer the operator and the targets on a control host."""

from aiohttp import web
from result import Err

from cranberrywall.commands._control_program import ControlProgram
from cranberrywall.configuration import ConfigurationClient, EvacuationOrders
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.intake import ApplicationListener, Intake, read_whole_body
from cranberrywall.observability import log_event
from cranberrywall.platform._announcements import decode_heartbeat, decode_leave
from cranberrywall.platform._documents import decode_document
from cranberrywall.platform._refusals import refuse
from cranberrywall.runtime import Clock
from cranberrywall.targets import Announcement

PUBLISH_TIMEOUT_S = 3.0
"""A change has this long to be committed, in seconds; the operator then sends it again."""

MOST_BODY_BYTES = 8 * 1024 * 1024
SHUTDOWN_S = PUBLISH_TIMEOUT_S + 0.5
"""Orders in progress as a host stops have so long to be answered, in seconds."""

OPERATOR = "operator"
"""Author of orders: the platform does not name its operators."""

_NOT_PASSED_ON = Refusal(ErrorKind.NOT_CURRENT, "no entry host could be told", retry_after=0.5)


class ControlCalls:
    """Translate the calls of the operator and of targets."""

    def __init__(
        self, program: ControlProgram, region_by_place: dict[str, str], clock: Clock
    ) -> None:
        self._configuration = ConfigurationClient(program.connections.client, PUBLISH_TIMEOUT_S)
        self._evacuations = EvacuationOrders(
            program.connections.client, program.caller, PUBLISH_TIMEOUT_S
        )
        self._program = program
        self._relay = program.connections.relay
        self._region_by_place = region_by_place
        self._clock = clock

    def make_listener(self, address: str, intake: Intake) -> ApplicationListener:
        """Return what listens for the calls."""
        app = web.Application(client_max_size=MOST_BODY_BYTES)
        app.router.add_post("/v1/config/replace", self._replace)
        app.router.add_get("/v1/config/get", self._get)
        app.router.add_post("/v1/evacuate/{place}/start", self._start_evacuation)
        app.router.add_post("/v1/evacuate/{place}/end", self._end_evacuation)
        app.router.add_post("/v1/instances/{instance}/heartbeat", self._heartbeat)
        app.router.add_post("/v1/instances/{instance}/leave", self._leave)
        return intake.make_listener(app, address, SHUTDOWN_S)

    async def _replace(self, request: web.Request) -> web.Response:
        body = await read_whole_body(request, MOST_BODY_BYTES)
        decoded = decode_document(body, self._region_by_place)
        if isinstance(decoded, Err):
            log_event("INFO", "configuration_refused", refusal=decoded.err_value)
            return refuse(decoded.err_value)
        number, document = decoded.ok_value
        published = await self._configuration.publish(number, document, body, self._clock.wall())
        log_event(
            "INFO",
            "configuration_published",
            number=number,
            bytes=len(body),
            outcome=published.map(lambda held: f"held {held.number}").unwrap_or("unknown"),
            refusal=published.err() or "",
        )
        if isinstance(published, Err):
            return _unknown(published.err_value)
        return web.json_response({})

    async def _get(self, request: web.Request) -> web.Response:
        published = await self._configuration.published()
        if isinstance(published, Err):
            return _unknown(published.err_value)
        if not published.ok_value.number:
            return refuse(Refusal(ErrorKind.NOT_READY, "there is no configuration yet"))
        return web.Response(body=published.ok_value.source, content_type="application/json")

    async def _start_evacuation(self, request: web.Request) -> web.Response:
        return await self._order_evacuation(request.match_info["place"], is_active=True)

    async def _end_evacuation(self, request: web.Request) -> web.Response:
        return await self._order_evacuation(request.match_info["place"], is_active=False)

    async def _order_evacuation(self, place: str, is_active: bool) -> web.Response:
        if place not in self._region_by_place:
            known = ", ".join(sorted(self._region_by_place))
            refusal = Refusal(
                ErrorKind.BAD_REQUEST,
                f"there is no place {place!r}",
                "place",
                f"name one of {known}",
            )
            log_event("WARNING", "evacuation_refused", place=place, refusal=refusal)
            return refuse(refusal)
        based_on = self._program.configuration_revision
        ordered = await self._evacuations.order(
            place, is_active, based_on, OPERATOR, self._clock.wall()
        )
        log_event(
            "INFO",
            "evacuation_ordered",
            place=place,
            active=is_active,
            based_on=based_on,
            outcome=ordered.map(lambda answer: f"revision {answer.revision}").unwrap_or("unknown"),
            refusal=ordered.err() or "",
        )
        if isinstance(ordered, Err):
            return _unknown(ordered.err_value)
        return web.json_response({})

    async def _heartbeat(self, request: web.Request) -> web.Response:
        instance = request.match_info["instance"]
        decoded = decode_heartbeat(instance, await read_whole_body(request, MOST_BODY_BYTES))
        if isinstance(decoded, Err):
            return _names_no_target(instance, decoded.err_value)
        announcement, cold_left_s = decoded.ok_value
        refusal = self._relay.check(announcement)
        if refusal is not None:
            return _names_no_target(instance, refusal)
        if cold_left_s:
            self._relay.announce_cold(announcement, cold_left_s)
        return await self._announce(announcement)

    async def _leave(self, request: web.Request) -> web.Response:
        instance = request.match_info["instance"]
        decoded = decode_leave(
            instance, await read_whole_body(request, MOST_BODY_BYTES), self._relay.find(instance)
        )
        if isinstance(decoded, Err):
            return _names_no_target(instance, decoded.err_value)
        return await self._announce(decoded.ok_value)

    async def _announce(self, announcement: Announcement) -> web.Response:
        if await self._relay.announce(announcement):
            return web.json_response({})
        log_event("WARNING", "leaving_not_passed_on", target=announcement.target)
        return refuse(_NOT_PASSED_ON)


def _unknown(refusal: Refusal) -> web.Response:
    # Whatever kept the groups from answering, the caller may ask another control host; only a
    # 5xx says so.
    return refuse(Refusal(ErrorKind.NOT_CURRENT, str(refusal), retry_after=0.2))


def _names_no_target(instance: str, refusal: Refusal) -> web.Response:
    log_event("WARNING", "heartbeat_refused", target=instance, refusal=refusal)
    return refuse(refusal)
