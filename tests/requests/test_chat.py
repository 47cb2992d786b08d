"""Check that the bound of a chat completion covers all tokens that an engine may count."""

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywall.budgets import make_input_bounds
from cranberrywall.requests import bound_chat, parse_chat_body
from standins import count_prompt_tokens
from tests.requests.fleet import chat, document

MODEL = document()["models"]["drafting-llm"]


def bound(body: dict[str, Any]) -> int:
    parsed = parse_chat_body(json.dumps(body).encode()).unwrap()
    return bound_chat(parsed, MODEL, None, make_input_bounds()).unwrap().input_tokens


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.text(max_size=200), min_size=1, max_size=5))
def test_an_engine_never_counts_more_than_the_bound(texts: list[str]) -> None:
    messages: list[Any] = [{"role": "user", "content": text} for text in texts]
    token_count = count_prompt_tokens(messages)
    assert bound(chat() | {"messages": messages}) >= min(token_count, MODEL["context_limit"])


@pytest.mark.parametrize("field", ["tools", "functions", "response_format"])
def test_fields_that_become_prompt_tokens_are_counted(field: str) -> None:
    """A caller puts a long prompt into its tools. The engine reads it, so the bound covers it."""
    assert bound(chat() | {field: [{"description": "x" * 500}]}) > bound(chat()) + 500
    message = {"role": "user", "content": "hi", "name": "x" * 500}
    assert bound(chat() | {"messages": [message]}) > 500


def test_parts_that_are_not_text_are_refused() -> None:
    part = {"type": "image_url", "image_url": {"url": "http://127.0.0.1/x.png"}}
    body = chat() | {"messages": [{"role": "user", "content": [part]}]}
    assert parse_chat_body(json.dumps(body).encode()).unwrap_err().field == "body"
