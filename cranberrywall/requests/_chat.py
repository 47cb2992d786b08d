"""Validate the body of a chat completion, and compute an upper bound of its cost."""

from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from cranberrywall.budgets import InputBounds, InputSize
from cranberrywall.configuration import Model, Policy
from cranberrywall.errors import ErrorKind, Refusal

_MAX_BYTES_PER_TOKEN = 16
"""No real text has more bytes per token than this.

So a body is certainly too long only if it exceeds the context limit at this ratio.
"""

_DEFAULT_MARGIN = 1.0
"""Factor by which the estimate of input tokens is multiplied if there is no policy."""

_PROMPT_FIELDS = frozenset({"functions", "response_format", "tools"})
_PLAIN_FIELDS = frozenset({"role", "content"})
_ROUTER_FIELDS = ("stream", "stream_options", "max_completion_tokens", "max_tokens", "adapter")


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
    """Validated body of a chat completion.

    ``forwarded_fields`` go to the engine unchanged. ``max_tokens`` is ``None`` if the caller
    set no limit.
    """

    model: str
    adapter: str
    stream: bool
    include_usage: bool
    max_tokens: int | None
    texts: tuple[str, ...]
    size: InputSize
    forwarded_fields: Mapping[str, Any]


class Bound(NamedTuple):
    """Upper bound of the cost of one answer, in tokens."""

    input_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Return the maximum cost of the answer."""
        return self.input_tokens + self.output_tokens


def parse_chat_body(data: bytes) -> Result[ChatBody, Refusal]:
    """Decode and validate the JSON body of ``POST /v1/chat/completions``."""
    try:
        values = msgspec.json.decode(data)
        body = msgspec.convert(values, _Body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(_bad_body(str(error)))
    except RecursionError:
        # A body that is nested thousands of levels deep would otherwise cause an internal error.
        return Err(_bad_body("is nested too deeply"))
    if any(_has_non_text_parts(message) for message in body["messages"]):
        return Err(_bad_body("has a content part that is not text"))
    texts = _texts(body["messages"])
    return Ok(
        ChatBody(
            model=body["model"],
            adapter=body.get("adapter") or "",
            stream=bool(body.get("stream")),
            include_usage=bool((body.get("stream_options") or {}).get("include_usage")),
            max_tokens=body.get("max_completion_tokens") or body.get("max_tokens"),
            texts=texts,
            size=_size(values, texts),
            forwarded_fields={
                name: value for name, value in values.items() if name not in _ROUTER_FIELDS
            },
        )
    )


def bound_chat(
    body: ChatBody, model: Model, policy: Policy | None, bounds: InputBounds
) -> Result[Bound, Refusal]:
    """Return an upper bound of the cost of an answer to ``body``.

    The policy's input margin applies to the estimate from earlier requests.
    """
    limit = model["output_limit"]
    if body.max_tokens is not None and body.max_tokens > limit:
        return Err(_too_many_tokens(body.max_tokens, limit))
    margin = policy["input_margin"] if policy else _DEFAULT_MARGIN
    input_tokens = min(bounds.bound(body.model, body.size, margin), model["context_limit"])
    min_tokens = body.size.text_bytes // _MAX_BYTES_PER_TOKEN
    if min_tokens > model["context_limit"]:
        return Err(_too_long(min_tokens, model["context_limit"]))
    return Ok(Bound(input_tokens, body.max_tokens or limit))


def _size(values: Mapping[str, Any], texts: tuple[str, ...]) -> InputSize:
    """Measure all fields that an engine may convert to prompt tokens, not only the texts."""
    text_bytes = sum(len(text.encode("utf-8", "surrogatepass")) for text in texts)
    for name in _PROMPT_FIELDS & values.keys():
        text_bytes += len(msgspec.json.encode(values[name]))
    for message in values["messages"]:
        others = {name: value for name, value in message.items() if name not in _PLAIN_FIELDS}
        text_bytes += len(msgspec.json.encode(others)) if others else 0
    return InputSize(text_bytes, len(values["messages"]))


def _has_non_text_parts(message: _Message) -> bool:
    # The number of bytes of an image does not bound the number of its tokens.
    content = message.get("content")
    return isinstance(content, list) and any(part["type"] != "text" for part in content)


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


def _too_many_tokens(requested: int, limit: int) -> Refusal:
    return Refusal(
        ErrorKind.BAD_REQUEST,
        f"requests {requested} tokens, but the model generates at most {limit}",
        field="max_tokens",
        remedy=f"request at most {limit}",
    )


def _too_long(tokens: int, limit: int) -> Refusal:
    return Refusal(
        ErrorKind.BAD_REQUEST,
        f"are about {tokens} tokens, but the model reads at most {limit}",
        field="messages",
        remedy="send fewer or shorter messages",
    )
