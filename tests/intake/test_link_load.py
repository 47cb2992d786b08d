"""Load that admitted requests put on a link."""

import pytest

from cranberrywall.intake import LinkLimit, LinkLoad
from cranberrywall.intake._link_load import (
    FIRST_REQUEST_S,
    HEAD_BYTES,
    MAX_ANNOUNCED_BYTES,
    MAX_COUNTED_S,
    MAX_QUEUE_S,
    REQUEST_SHARE,
    RESUME_QUEUE_S,
)

RATE = 100_000.0
DRAINED = REQUEST_SHARE * RATE


def load(rate: float | None = RATE) -> LinkLoad:
    return LinkLoad(LinkLimit(rate), now=0.0)


def test_a_body_takes_the_link_twice() -> None:
    link = load()
    link.record_request(9_000, now=0.0)
    assert link.queue_s(0.0) == pytest.approx(2 * (9_000 + HEAD_BYTES) / DRAINED)


def test_an_answer_takes_the_link_twice() -> None:
    link = load()
    link.record_answer(500, now=0.0)
    assert link.queue_s(0.0) == pytest.approx(1_000 / DRAINED)


def test_the_queue_drains_at_the_rate_of_the_link() -> None:
    link = load()
    link.record_request(40_000, now=0.0)
    before = link.queue_s(0.0)
    assert link.queue_s(0.4) == pytest.approx(before - 0.4)
    assert link.queue_s(before + 1.0) == 0.0


def test_an_idle_link_saves_nothing_up() -> None:
    link = load()
    link.record_answer(500, now=100.0)
    assert link.queue_s(100.0) == pytest.approx(1_000 / DRAINED)


def test_a_full_link_resumes_below_a_lower_bound() -> None:
    """Guards against connections that are accepted and not accepted by turns."""
    link = load()
    link.record_request(40_000, now=0.0)
    assert link.is_full(0.0)
    resumed_at = link.resumes_in_s(0.0)
    assert link.queue_s(resumed_at) == pytest.approx(RESUME_QUEUE_S)
    assert not link.is_full(resumed_at)


def test_accepted_connections_count_until_their_request_is_known() -> None:
    """Guards against many connections that are accepted before the first of their requests."""
    link = load()
    for _ in range(3):
        link.record_accepted(0.0)
    assert link.queue_s(0.0) > MAX_QUEUE_S
    for _ in range(3):
        link.record_request(0, now=0.01)
    assert link.queue_s(0.01) < MAX_QUEUE_S


def test_a_connection_without_a_request_stops_to_count() -> None:
    link = load()
    link.record_accepted(0.0)
    assert link.queue_s(FIRST_REQUEST_S + 0.01) == 0.0


def test_a_large_body_counts_as_it_arrives() -> None:
    """Guards against callers that announce large bodies and never send them."""
    announced = LinkLoad(LinkLimit(200 * RATE), now=0.0)
    announced.record_request(4_000_000, now=0.0)
    expected_s = 2 * (MAX_ANNOUNCED_BYTES + HEAD_BYTES) / (200 * DRAINED)
    assert announced.queue_s(0.0) == pytest.approx(expected_s)
    announced.record_body(4_000_000, 4_000_000, now=0.0)
    assert announced.queue_s(0.0) == pytest.approx(2 * (4_000_000 + HEAD_BYTES) / (200 * DRAINED))


def test_a_body_counts_once() -> None:
    link = load()
    link.record_request(9_000, now=0.0)
    before = link.queue_s(0.0)
    link.record_body(9_000, 9_000, now=0.0)
    assert link.queue_s(0.0) == before


def test_a_body_without_an_announced_size_counts_as_it_arrives() -> None:
    link = load()
    link.record_body(0, 9_000, now=0.0)
    assert link.queue_s(0.0) == pytest.approx(18_000 / DRAINED)


def test_large_bodies_shut_out_other_callers_for_a_limited_time() -> None:
    """Guards against a host that accepts no connection while it forwards a few large bodies."""
    link = load()
    for _ in range(3):
        link.record_body(0, 4_000_000, now=0.0)
    assert link.queue_s(0.0) == MAX_COUNTED_S


def test_a_link_of_unknown_rate_is_never_full() -> None:
    link = load(None)
    link.record_accepted(0.0)
    link.record_request(1_000_000_000, now=0.0)
    assert link.queue_s(0.0) == 0.0
    assert not link.is_full(0.0)
