"""Meet targets that name the requests a second that they take, at the product's own interface."""

import asyncio
import json
from typing import Any

from tests.requests.fleet import Fleet, chat

WINDOW_S = 4.0
RATE = 1.0
MOST_IN_WINDOW = WINDOW_S * RATE + 3
LASTS_S = 6.0
HEARD_S = 0.5
SOON = {"X-Deadline-S": "2"}


def most_in_window(target: Any) -> int:
    """Return the most arrivals in 4 s, from half a second after the first one."""
    times = [at for at in target.switch.arrived_at if at > target.switch.arrived_at[0] + HEARD_S]
    return max((sum(begin <= at < begin + WINDOW_S for at in times) for begin in times), default=0)


async def ask_for_a_while(ask: Any, entries: list[Any]) -> list[tuple[int, Any, bytes]]:
    """Ask one host after the other, twenty times a second."""
    asked: list[asyncio.Task[tuple[int, Any, bytes]]] = []
    for turn in range(int(LASTS_S * 20)):
        asked.append(asyncio.create_task(ask(entries[turn % len(entries)])))
        await asyncio.sleep(0.05)
    return list(await asyncio.gather(*asked))


def kinds(answers: list[tuple[int, Any, bytes]]) -> set[str]:
    return {json.loads(body)["error"]["code"] for status, _, body in answers if status == 503}


async def test_engines_in_need_get_what_they_name_and_the_rest_is_refused_truly() -> None:
    """The only engine of a model is in need. Prompts come to two hosts, twenty a second."""
    async with Fleet() as fleet:
        engine = await fleet.engine("engine-1")
        engine.switch.change({"limit_per_s": RATE})
        entries = [await fleet.entry("entry-1"), await fleet.entry("entry-2")]
        answers = await ask_for_a_while(
            lambda entry: fleet.post(entry, chat("a word"), **SOON), entries
        )
        assert most_in_window(engine) <= MOST_IN_WINDOW
        assert kinds(answers) == {"rate_limited"}
        refused = [headers for status, headers, _ in answers if status == 503]
        assert all(headers["X-Ran"] == "no" for headers in refused)
        assert all(float(headers["Retry-After"]) > 0 for headers in refused)
        assert all(entry.allotments.held == 0 for entry in entries)
        assert len(fleet.ledger.billed_by_request) == sum(one[0] == 200 for one in answers)
        served = sum(status == 200 for status, _, _ in answers)
        assert served >= 0.9 * RATE * (LASTS_S - HEARD_S) - 1


async def test_services_in_need_get_what_they_name_for_calls_that_run_at_most_once() -> None:
    async with Fleet() as fleet:
        service = await fleet.service("api-1")
        service.switch.change({"limit_per_s": RATE})
        entries = [await fleet.entry("entry-1"), await fleet.entry("entry-2")]
        answers = await ask_for_a_while(
            lambda entry: fleet.call(entry, "/transfer", "POST", b"", **SOON), entries
        )
        assert most_in_window(service) <= MOST_IN_WINDOW
        assert kinds(answers) <= {"rate_limited"}
        ran = sum(one["executions"] for one in service.counts.by_request.values())
        assert ran == sum(status == 200 for status, _, _ in answers)


async def test_the_work_goes_to_engines_that_have_room() -> None:
    async with Fleet() as fleet:
        in_need = await fleet.engine("engine-1")
        await fleet.engine("engine-2")
        in_need.switch.change({"limit_per_s": RATE})
        entries = [await fleet.entry("entry-1"), await fleet.entry("entry-2")]
        answers = await ask_for_a_while(
            lambda entry: fleet.post(entry, chat("a word"), **SOON), entries
        )
        assert most_in_window(in_need) <= MOST_IN_WINDOW
        assert {status for status, _, _ in answers} == {200}


async def test_an_answer_that_breaks_off_is_not_asked_for_again_beyond_the_rate() -> None:
    """An engine in need cuts each answer. Asking it for the rest is a request to it as well.

    Each prompt would be resumed up to three times there, at once, by the host that had it.
    """
    async with Fleet() as fleet:
        engine = await fleet.engine("engine-1")
        engine.switch.change({"limit_per_s": RATE, "cut": 1.0})
        entries = [await fleet.entry("entry-1")]
        await ask_for_a_while(lambda entry: fleet.post(entry, chat("a word"), **SOON), entries)
        assert most_in_window(engine) <= MOST_IN_WINDOW
