"""Chat completions from the perspective of a caller."""

import json

from standins import answer_words
from tests.requests.fleet import Fleet, chat, frames, text_of


async def test_a_stream_is_complete_and_billed_once() -> None:
    async with Fleet() as fleet:
        engine = await fleet.engine()
        entry = await fleet.entry()
        body = chat(stream=True)
        status, headers, data = await fleet.post(entry, body, request_id="r-1")
        assert (status, headers["X-Ran"], headers["X-Request-Id"]) == (200, "yes", "r-1")
        events = frames(data)
        assert events[-1] == b"[DONE]"
        assert {event["id"] for event in events[:-1]} == {"r-1"}
        assert text_of(events) == " ".join(answer_words(body["messages"]))
        count = engine.counts.by_request["r-1"]
        tokens = count["prompt_tokens"] + count["completion_tokens"]
        assert fleet.ledger.billed_by_request == {("desk", "r-1"): tokens}
        assert entry.allotments.held == 0


async def test_an_answer_that_is_not_streamed_is_one_object() -> None:
    async with Fleet() as fleet:
        await fleet.engine()
        entry = await fleet.entry()
        body = chat()
        status, headers, data = await fleet.post(entry, body)
        answer = json.loads(data)
        assert status == 200
        assert answer["choices"][0]["message"]["content"] == " ".join(
            answer_words(body["messages"])
        )
        assert answer["usage"]["total_tokens"] == sum(fleet.ledger.billed_by_request.values())
