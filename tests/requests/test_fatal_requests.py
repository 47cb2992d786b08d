"""Meet prompts and calls that end each target which begins them, at the product's own interface."""

import asyncio
import json

from tests.requests.fleet import Fleet, chat

ENGINES = 9
MOST_ENDED = 6


async def test_a_prompt_that_ends_engines_is_refused_on_all_hosts_and_others_are_served() -> None:
    """A prompt ends each engine in mid answer. Its caller sends it again under other ids.

    Cause of the loss of all engines: each request, and each host, counts its attempts alone.
    """
    async with Fleet() as fleet:
        engines = [await fleet.engine(f"engine-{n}", ends_on="fatal") for n in range(ENGINES)]
        entries = [await fleet.entry("entry-1"), await fleet.entry("entry-2")]
        answers = []
        for turn in range(8):
            entry = entries[turn % 2]
            answers.append(await fleet.post(entry, chat("a fatal word"), request_id=f"id-{turn}"))
            await asyncio.sleep(0.3)
        status, headers, body = answers[-1]
        assert (status, json.loads(body)["error"]["code"]) == (503, "quarantined")
        assert int(headers["Retry-After"]) > 60
        refused = [json.loads(body)["error"]["code"] == "quarantined" for _, _, body in answers]
        assert refused[-2:] == [True, True]
        ended = [one for one in engines if one.counts.by_request]
        assert 4 <= len(ended) <= MOST_ENDED
        status, _, _ = await fleet.post(entries[0], chat("a harmless word"))
        assert status == 200
