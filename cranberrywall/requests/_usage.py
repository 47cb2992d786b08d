"""Describe what an answer consumed."""

from typing import TypedDict


class Usage(TypedDict):
    """Count the tokens that an engine read and generated."""

    prompt_tokens: int
    completion_tokens: int


def total_tokens(usage: Usage) -> int:
    """Return the tokens to charge."""
    return usage["prompt_tokens"] + usage["completion_tokens"]
