"""Check over HTTP that throttled targets receive no more requests than they announce."""

import asyncio
import json
from typing import Any

from tests.requests.fleet import Fleet, chat

WINDOW_S = 4.0
RATE = 1.0
MAX_IN_WINDOW = WINDOW_S * RATE + 3
DURATION_S = 6.0
RATE_RECEIVED_S = 0.5
SHORT_DEADLINE = {"X-Deadline-S": "2"}


def max_in_window(target: Any) -> int:
    """Return the maximum number of arrivals in 4 s, from half a second after the first one."""
    times = [
        at for at in target.switch.arrived_at if at > target.switch.arrived_at[0] + RATE_RECEIVED_S
    ]
    return max((sum(begin <= at < begin + WINDOW_S for at in times) for begin in times), default=0)


async def send_requests(send: Any, entries: list[Any]) -> list[tuple[int, Any, bytes]]:
    """Send twenty requests a second for ``DURATION_S``, to one host after the other."""
    tasks: list[asyncio.Task[tuple[int, Any, bytes]]] = []
    for turn in range(int(DURATION_S * 20)):
        tasks.append(asyncio.create_task(send(entries[turn % len(entries)])))
        await asyncio.sleep(0.05)
    return list(await asyncio.gather(*tasks))


def kinds(answers: list[tuple[int, Any, bytes]]) -> set[str]:
    return {json.loads(body)["error"]["code"] for status, _, body in answers if status == 503}


async def test_throttled_engines_get_what_they_name_and_the_rest_is_refused_truly() -> None:
    """The only engine of a model is throttled. Two hosts receive twenty prompts a second.

    The refusals state correctly that the prompt did not run, and nothing stays reserved.
    """
    async with Fleet() as fleet:
        engine = await fleet.engine("engine-1")
        engine.switch.change({"limit_per_s": RATE})
        entries = [await fleet.entry("entry-1"), await fleet.entry("entry-2")]
        answers = await send_requests(
            lambda entry: fleet.post(entry, chat("a word"), **SHORT_DEADLINE), entries
        )
        assert max_in_window(engine) <= MAX_IN_WINDOW
        assert kinds(answers) == {"rate_limited"}
        refused = [headers for status, headers, _ in answers if status == 503]
        assert all(headers["X-Ran"] == "no" for headers in refused)
        assert all(float(headers["Retry-After"]) > 0 for headers in refused)
        assert all(entry.allotments.held == 0 for entry in entries)
        assert len(fleet.ledger.billed_by_request) == sum(answer[0] == 200 for answer in answers)
        served = sum(status == 200 for status, _, _ in answers)
        assert served >= 0.9 * RATE * (DURATION_S - RATE_RECEIVED_S) - 1


async def test_throttled_services_get_what_they_name_for_calls_that_run_at_most_once() -> None:
    async with Fleet() as fleet:
        service = await fleet.service("api-1")
        service.switch.change({"limit_per_s": RATE})
        entries = [await fleet.entry("entry-1"), await fleet.entry("entry-2")]
        answers = await send_requests(
            lambda entry: fleet.call(entry, "/transfer", "POST", b"", **SHORT_DEADLINE), entries
        )
        assert max_in_window(service) <= MAX_IN_WINDOW
        assert kinds(answers) <= {"rate_limited"}
        ran = sum(counts["executions"] for counts in service.counts.by_request.values())
        assert ran == sum(status == 200 for status, _, _ in answers)


async def test_the_work_goes_to_engines_that_have_capacity() -> None:
    async with Fleet() as fleet:
        throttled = await fleet.engine("engine-1")
        await fleet.engine("engine-2")
        throttled.switch.change({"limit_per_s": RATE})
        entries = [await fleet.entry("entry-1"), await fleet.entry("entry-2")]
        answers = await send_requests(
            lambda entry: fleet.post(entry, chat("a word"), **SHORT_DEADLINE), entries
        )
        assert max_in_window(throttled) <= MAX_IN_WINDOW
        assert {status for status, _, _ in answers} == {200}


async def test_an_answer_that_breaks_off_is_not_asked_for_again_beyond_the_rate() -> None:
    """A throttled engine truncates each answer. A request for the rest counts as well.

    Without the check, the host would immediately resume each prompt there up to three times.
    """
    async with Fleet() as fleet:
        engine = await fleet.engine("engine-1")
        engine.switch.change({"limit_per_s": RATE, "cut": 1.0})
        entries = [await fleet.entry("entry-1")]
        await send_requests(
            lambda entry: fleet.post(entry, chat("a word"), **SHORT_DEADLINE), entries
        )
        assert max_in_window(engine) <= MAX_IN_WINDOW
