"""Check that each event is one line, and that no secret gets into it."""

import io
import logging
from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger

from cranberrywall.observability import (
    EventLimiter,
    configure_log,
    hide_secret,
    log_event,
    process_context,
    request_context,
)


@pytest.fixture
def lines() -> Iterator[io.StringIO]:
    sink = io.StringIO()
    configure_log("entry", "entry-1", "town-hall", "INFO", sink)
    yield sink
    logger.remove()
    logging.basicConfig(handlers=[], force=True)


def after_time(sink: io.StringIO) -> list[str]:
    return [line.partition(" ")[2] for line in sink.getvalue().splitlines()]


def test_a_line_names_process_host_place_and_request(lines: io.StringIO):
    with request_context("r-1"):
        log_event("INFO", "answered", status=200, wait_s=0.25)
    log_event("DEBUG", "below the level")
    assert lines.getvalue().startswith("time=")
    assert after_time(lines) == [
        "level=INFO event=answered process=entry host=entry-1 place=town-hall request=r-1 "
        "status=200 wait_s=0.25"
    ]


def test_programs_in_one_process_keep_their_names(lines: io.StringIO):
    with process_context("control", "control-1", "kranj"):
        log_event("INFO", "listening")
    assert after_time(lines) == [
        "level=INFO event=listening process=control host=control-1 place=kranj"
    ]


def test_a_value_cannot_break_the_line_or_the_format(lines: io.StringIO):
    log_event("INFO", "odd", text='a\nlevel=ERROR "b" {extra} <red>', empty="", bell="\a")
    [line] = after_time(lines)
    assert line.endswith('text="a\\nlevel=ERROR \\"b\\" {extra} <red>" empty="" bell="\\x07"')


def test_keys_prompts_and_secrets_are_hidden_and_long_values_cut(lines: io.StringIO):
    hide_secret("very-secret-value")
    fields: dict[str, Any] = {
        "key": "abc",
        "prompt": "Dear",
        "Authorization": "x",
        "url": "u?very-secret-value",
    }
    log_event("INFO", "call", **fields, long="x" * 999)
    [line] = after_time(lines)
    assert "key=hidden prompt=hidden Authorization=hidden url=u?hidden" in line
    assert line.endswith("x" * 300 + "...")


def test_an_error_is_named_on_the_same_line_without_its_variables(lines: io.StringIO):
    prompt = "Dear pensioner"
    try:
        raise KeyError(len(prompt))
    except KeyError as error:
        log_event("ERROR", "failed", error)
    [line] = after_time(lines)
    assert "event=failed" in line
    assert "error=KeyError reason=14 at=test_log.py:" in line
    assert prompt not in line


def test_libraries_logs_become_events(lines: io.StringIO):
    logging.getLogger("aiohttp.server").error("bad %s", "thing")
    assert after_time(lines)[0].endswith('library=aiohttp.server message="bad thing"')


def test_an_event_that_strangers_cause_is_logged_once_in_a_while(lines: io.StringIO):
    now = 0.0
    limiter = EventLimiter(lambda: now, every=10.0)
    for _ in range(5):
        limiter.log("WARNING", "dropped", "wrong_proof")
    limiter.log("WARNING", "dropped", "too_large")
    now = 10.0
    limiter.log("WARNING", "dropped", "wrong_proof")
    counts = [line.rpartition(" ")[2] for line in after_time(lines)]
    assert counts == ["count=1", "count=1", "count=5"]
