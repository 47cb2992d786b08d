"""Check that non-repeatable calls run at most once, and that refusals state this correctly."""

import asyncio
import json
from typing import Any

from aiohttp import web

from cranberrywall.entry.stack import RECORDING_TIMEOUT_S
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import HostState
from standins import Faults
from tests.requests.fleet import Fleet, document, headers

CONFIRM = "/renewals/17/confirm"
MAX_STOP_S = 3.0


def code(data: bytes) -> Any:
    return json.loads(data)["error"]["code"]


def executions(service: Any, request_id: str) -> int:
    count = service.counts.by_request.get(request_id)
    return count["executions"] if count else 0


class SlowService:
    """Service that answers a call only once ``may_answer`` is set."""

    def __init__(self) -> None:
        self.arrived = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.runs = 0
        self.app = web.Application()
        self.app.router.add_route("*", "/{path:.*}", self._run)

    async def _run(self, request: web.Request) -> web.Response:
        self.runs += 1
        self.arrived.set()
        await self.may_answer.wait()
        attempt = request.headers["X-Attempt-Id"]
        return web.Response(text="confirmed", headers={"X-Attempt-Id": attempt})


async def test_a_second_arrival_elsewhere_gets_the_stored_answer() -> None:
    async with Fleet() as fleet:
        service = await fleet.service()
        first, second = await fleet.entry("entry-1"), await fleet.entry("entry-2")
        _, _, answer = await fleet.call(first, CONFIRM, data=b"yes", request_id="c-1")
        await first.stack.finish()
        status, head, repeated = await fleet.call(second, CONFIRM, data=b"yes", request_id="c-1")
        assert (status, head["X-Ran"], repeated) == (200, "yes", answer)
        status, _, data = await fleet.call(second, CONFIRM, data=b"no", request_id="c-1")
        assert (status, code(data)) == (409, "conflict")
        assert executions(service, "c-1") == 1
        assert fleet.ledger.billed_by_request == {("desk", "c-1"): 1}


async def test_a_lost_reply_is_unknown_and_never_run_again() -> None:
    """A service confirms a renewal, and its reply is lost in transit.

    A second run would confirm it twice. The caller is informed, at this and at another
    host, that the outcome is unknown.
    """
    async with Fleet() as fleet:
        service = await fleet.service(faults=Faults(cut=1.0))
        first, second = await fleet.entry("entry-1"), await fleet.entry("entry-2")
        status, head, data = await fleet.call(first, CONFIRM, request_id="c-1")
        assert (status, head["X-Ran"], code(data)) == (502, "unknown", "outcome_unknown")
        await first.stack.finish()
        for entry in (first, second):
            _, head, data = await fleet.call(entry, CONFIRM, request_id="c-1")
            assert (head["X-Ran"], code(data)) == ("unknown", "outcome_unknown")
        assert executions(service, "c-1") == 1
        assert (first.allotments.held, second.allotments.held) == (0, 0)


async def test_a_repeatable_call_whose_reply_is_lost_is_tried_elsewhere() -> None:
    # In one of the two arrangements the router calls the faulty service first.
    lost = 0
    for faults in ((Faults(cut=1.0), Faults()), (Faults(), Faults(cut=1.0))):
        async with Fleet() as fleet:
            services = [
                await fleet.service("api-1", faults=faults[0]),
                await fleet.service("api-2", faults=faults[1]),
            ]
            faulty, healthy = services if faults[0].cut else reversed(services)
            entry = await fleet.entry()
            for number in range(6):
                status, _, _ = await fleet.call(entry, "/rates", "GET", request_id=f"g-{number}")
                assert status == 200
            assert sum(executions(healthy, f"g-{number}") for number in range(6)) == 6
            lost += sum(executions(faulty, f"g-{number}") for number in range(6))
    assert lost > 0


async def test_one_id_at_two_hosts_concurrently_runs_once() -> None:
    """A user submits a call twice, and the two requests go to two hosts.

    One host records the intent at the ledger. The other reports that the call is running.
    Later both hosts return the answer.
    """
    async with Fleet() as fleet:
        service = SlowService()
        await fleet.target(service.app, kind="service")
        first, second = await fleet.entry("entry-1"), await fleet.entry("entry-2")
        running = asyncio.create_task(fleet.call(first, CONFIRM, request_id="c-1"))
        await service.arrived.wait()
        status, head, data = await fleet.call(second, CONFIRM, request_id="c-1")
        assert (status, head["X-Ran"], code(data)) == (409, "yes", "running")
        service.may_answer.set()
        assert (await running)[2] == b"confirmed"
        await first.stack.finish()
        assert (await fleet.call(second, CONFIRM, request_id="c-1"))[2] == b"confirmed"
        assert service.runs == 1


