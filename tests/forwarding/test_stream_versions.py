"""Streams whose targets run different versions of their software."""

from result import Err

from cranberrywall.errors import Ran, answer_for
from cranberrywall.forwarding import Arrival
from cranberrywall.platform._arrivals import decode_arrival
from cranberrywall.runtime import make_clock
from tests.configuration.documents import KEY
from tests.forwarding.scripted import ForwardingHarness, event, streams


def attempt(request_id: str, last_event: int | None = None, resumes: str = "") -> Arrival:
    """Return a caller's attempt, as decoded from its headers."""
    headers = [
        (b"Host", b"a.example"),
        (b"X-Request-Id", request_id.encode()),
        (b"X-Deadline-Ms", b"2000"),
        (b"X-Token-Counts", b"100,50"),
        (b"Authorization", f"Bearer {KEY}".encode()),
    ]
    if last_event is not None:
        headers.append((b"Last-Event-Id", str(last_event).encode()))
    if resumes:
        headers.append((b"Resumes", resumes.encode()))
    return decode_arrival("POST", "/x/2f", headers, b"body", make_clock().now()).unwrap()


async def test_a_stream_goes_on_only_at_the_version_that_began_it() -> None:
    """Events of two versions were joined in one answer."""
    async with ForwardingHarness(kind="stream", is_resumable=True, attempts=3) as harness:
        await harness.target("a", streams(1, 2, drops=True), version="v1")
        await harness.target("b", streams(3, 4), version="v2")
        await harness.target("c", streams(3, 4), version="v1")
        reply, _ = await harness.serve(attempt("id-1"))
        assert reply.is_complete
        assert [name for name, _ in harness.received] == ["a", "c"]


async def test_a_stream_may_begin_at_another_version_if_no_event_was_sent() -> None:
    async with ForwardingHarness(kind="stream", is_resumable=True, attempts=3) as harness:
        await harness.target("a", streams(1, 0, drops=True), version="v1")
        await harness.target("b", streams(1, 2), version="v2")
        reply, _ = await harness.serve(attempt("id-1"))
        assert reply.is_complete
        assert reply.data == event(1) + event(2)


async def test_a_stream_is_cut_if_no_target_of_its_version_is_left() -> None:
    """It was completed by another version, so that the caller took it for whole."""
    async with ForwardingHarness(kind="stream", is_resumable=True, attempts=3) as harness:
        await harness.target("a", streams(1, 2, drops=True), version="v1")
        await harness.target("b", streams(3, 4), version="v2")
        reply, _ = await harness.serve(attempt("id-1"))
        assert reply.is_aborted
        assert reply.data == event(1) + event(2)
        assert [name for name, _ in harness.received] == ["a"]


async def test_a_stream_that_a_caller_takes_up_goes_on_at_the_version_that_began_it() -> None:
    """Callers named the attempt that brought the first event, and no host read that."""
    async with ForwardingHarness(kind="stream", is_resumable=True, attempts=1) as harness:
        await harness.target("a", streams(1, 2, drops=True), version="v2")
        await harness.serve(attempt("id-1"))
        harness.withdraw("a")
        await harness.target("b", streams(3, 3, drops=True), version="v1")
        await harness.target("c", streams(3, 3, drops=True), version="v2")
        await harness.serve(attempt("id-2", last_event=2, resumes="id-1"))
        harness.withdraw("c")
        await harness.target("d", streams(4, 4), version="v2")
        reply, _ = await harness.serve(attempt("id-3", last_event=3, resumes="id-1"))
        assert reply.is_complete
        assert [name for name, _ in harness.received] == ["a", "c", "d"]


async def test_a_stream_of_unknown_version_is_refused_as_not_run() -> None:
    """A host that did not know which version began a stream went on at any."""
    async with ForwardingHarness(kind="stream", is_resumable=True) as harness:
        await harness.target("a", streams(3, 4))
        _, result = await harness.serve(attempt("id-2", last_event=2, resumes="id-1"))
        assert isinstance(result, Err)
        answer = answer_for(result.err_value)
        assert (answer.status, answer.ran) == (503, Ran.NO)
        assert answer.retry_after is not None
        assert harness.received == []
