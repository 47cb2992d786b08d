"""Check that callers get complete answers of their own when targets fail in mid answer."""

import asyncio
import json
from typing import Any

from standins import Faults, answer_words
from tests.requests.fleet import FAST_LIMITS, Fleet, chat, frames, headers, text_of
from tests.requests.scripted import ScriptedEngine, chunk, script


def complete_text(body: dict[str, Any]) -> str:
    return " ".join(answer_words(body["messages"]))


async def test_a_truncated_stream_is_resumed_at_its_engine() -> None:
    """The connection to the engine closes after four chunks, and the engine continues.

    The router requests the rest of the attempt, so the caller gets one complete stream.
    """
    async with Fleet() as fleet:
        engine = await fleet.engine(faults=Faults(cut=1.0))
        entry = await fleet.entry()
        body = chat(stream=True)
        _, _, data = await fleet.post(entry, body, request_id="r-1")
        events = frames(data)
        assert events[-1] == b"[DONE]"
        assert text_of(events) == complete_text(body)
        assert [event["index"] for event in events[:-1]] == list(range(len(events) - 1))
        assert engine.counts.by_request["r-1"]["executions"] == 1


async def test_an_engine_that_dies_is_replaced_where_the_answer_agrees() -> None:
    """The engine crashes in mid answer, and another engine runs the request again.

    The second answer begins with the chunks that the caller already has. So the caller
    gets the rest of it, and the answer is billed once.
    """
    async with Fleet() as fleet:
        await fleet.engine("engine-1", faults=Faults(dies=1.0))
        entry = await fleet.entry()
        await fleet.engine("engine-2")
        entry_2 = await fleet.entry("entry-2")
        body = chat(stream=True)
        # The router may choose either engine: with entry-1, only the one that dies.
        status, _, data = await fleet.post(entry, body, request_id="r-0")
        assert (status, frames(data)[-1]["error"]["code"]) == (200, "answer_cut")
        _, _, data = await fleet.post(entry_2, body, request_id="r-1")
        assert text_of(frames(data)) == complete_text(body)
        assert list(fleet.ledger.billed_by_request) == [("desk", "r-1")]


async def test_another_answer_is_never_joined_to_a_started_one() -> None:
    """An engine crashes after two chunks, and the next engine returns a different answer.

    Without a comparison, the caller would get the beginning of one answer and the end of
    another. It must get an explicit error without an end mark, and must not be charged.
    """
    async with Fleet() as fleet:
        failing = ScriptedEngine(script((0, "Dear"), (1, " pensioner"), "cut"))
        other = ScriptedEngine(script((0, "Dear"), (1, " ratepayer"), (2, "."), "end"))
        await fleet.target(failing.app)
        entry = await fleet.entry()
        await fleet.target(other.app)
        entry_2 = await fleet.entry("entry-2")
        for host in (entry, entry_2):
            _, _, data = await fleet.post(host, chat(stream=True))
            events = frames(data)
            if failing.calls:
                assert events[-1]["error"]["code"] == "answer_cut"
                assert text_of(events[:-1]) == "Dear pensioner"
                failing.calls.clear()
                assert not fleet.ledger.billed_by_request


async def test_chunks_of_another_attempt_and_doubled_ones_are_dropped() -> None:
    """An engine mixes up its streams and repeats a chunk.

    Without the check, a caller would get text from another caller's answer.
    """
    foreign_chunk = chunk("r-9/1/0000000000000000", 1, " SECRET")
    async with Fleet() as fleet:
        engine = ScriptedEngine(script((0, "own"), foreign_chunk, (0, "own"), (1, " text"), "end"))
        await fleet.target(engine.app)
        entry = await fleet.entry()
        _, _, data = await fleet.post(entry, chat(stream=True), request_id="r-1")
        assert text_of(frames(data)) == "own text"
        dropped = entry.stack.context.metrics.dropped_replies
        assert dropped.labels("crossed")._value.get() == 1
        assert dropped.labels("doubled")._value.get() == 1


async def test_a_reply_with_another_attempts_head_is_not_delivered() -> None:
    """An engine answers with the reply to another caller's request.

    The router drops and counts the reply, and another engine answers.
    """
    # The router chooses which of two idle engines it calls first. In one of the two
    # arrangements it calls the faulty one first.
    crossed = 0.0
    for faults in ((Faults(crossed=1.0), Faults()), (Faults(), Faults(crossed=1.0))):
        async with Fleet() as fleet:
            await fleet.engine("engine-1", faults=faults[0])
            await fleet.engine("engine-2", faults=faults[1])
            entry = await fleet.entry()
            body = chat("Which bay is ours?")
            for number in range(6):
                status, _, data = await fleet.post(entry, body, request_id=f"r-{number}")
                assert status == 200
                assert complete_text(body).encode() in data
            crossed += entry.stack.context.metrics.dropped_replies.labels("crossed")._value.get()
    assert crossed > 0


async def test_a_missing_chunk_is_fetched_before_the_next_is_delivered() -> None:
    """A chunk is lost in transit. Without a resume, the caller would get an incomplete answer."""
    async with Fleet() as fleet:
        engine = ScriptedEngine(
            script((0, "a"), (2, "c"), "end"),
            on_resume=script((1, "b"), (2, "c"), "end"),
        )
        await fleet.target(engine.app)
        entry = await fleet.entry()
        _, _, data = await fleet.post(entry, chat(stream=True))
        assert text_of(frames(data)) == "abc"


