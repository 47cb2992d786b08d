"""Check that retries of a named request at any host share one run of it."""

import asyncio
from typing import Any

import pytest

from cranberrywall.hosts import HostState
from cranberrywall.requests import RunLimits
from cranberrywall.requests._registry import RegistryTable
from cranberrywall.requests.messages import (
    AttemptLocation,
    ClaimRequest,
    NoteRequest,
    Owner,
    RunKey,
)
from standins import answer_words
from tests.requests.fleet import Entry, Fleet, chat, frames, headers, text_of
from tests.requests.scripted import ScriptedEngine, script

KEY = RunKey("desk", "r-1")
A, B, C = (Owner(name, 1, name) for name in "ABC")


def claim(claimant: Owner, replaces: Owner | None = None) -> ClaimRequest:
    return ClaimRequest(KEY, "f", claimant, replaces)


def test_of_two_hosts_that_miss_the_owner_one_takes_over() -> None:
    table = RegistryTable()
    assert table.claim(claim(A), 0.0).owner == A
    assert table.claim(claim(B), 0.0).owner == A
    table.record_report(NoteRequest(KEY, A, AttemptLocation("url", "r-1/1/x"), False), 0.0)
    assert table.claim(claim(B, replaces=A), 1.0) == (B, AttemptLocation("url", "r-1/1/x"), "f")
    assert table.claim(claim(C, replaces=A), 1.0).owner == B
    table.record_report(NoteRequest(KEY, A, AttemptLocation("late", "late"), True), 2.0)
    assert table.claim(claim(C), 2.0).owner == B
    assert table.claim(claim(C), 1000.0).owner == C


def executions(engine: Any, request_id: str) -> int:
    return int(engine.counts.by_request[request_id]["executions"])


async def start_stream(fleet: Fleet, entry: Entry, body: Any, request_id: str) -> Any:
    """Send a streamed request, and return the response once its first chunks are received."""
    answer = await fleet.session.post(
        f"{entry.url}/v1/chat/completions", json=body, headers=headers(request_id=request_id)
    )
    await answer.content.readany()
    return answer


async def test_a_retry_elsewhere_joins_the_run() -> None:
    """A client times out too early and retries at another host with the same key.

    Without the registry, the other host would run the request again.
    """
    async with Fleet() as fleet:
        engine = await fleet.engine(step_s=0.005)
        hosts = [await fleet.entry(f"entry-{number}") for number in (1, 2, 3)]
        body = chat(stream=True)
        first = await start_stream(fleet, hosts[0], body, "r-1")
        answers = await asyncio.gather(
            *(fleet.post(host, body, request_id="r-1") for host in hosts[1:])
        )
        for _, _, data in answers:
            assert frames(data)[-1] == b"[DONE]"
            assert text_of(frames(data)) == " ".join(answer_words(body["messages"]))
        await first.read()
        retried = await fleet.post(hosts[2], body, request_id="r-1")
        assert retried[2] == answers[1][2]
        assert executions(engine, "r-1") == 1
        assert len(fleet.ledger.billed_by_request) == 1
        assert fleet.ledger.duplicates == []


async def test_another_request_under_the_same_key_is_refused_everywhere() -> None:
    async with Fleet() as fleet:
        await fleet.engine()
        hosts = [await fleet.entry(f"entry-{number}") for number in (1, 2)]
        await fleet.post(hosts[0], chat("one"), request_id="r-1")
        for host in hosts:
            status, _, _ = await fleet.post(host, chat("two"), request_id="r-1")
            assert status == 409


@pytest.mark.parametrize("retries_before_suspicion", [True, False])
async def test_a_router_dies_in_mid_stream_and_the_retry_gets_the_complete_answer(
    retries_before_suspicion: bool,
) -> None:
    """A router is killed while it streams. The caller retries with the same key.

    Another router resumes the run at the engine, which still has it. The caller gets the
    complete answer, the engine runs the request once, and it is billed once.
    """
    async with Fleet() as fleet:
        engine = await fleet.engine(step_s=0.005)
        hosts = [await fleet.entry(f"entry-{number}") for number in (1, 2, 3)]
        body = chat(stream=True)
        await start_stream(fleet, hosts[0], body, "r-1")
        await hosts[0].kill()
        if not retries_before_suspicion:
            fleet.membership.mark("entry-1", HostState.DEAD)
        _, _, data = await fleet.post(hosts[1], body, request_id="r-1")
        assert frames(data)[-1] == b"[DONE]"
        assert text_of(frames(data)) == " ".join(answer_words(body["messages"]))
        assert executions(engine, "r-1") == 1
        assert list(fleet.ledger.billed_by_request) == [("desk", "r-1")]


async def test_a_follower_takes_over_where_its_owner_dies() -> None:
    """Two hosts serve one run, and its owner is killed.

    The other host resumes the run, and its caller gets the complete answer.
    """
    async with Fleet() as fleet:
        engine = await fleet.engine(step_s=0.01)
        hosts = [await fleet.entry(f"entry-{number}") for number in (1, 2, 3)]
        body = chat(stream=True)
        await start_stream(fleet, hosts[0], body, "r-1")
        follower = await start_stream(fleet, hosts[1], body, "r-1")
        await hosts[0].kill()
        rest = await follower.read()
        assert rest.endswith(b"data: [DONE]\n\n")
        assert executions(engine, "r-1") == 1


async def test_a_followed_run_is_not_cancelled_when_its_own_caller_leaves() -> None:
    """The first caller disconnects, while its retry at another host still follows the run.

    If the owner ignored its followers, it would cancel the run after ``linger_s``.
    """
    async with Fleet() as fleet:
        engine = ScriptedEngine(script((0, "a"), "wait", (1, "b"), "end"))
        await fleet.target(engine.app)
        limits = {"run_limits": RunLimits(linger_s=0.05)}
        hosts = [await fleet.entry(f"entry-{number}", **limits) for number in (1, 2)]
        body = chat(stream=True)
        first = await start_stream(fleet, hosts[0], body, "r-1")
        second = await start_stream(fleet, hosts[1], body, "r-1")
        first.close()
        await asyncio.sleep(0.15)
        engine.released.set()
        assert (await second.read()).endswith(b"data: [DONE]\n\n")
        assert len(engine.calls) == 1


async def test_a_retry_after_its_run_was_cancelled_is_complete_and_billed_once() -> None:
    """A caller disconnects and retries after its run was cancelled and charged.

    The request runs again at another host, and the caller gets the complete answer. The
    ledger has already billed the id, so it reports the second charge as a duplicate.
    """
    async with Fleet() as fleet:
        await fleet.engine(step_s=0.01)
        limits = {"run_limits": RunLimits(linger_s=0.02)}
        hosts = [await fleet.entry(f"entry-{number}", **limits) for number in (1, 2)]
        body = chat(stream=True)
        first = await start_stream(fleet, hosts[0], body, "r-1")
        first.close()
        while not fleet.ledger.billed_by_request:
            await asyncio.sleep(0.005)
        await hosts[0].stack.finish()
        _, _, data = await fleet.post(hosts[1], body, request_id="r-1")
        assert text_of(frames(data)) == " ".join(answer_words(body["messages"]))
        assert fleet.ledger.duplicates == [("desk", "r-1")]
        assert [host.allotments.held for host in hosts] == [0, 0]
