"""Check the body of a chat completion and bound what it can cost."""

import math
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from cranberrywall.configuration import Model, Policy
from cranberrywall.errors import ErrorKind, Refusal

_BYTES_PER_TOKEN = 4
_TOKENS_PER_MESSAGE = 8
_DEFAULT_MARGIN = 1.0
_FOR_THIS_HOST = ("stream", "stream_options", "max_completion_tokens", "max_tokens", "adapter")


class _Part(TypedDict):
    type: str
    text: NotRequired[str]


class _Message(TypedDict):
    role: str
    content: NotRequired[str | list[_Part] | None]


class _StreamOptions(TypedDict):
    include_usage: NotRequired[bool]


class _Body(TypedDict):
    model: Annotated[str, Meta(min_length=1, max_length=128)]
    messages: Annotated[list[_Message], Meta(min_length=1, max_length=4096)]
    stream: NotRequired[bool | None]
    stream_options: NotRequired[_StreamOptions | None]
    max_tokens: NotRequired[Annotated[int, Meta(ge=1)] | None]
    max_completion_tokens: NotRequired[Annotated[int, Meta(ge=1)] | None]
    n: NotRequired[Annotated[int, Meta(ge=1, le=1)] | None]
    adapter: NotRequired[Annotated[str, Meta(max_length=128)] | None]


class ChatBody(NamedTuple):
    """Hold a checked body.

    ``passed`` is what goes to the engine as it came; ``max_tokens`` is ``None`` where the
    caller set no limit. ``input_bytes`` is the size of all texts in UTF-8.
    """

    model: str
    adapter: str
    stream: bool
    include_usage: bool
    max_tokens: int | None
    texts: tuple[str, ...]
    input_bytes: int
    passed: Mapping[str, Any]


class Bound(NamedTuple):
    """Bound the cost of one answer, in tokens."""

    input_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Return the most that the answer can cost."""
        return self.input_tokens + self.output_tokens


def parse_chat_body(data: bytes) -> Result[ChatBody, Refusal]:
    """Decode and check the JSON body of ``POST /v1/chat/completions``."""
    try:
        values = msgspec.json.decode(data)
        body = msgspec.convert(values, _Body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(_bad_body(str(error)))
    except RecursionError:
        # A body nested thousands deep would otherwise surface as an internal error.
        return Err(_bad_body("is nested too deeply"))
    texts = _texts(body["messages"])
    return Ok(
        ChatBody(
            model=body["model"],
            adapter=body.get("adapter") or "",
            stream=bool(body.get("stream")),
            include_usage=bool((body.get("stream_options") or {}).get("include_usage")),
            max_tokens=body.get("max_completion_tokens") or body.get("max_tokens"),
            texts=texts,
            input_bytes=sum(len(text.encode("utf-8", "surrogatepass")) for text in texts),
            passed={name: value for name, value in values.items() if name not in _FOR_THIS_HOST},
        )
    )


def bound_chat(body: ChatBody, model: Model, policy: Policy | None) -> Result[Bound, Refusal]:
    """Bound the cost of an answer to ``body``.

    The input is an estimate times the policy's margin, and never more than a token a
    byte, which no tokenizer exceeds.
    """
    limit = model["output_limit"]
    if body.max_tokens is not None and body.max_tokens > limit:
        return Err(_too_many_tokens(body.max_tokens, limit))
    margin = policy["input_margin"] if policy else _DEFAULT_MARGIN
    framing = _TOKENS_PER_MESSAGE * len(body.texts)
    estimate = math.ceil(body.input_bytes / _BYTES_PER_TOKEN * margin) + framing
    input_tokens = min(estimate, body.input_bytes + framing)
    if input_tokens > model["context_limit"]:
        return Err(_too_long(input_tokens, model["context_limit"]))
    return Ok(Bound(input_tokens, body.max_tokens or limit))


def _texts(messages: list[_Message]) -> tuple[str, ...]:
    texts: list[str] = []
    for message in messages:
        content = message.get("content")
        if isinstance(content, str):
            texts.append(content)
        elif content:
            texts.extend(part.get("text", "") for part in content)
        else:
            texts.append("")
    return tuple(texts)


def _bad_body(problem: str) -> Refusal:
    return Refusal(
        ErrorKind.BAD_REQUEST,
        problem,
        field="body",
        remedy="send a JSON object with model and messages, as in the OpenAI API",
    )


def _too_many_tokens(asked: int, limit: int) -> Refusal:
    return Refusal(
        ErrorKind.BAD_REQUEST,
        f"asks for {asked} tokens, and the model gives at most {limit}",
        field="max_tokens",
        remedy=f"ask for at most {limit}",
    )


def _too_long(tokens: int, limit: int) -> Refusal:
    return Refusal(
        ErrorKind.BAD_REQUEST,
        f"are about {tokens} tokens, and the model reads at most {limit}",
        field="messages",
        remedy="send fewer or shorter messages",
    )