async def test_an_end_without_the_end_mark_is_not_an_answer() -> None:
    """An engine closes the stream cleanly but too early, and cannot resume the attempt."""
    async with Fleet() as fleet:
        engine = ScriptedEngine(script((0, "half")))
        await fleet.target(engine.app)
        entry = await fleet.entry()
        _, _, data = await fleet.post(entry, chat(stream=True))
        assert b"[DONE]" not in data
        assert frames(data)[-1]["error"]["code"] == "answer_cut"
        status, head, data = await fleet.post(entry, chat())
        assert (status, head["X-Ran"]) == (502, "yes")
        assert b"half" not in data
        assert (entry.allotments.held, fleet.ledger.billed_by_request) == (0, {})


async def test_an_engine_that_accepts_and_sends_nothing_is_abandoned() -> None:
    """An engine accepts the call and never sends a chunk.

    Without the time limit, the caller would wait until its deadline.
    """
    async with Fleet() as fleet:
        unresponsive = ScriptedEngine(script("wait"))
        await fleet.target(unresponsive.app)
        entry = await fleet.entry(engine_limits=FAST_LIMITS._replace(first_chunk_timeout_s=0.05))
        status, head, _ = await fleet.post(entry, chat())
        assert (status, head["X-Ran"]) == (502, "yes")
        await entry.stack.finish()
        assert unresponsive.cancelled
        unresponsive.released.set()


async def test_nothing_listening_is_not_run() -> None:
    """The target's host is down. No byte was sent, and the refusal states this."""
    async with Fleet() as fleet:
        await fleet.engine()
        await fleet._standins[0].close()
        entry = await fleet.entry()
        status, head, data = await fleet.post(entry, chat())
        assert (status, head["X-Ran"]) == (503, "no")
        assert head["Retry-After"]


async def test_a_caller_that_leaves_frees_its_place_and_pays_for_what_was_made() -> None:
    """A caller closes its connection in mid answer.

    The router cancels the attempt at the engine, releases the slot for the next caller and
    charges the generated tokens.
    """
    async with Fleet() as fleet:
        engine = ScriptedEngine(script((0, "a"), (1, "b"), "wait"))
        await fleet.target(engine.app)
        entry = await fleet.entry()
        url = f"{entry.url}/v1/chat/completions"
        answer = await fleet.session.post(url, json=chat(stream=True), headers=headers())
        await answer.content.readany()
        answer.close()
        while entry.stack.running:
            await asyncio.sleep(0.005)
        await entry.stack.finish()
        assert len(engine.cancelled) == 1
        assert entry.allotments.held == 0
        (charged,) = fleet.ledger.billed_by_request.values()
        assert 2 <= charged < 40
        engine.released.set()


async def test_a_deadline_ends_the_answer_by_an_explicit_error() -> None:
    """The caller waits for two tenths of a second, and the engine stalls in mid answer."""
    async with Fleet() as fleet:
        engine = ScriptedEngine(script((0, "a"), "wait"))
        await fleet.target(engine.app)
        entry = await fleet.entry()
        sent = headers() | {"X-Deadline-S": "0.2"}
        url = f"{entry.url}/v1/chat/completions"
        async with fleet.session.post(url, json=chat(stream=True), headers=sent) as answer:
            events = frames(await answer.read())
        assert events[-1]["error"]["code"] == "answer_cut"
        await entry.stack.finish()
        assert (len(engine.cancelled), entry.allotments.held) == (1, 0)
        engine.released.set()


async def test_a_deadline_in_the_queue_reports_that_nothing_ran() -> None:
    """The engine's only slot is occupied until the caller's deadline has passed."""
    async with Fleet() as fleet:
        engine = ScriptedEngine(script((0, "a"), "wait"))
        await fleet.target(engine.app, capacity=1)
        entry = await fleet.entry()
        first = asyncio.create_task(fleet.post(entry, chat(stream=True)))
        while not engine.calls:
            await asyncio.sleep(0.005)
        sent = headers() | {"X-Deadline-S": "0.1"}
        url = f"{entry.url}/v1/chat/completions"
        async with fleet.session.post(url, json=chat(), headers=sent) as answer:
            assert answer.headers["X-Ran"] == "no"
            assert "Retry-After" in answer.headers
        first.cancel()
        engine.released.set()


async def test_an_event_without_an_end_does_not_fill_the_memory() -> None:
    """An engine sends one line that never ends. The limit on events protects the memory."""
    async with Fleet() as fleet:
        endless = b"data: " + b"x" * (2 * 1024 * 1024)
        await fleet.target(ScriptedEngine(script(endless, "wait")).app)
        entry = await fleet.entry()
        status, head, _ = await fleet.post(entry, chat())
        assert (status, head["X-Ran"]) == (502, "yes")


async def test_calls_of_tools_are_joined_in_an_answer_that_is_not_streamed() -> None:
    def call(text: str, **more: Any) -> dict[str, Any]:
        return {"tool_calls": [{"index": 0, "function": {"arguments": text}, **more}]}

    async with Fleet() as fleet:
        steps = [(0, call('{"bay"', id="c-1")), (1, call(": 7}"))]
        engine = ScriptedEngine(script(*steps, "end"))
        await fleet.target(engine.app)
        entry = await fleet.entry()
        _, _, data = await fleet.post(entry, chat())
        [tool_call] = json.loads(data)["choices"][0]["message"]["tool_calls"]
        assert tool_call == {"id": "c-1", "function": {"arguments": '{"bay": 7}'}}