async def test_a_host_that_dies_after_sending_leaves_the_outcome_unknown() -> None:
    """The host is killed while the service runs the call. The caller retries at another host.

    The call may be running as long as the first host is considered alive. Once the host is
    dead, the outcome is unknown.
    """
    async with Fleet() as fleet:
        service = SlowService()
        await fleet.target(service.app, kind="service")
        first, second = await fleet.entry("entry-1"), await fleet.entry("entry-2")
        lost = asyncio.create_task(fleet.call(first, CONFIRM, request_id="c-1"))
        await service.arrived.wait()
        await first.kill()
        await asyncio.gather(lost, return_exceptions=True)
        assert code((await fleet.call(second, CONFIRM, request_id="c-1"))[2]) == "running"
        fleet.membership.mark("entry-1", HostState.DEAD)
        assert code((await fleet.call(second, CONFIRM, request_id="c-1"))[2]) == "outcome_unknown"
        service.may_answer.set()
        assert service.runs == 1


async def test_without_a_majority_nothing_is_sent() -> None:
    """The host cannot reach the ledger. It sends nothing, and the refusal states this.

    The intent may still have been committed. The host withdraws it, so that a retry of the
    caller runs.
    """
    async with Fleet() as fleet:
        service = await fleet.service()
        entry = await fleet.entry()
        fleet.intents.reachable = False
        status, head, data = await fleet.call(entry, CONFIRM, request_id="c-1")
        assert (status, head["X-Ran"], code(data)) == (503, "no", "not_run")
        fleet.intents.reachable, fleet.intents.loses_reply = True, True
        assert code((await fleet.call(entry, CONFIRM, request_id="c-2"))[2]) == "not_run"
        assert service.counts.by_request == {}
        fleet.intents.loses_reply = False
        status = 0
        while status != 200:
            status, _, _ = await fleet.call(entry, CONFIRM, request_id="c-2")
        assert executions(service, "c-2") == 1


async def test_a_host_stops_without_delay_if_the_ledger_never_got_an_intent() -> None:
    """A host holds its address for 30 s after SIGTERM: it withdraws an intent that was lost."""
    async with Fleet() as fleet:
        service = await fleet.service()
        entry = await fleet.entry()
        fleet.intents.loses_intents = True
        assert code((await fleet.call(entry, CONFIRM, request_id="c-1"))[2]) == "not_run"
        fleet.intents.loses_intents = False
        async with asyncio.timeout(MAX_STOP_S):
            await entry.stack.finish()
        # A late copy of the lost command must not block the caller's retry.
        second = await fleet.entry("entry-2")
        assert (await fleet.call(second, CONFIRM, request_id="c-1"))[0] == 200
        assert executions(service, "c-1") == 1


async def test_a_host_stops_without_delay_if_another_attempt_has_run() -> None:
    """A host holds its address for 30 s after SIGTERM: its intent was lost, a retry's was not."""
    async with Fleet() as fleet:
        service = await fleet.service()
        entry, second = await fleet.entry("entry-1"), await fleet.entry("entry-2")
        entry.intents.loses_intents = True
        assert code((await fleet.call(entry, CONFIRM, request_id="c-1"))[2]) == "not_run"
        assert (await fleet.call(second, CONFIRM, request_id="c-1"))[0] == 200
        entry.intents.loses_intents = False
        async with asyncio.timeout(MAX_STOP_S):
            await entry.stack.finish()
        assert executions(service, "c-1") == 1


async def test_a_host_stops_in_time_while_the_ledger_is_out_of_reach() -> None:
    """A host holds its address for 90 s after SIGTERM: it tries to record outcomes in a cut."""
    async with Fleet() as fleet:
        await fleet.service()
        entry = await fleet.entry()
        fleet.intents.reachable = False
        assert code((await fleet.call(entry, CONFIRM, request_id="c-1"))[2]) == "not_run"
        async with asyncio.timeout(RECORDING_TIMEOUT_S + MAX_STOP_S):
            await entry.stack.finish()


