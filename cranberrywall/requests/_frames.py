"""Parse and write the server-sent events of chat completions."""

from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from cranberrywall.requests._usage import Usage, total_tokens

DONE_FRAME = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1024 * 1024
_SEPARATOR = b"\n\n"
_DATA = b"data:"
_DATA_PREFIX = b"data: "
_DONE = b"[DONE]"


class _Head(TypedDict):
    id: str
    index: int
    usage: NotRequired[Usage | None]


class Chunk(NamedTuple):
    """One chunk of a stream.

    ``data`` is its JSON as the engine sent it; the other fields are decoded from it.
    ``number`` is the index of the chunk in the attempt, from 0.
    """

    attempt_id: str
    number: int
    usage: Usage | None
    data: bytes


class EndMark(NamedTuple):
    """End mark of a complete stream."""


class MalformedFrameError(ValueError):
    """The bytes are not a chunk of a stream."""


class FrameSplitter:
    """Split a byte stream into the payloads of its ``data:`` events.

    >>> splitter = FrameSplitter()
    >>> splitter.feed(b"data: a\\n\\ndata:")
    [b'a']
    >>> splitter.feed(b" b\\n\\n: comment\\n\\n")
    [b'b']
    """

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the payloads of the events that ``data`` completes.

        Raises ``MalformedFrameError`` if an event is larger than ``MAX_EVENT_BYTES``.
        """
        data = self._rest + data if self._rest else data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, self._rest = data.split(_SEPARATOR)
        if len(self._rest) > MAX_EVENT_BYTES:
            # Without this limit, a target that never ends an event could exhaust memory.
            raise MalformedFrameError(f"an event is over {MAX_EVENT_BYTES} bytes")
        return [event[len(_DATA) :].strip() for event in events if event.startswith(_DATA)]


_head_decoder = msgspec.json.Decoder(_Head)


def parse_frame(payload: bytes) -> Chunk | EndMark:
    """Decode one payload; raise ``MalformedFrameError`` if it is not a valid chunk."""
    if payload == _DONE:
        return EndMark()
    try:
        head = _head_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise MalformedFrameError(str(error)) from error
    return Chunk(head["id"], head["index"], head.get("usage"), payload)


def frame_for_caller(chunk: Chunk, request_id: str) -> bytes:
    """Return the chunk as an event in which the request's id replaces the attempt's id.

    Callers expect the same id in all chunks of an answer. The attempt id is internal and
    changes when another attempt continues the answer.
    """
    own = chunk.attempt_id.encode()
    return _DATA_PREFIX + chunk.data.replace(own, request_id.encode(), 1) + _SEPARATOR


def delta_of(frame: bytes) -> object:
    """Return the deltas and finish reasons of a frame.

    They do not contain the id and the time, so the frames of two runs can be compared.
    """
    choices = _content_decoder.decode(_payload(frame)).get("choices", [])
    return [(choice.get("delta"), choice.get("finish_reason")) for choice in choices]


def _payload(frame: bytes) -> bytes:
    return frame[len(_DATA_PREFIX) : -len(_SEPARATOR)]


class _Delta(TypedDict):
    role: NotRequired[str | None]
    content: NotRequired[str | None]


class _Choice(TypedDict):
    delta: NotRequired[dict[str, Any] | None]
    finish_reason: NotRequired[str | None]


class _Content(TypedDict):
    model: NotRequired[str]
    created: NotRequired[int]
    choices: NotRequired[list[_Choice]]


_content_decoder = msgspec.json.Decoder(_Content)


def assemble_completion(frames: list[bytes], request_id: str, usage: Usage | None) -> bytes:
    """Join the frames of a complete stream into the body of an answer that is not streamed."""
    message = _Message()
    finish_reason = None
    head: _Content = {}
    for frame in frames:
        content = _content_decoder.decode(_payload(frame))
        head = head or content
        for choice in content.get("choices", ()):
            message.add(choice.get("delta") or {})
            finish_reason = choice.get("finish_reason") or finish_reason
    answer = {
        "id": request_id,
        "object": "chat.completion",
        "created": head.get("created", 0),
        "model": head.get("model", ""),
        "choices": [
            {"index": 0, "message": message.build(), "finish_reason": finish_reason or "stop"}
        ],
        "usage": _usage_fields(usage),
    }
    return msgspec.json.encode(answer)


class _Message:
    """Join the deltas of a message.

    Texts and arguments of tool calls are concatenated. Any other field takes its latest
    value.
    """

    def __init__(self) -> None:
        self._text: list[str] = []
        self._values: dict[str, Any] = {"role": "assistant"}
        self._call_by_index: dict[int, dict[str, Any]] = {}

    def add(self, delta: dict[str, Any]) -> None:
        for name, value in delta.items():
            if name == "content":
                self._text.append(value or "")
            elif name == "tool_calls":
                for call in value or ():
                    self._add_call(call)
            else:
                self._values[name] = value

    def build(self) -> dict[str, Any]:
        message = {**self._values, "content": "".join(self._text)}
        if self._call_by_index:
            calls = sorted(self._call_by_index.items())
            message["tool_calls"] = [call for _, call in calls]
        return message

    def _add_call(self, delta: dict[str, Any]) -> None:
        call = self._call_by_index.setdefault(delta.get("index", 0), {})
        for name, value in delta.items():
            if name == "function":
                function = call.setdefault("function", {"arguments": ""})
                arguments = function["arguments"] + (value.get("arguments") or "")
                function.update({**value, "arguments": arguments})
            elif name != "index":
                call[name] = value


def _usage_fields(usage: Usage | None) -> dict[str, int]:
    if usage is None:
        return {}
    return {
        "prompt_tokens": usage["prompt_tokens"],
        "completion_tokens": usage["completion_tokens"],
        "total_tokens": total_tokens(usage),
    }
