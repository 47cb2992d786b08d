"""Decode callers' requests, and what targets and callers are told."""

import pytest

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.forwarding import Arrival, Attempt, PromptPart
from cranberrywall.platform._announcements import decode_heartbeat, decode_leave
from cranberrywall.platform._arrivals import decode_arrival
from cranberrywall.platform._dialect import TargetDialect
from cranberrywall.platform._refusals import encode_refusal

HEADERS = [
    (b"Host", b"a.example"),
    (b"X-Request-Id", b"9c41"),
    (b"X-Deadline-Ms", b"600"),
    (b"Authorization", b"Bearer key-1"),
    (b"X-Token-Counts", b"1460,80"),
    (b"X-Prompt-Prefix", b"5c1e:800, 91bd:410"),
    (b"X-Tenant", b"another"),
    (b"X-Hold", b"h-1"),
    (b"Kv-From", b"1.2.3.4:5/x"),
    (b"Connection", b"keep-alive, X-Private"),
    (b"X-Private", b"for this connection"),
    (b"X-Model", b"m"),
    (b"Last-Event-Id", b"12"),
]


def arrival(headers: list[tuple[bytes, bytes]] | None = None) -> Arrival:
    read = decode_arrival("POST", "/a/b%2Fc?d=%20", headers or HEADERS, b"body", 5.0)
    return read.unwrap()


def test_a_request_is_decoded_once() -> None:
    made = arrival()
    assert (made.host, made.path, made.key) == ("a.example", "/a/b%2Fc?d=%20", "key-1")
    assert (made.max_wait_s, made.last_event) == (0.6, 12)
    assert made.generation is not None
    assert made.generation.bound == 1540
    assert made.generation.parts == (PromptPart("5c1e", 800), PromptPart("91bd", 410))


def test_the_attempt_that_began_a_stream_is_read() -> None:
    """No host could know which version of a target began a stream that is taken up."""
    assert arrival([*HEADERS, (b"Resumes", b" 77ab ")]).resumes == "77ab"
    assert arrival().resumes == ""


def test_a_too_long_attempt_id_is_refused_with_a_remedy() -> None:
    headers = [*HEADERS, (b"Resumes", b"x" * 257)]
    refusal = decode_arrival("POST", "/", headers, b"", 5.0).unwrap_err()
    assert (refusal.kind, refusal.field) == (ErrorKind.BAD_REQUEST, "Resumes")
    assert refusal.remedy


def test_keys_and_what_the_system_sets_do_not_go_on() -> None:
    """A caller that names a tenant, or a reservation of another's, must not be believed."""
    names = {name for name, _ in arrival().headers}
    assert names == {"Host", "X-Request-Id", "X-Token-Counts", "X-Prompt-Prefix", "X-Model"}


def test_a_target_gets_what_the_system_sets() -> None:
    attempt = Attempt(arrival(), "i-7", "desk", 0.55, 1, 14, b"", False)
    headers = dict(TargetDialect().request_headers(attempt))
    assert headers["X-Tenant"] == "desk"
    assert headers["X-Expect-Instance"] == "i-7"
    assert headers["X-Deadline-Ms"] == "550"
    assert headers["Last-Event-Id"] == "14"


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"X-Deadline-Ms", b"soon"),
        (b"X-Token-Counts", b"1460"),
        (b"X-Token-Counts", b"-1,5"),
        (b"X-Prompt-Prefix", b"5c1e"),
        (b"Last-Event-Id", b"last"),
        (b"X-Request-Id", b""),
    ],
)
def test_a_malformed_header_is_named(name: bytes, value: bytes) -> None:
    headers = [(known, value if known == name else kept) for known, kept in HEADERS]
    refusal = decode_arrival("POST", "/", headers, b"", 0.0).unwrap_err()
    assert refusal.kind is ErrorKind.BAD_REQUEST
    assert refusal.field == name.decode()


def test_only_what_certainly_did_not_run_is_a_promise() -> None:
    """Callers send again what is answered 503, so that it must be true that nothing ran."""
    status_by_kind = {
        kind: encode_refusal(Refusal(kind))[0]
        for kind in (
            ErrorKind.DEADLINE_PASSED,
            ErrorKind.NOT_RUN,
            ErrorKind.TIMEOUT,
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.TARGET_FAILED,
            ErrorKind.BUDGET_EXHAUSTED,
        )
    }
    assert list(status_by_kind.values()) == [503, 503, 504, 502, 502, 402]


def test_heads_of_answers_are_read() -> None:
    read = TargetDialect().read_head
    head = read(200, (("X-Request-Id", "9c41"), ("X-Server-Load", "3,0,8")))
    assert (head.request_id, head.not_run, head.is_wrong_target) == ("9c41", False, False)
    assert head.load is not None
    assert head.load.slots == 8
    assert read(503, (("X-Not-Run", "1"),)).not_run
    assert read(421, ()).is_wrong_target
    assert read(200, (("X-Server-Load", "many"),)).load is None
    assert read(503, (("Retry-After", "2.5"),)).backoff.number == 2.5
    assert read(503, (("Retry-After", "3"), ("Retry-After", "9"))).backoff.unreadable == "3 and 9"
    assert read(429, (("Retry-After", "3"),)).backoff.number is None
    assert read(200, (("Server-Leaving", "1"),)).is_leaving
    assert not read(200, (("Server-Leaving", "0"),)).is_leaving
    assert read(503, (("Server-Brittle", "4"),)).rejections.number == 4.0
    assert read(200, (("Server-Brittle", "few"),)).rejections.unreadable == "few"
    assert read(200, ()).rejections.number is None


def test_heartbeats_become_announcements_and_leaving_overtakes_them() -> None:
    beat = (
        b'{"service":"engines","addr":"10.0.0.9:80","zone":"z","slots":64,"state":"ready",'
        b'"models":[{"name":"m"}],"call_seq":4,"cold_left_ms":0}'
    )
    announcement = decode_heartbeat("i-7", beat).unwrap().announcement
    assert (announcement.kind, announcement.url) == ("engine", "http://10.0.0.9:80")
    draining = (
        decode_heartbeat("i-7", beat.replace(b'"ready"', b'"draining"')).unwrap().announcement
    )
    assert draining.leaving
    assert decode_leave("i-7", b"", announcement).unwrap().leaving
    assert decode_leave("i-8", b"", None).unwrap().target == "i-8"
    assert decode_heartbeat("i-7", b'{"addr":1}').unwrap_err().field == "body"