async def test_a_call_at_two_hosts_at_once_is_served_if_the_ledger_is_back_soon() -> None:
    """Both callers get an unknown outcome for a call that neither host had sent.

    The ledger has no leader for a moment. Each host finds the other's claim, which it can't tell
    from one of a call that was sent.
    """
    async with Fleet() as fleet:
        service = await fleet.service()
        hosts = [await fleet.entry(f"entry-{number}") for number in (1, 2, 3)]
        fleet.intents.reachable = False
        calls = [asyncio.create_task(fleet.call(host, CONFIRM, request_id="c-1")) for host in hosts]
        await asyncio.sleep(0.7)
        fleet.intents.reachable = True
        codes = [code(data) for status, _, data in await asyncio.gather(*calls) if status != 200]
        assert set(codes) <= {"not_run", "running"}
        await asyncio.gather(*(host.stack.finish() for host in hosts))
        answer = await fleet.call(hosts[0], CONFIRM, request_id="c-1")
        assert answer[0] == 200
        assert executions(service, "c-1") == 1


async def test_without_a_majority_a_retry_of_a_sent_call_never_gets_not_run() -> None:
    """A reply is lost, the ledger becomes unreachable, and the caller retries at other hosts.

    The retry is not sent, but the first request was. After the answer "not run" the caller
    could send the confirmation a second time.
    """
    async with Fleet() as fleet:
        service = await fleet.service(faults=Faults(cut=1.0))
        hosts = [await fleet.entry(f"entry-{number}") for number in (1, 2, 3)]
        await fleet.call(hosts[0], CONFIRM, request_id="c-1")
        await hosts[0].stack.finish()
        fleet.intents.reachable = False
        for host in hosts:
            _, head, data = await fleet.call(host, CONFIRM, request_id="c-1")
            assert (head["X-Ran"], code(data)) == ("unknown", "outcome_unknown")
            assert code((await fleet.call(host, CONFIRM, request_id="c-2"))[2]) == "not_run"
        assert service.counts.by_request["c-1"]["executions"] == 1
        assert "c-2" not in service.counts.by_request


async def test_a_call_that_was_not_sent_may_be_sent_again() -> None:
    """The service has no target. The refusal states that nothing ran, and the retry runs."""
    async with Fleet() as fleet:
        entry = await fleet.entry()
        sent = headers(request_id="c-1") | {"X-Deadline-S": "0.1"}
        url = f"{entry.url}/v1/services/ledger-api{CONFIRM}"
        async with fleet.session.post(url, headers=sent) as answer:
            assert answer.headers["X-Ran"] == "no"
        await entry.stack.finish()
        service = await fleet.service()
        second = await fleet.entry("entry-2")
        assert (await fleet.call(second, CONFIRM, request_id="c-1"))[0] == 200
        assert executions(service, "c-1") == 1


async def test_a_caller_that_leaves_does_not_lose_the_answer() -> None:
    """The caller's deadline passes while the service runs the call. Its retry gets the answer."""
    async with Fleet() as fleet:
        service = SlowService()
        await fleet.target(service.app, kind="service")
        entry = await fleet.entry()
        sent = headers(request_id="c-1") | {"X-Deadline-S": "0.2"}
        url = f"{entry.url}/v1/services/ledger-api{CONFIRM}"
        async with fleet.session.post(url, headers=sent) as answer:
            assert (answer.status, answer.headers["X-Ran"]) == (409, "yes")
        service.may_answer.set()
        assert (await fleet.call(entry, CONFIRM, request_id="c-1"))[2] == b"confirmed"
        assert service.runs == 1


async def test_another_spelling_of_the_path_is_guarded_too() -> None:
    """The spelling of a path matches no declared prefix, but the service accepts it.

    Without normalization, the call would be treated as repeatable and could run twice.
    """
    async with Fleet() as fleet:
        service = await fleet.service(faults=Faults(cut=1.0))
        entry = await fleet.entry()
        assert document()["services"]["ledger-api"]["not_repeatable"] == ["POST /renewals"]
        for number, path in enumerate(("//renewals/1", "/%72enewals/1", "/Renewals/1")):
            _, _, data = await fleet.call(entry, path, request_id=f"p-{number}")
            assert code(data) == "outcome_unknown"
            assert executions(service, f"p-{number}") == 1
        status, _, data = await fleet.call(entry, "/rates/..%2frenewals/1", request_id="p-9")
        assert (status, json.loads(data)["error"]["field"]) == (400, "path")


async def test_a_settle_that_fails_never_reports_not_run() -> None:
    """The call ran, and its charge cannot be made durable."""
    async with Fleet() as fleet:
        await fleet.service()
        entry = await fleet.entry()
        entry.allotments.settle_refusal = Refusal(ErrorKind.BUDGET_UNREACHABLE)
        for path in (CONFIRM, "/rates"):
            _, head, _ = await fleet.call(entry, path, request_id=path)
            assert head["X-Ran"] in ("unknown", "yes")
