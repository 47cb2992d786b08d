"""Token usage of an answer."""

from typing import TypedDict


class Usage(TypedDict):
    """Number of tokens that an engine read and generated."""

    prompt_tokens: int
    completion_tokens: int


def total_tokens(usage: Usage) -> int:
    """Return the number of tokens to charge."""
    return usage["prompt_tokens"] + usage["completion_tokens"]
