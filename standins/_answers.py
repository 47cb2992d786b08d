"""Work out what a stand-in answers, from the request alone.

Every engine gives the same answer to the same messages, so a caller's answer can be
checked word for word, and an answer that was begun elsewhere can be continued.
"""

import json
import math
from collections.abc import Sequence
from typing import NotRequired, TypedDict

import xxhash

BYTES_PER_TOKEN = 4
TOKENS_PER_MESSAGE = 4
SHORTEST_ANSWER_WORDS = 8
LONGEST_ANSWER_WORDS = 48
SERVICES_PATH = "/v1/services/"

_WORDS_TEXT = """
    the your our term deposit renewal rate bay lease notice matures ends from with before
    after office agreed account gate plate barrier payment letter month year and at will
    stay open signed date kept lower higher fixed standard
    """
_WORDS = tuple(_WORDS_TEXT.split())


class TextPart(TypedDict):
    """Hold one part of a message's content."""

    type: str
    text: NotRequired[str]


class Message(TypedDict):
    """Hold one chat message, as far as a stand-in reads it."""

    role: str
    content: str | list[TextPart]


def message_text(message: Message) -> str:
    """Return a message's text; parts that are not text count as empty."""
    content = message["content"]
    if isinstance(content, str):
        return content
    return "".join(part.get("text", "") for part in content)


def prompt_text(messages: Sequence[Message]) -> str:
    """Return the concatenated text that prefixes are cut from."""
    return "".join(message_text(message) for message in messages)


def count_prompt_tokens(messages: Sequence[Message]) -> int:
    """Count the tokens of a prompt, by the stand-in's own tokenizer.

    >>> count_prompt_tokens([{"role": "user", "content": "Which bay?"}])
    7
    """
    return sum(
        TOKENS_PER_MESSAGE + math.ceil(len(message_text(message).encode()) / BYTES_PER_TOKEN)
        for message in messages
    )


def answer_words(messages: Sequence[Message]) -> list[str]:
    """Return the whole answer, one word a token.

    Where the last message is the assistant's, it is a begun answer: its words are left out.
    """
    begun = _begun_words(messages)
    asked = messages[:-1] if begun else messages
    digest = xxhash.xxh64_intdigest(prompt_text(asked).encode())
    length = SHORTEST_ANSWER_WORDS + digest % (LONGEST_ANSWER_WORDS - SHORTEST_ANSWER_WORDS)
    words = [f"[{digest:016x}]"]
    for position in range(1, length):
        chosen = xxhash.xxh64_intdigest(position.to_bytes(2, "big"), seed=digest)
        words.append(_WORDS[chosen % len(_WORDS)])
    return words[begun:]


def answer_text(messages: Sequence[Message], max_tokens: int) -> str:
    """Return the answer's text as a caller gets it: cut at ``max_tokens`` words.

    >>> answer_text([{"role": "user", "content": "Which bay?"}], 3)
    '[28463d67592fa74b] with open'
    """
    return " ".join(answer_words(messages)[:max_tokens])


def service_answer(method: str, path: str, body: bytes) -> str:
    """Return what a stand-in service answers to a call.

    >>> service_answer("GET", "/deposits/17", b"")
    '37594c2a6ad3cf54'
    """
    return xxhash.xxh64_hexdigest(f"{method} {path}\n".encode() + body)


def _begun_words(messages: Sequence[Message]) -> int:
    if len(messages) < 2 or messages[-1]["role"] != "assistant":
        return 0
    return len(message_text(messages[-1]).split())


def check_answer(method: str, path: str, body: bytes, text: str) -> bool:
    """Say whether ``text`` is the whole answer to a call as a caller sent it.

    A call to a service has a path such as ``/v1/services/NAME/deposits/17``; the answer
    of a service is its JSON document.
    """
    if path.startswith(SERVICES_PATH):
        _, _, inner = path.removeprefix(SERVICES_PATH).partition("/")
        return _answer_of(text) == service_answer(method, f"/{inner}", body)
    document = json.loads(body)
    return text == answer_text(document["messages"], document["max_tokens"])


def _answer_of(text: str) -> str:
    try:
        document = json.loads(text)
    except ValueError:
        return ""
    return str(document.get("answer", ""))
