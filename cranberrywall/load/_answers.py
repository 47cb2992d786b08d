"""Read one HTTP answer: a document, a stream, or an error."""

from typing import Any, NamedTuple, NotRequired, TypedDict

import aiohttp
import msgspec

from cranberrywall.runtime import Clock

DATA = b"data: "
DONE = b"[DONE]"


class ErrorBody(TypedDict):
    """Hold the error document of a caller's answer, as far as a caller needs it."""

    code: str
    message: NotRequired[str]
    ran: NotRequired[str]
    retry_safe: NotRequired[bool]


class _ErrorAnswer(TypedDict):
    error: ErrorBody


class Answer(NamedTuple):
    """Hold one answer; ``error`` is ``None`` for a whole one.

    ``text`` is the answer's own words, or a service's body. ``first_at`` and ``last_at``
    are the clock at the first and the last token; ``tokens`` is the usage it reports.
    """

    error: ErrorBody | None
    text: str
    first_at: float
    last_at: float
    tokens: int
    parts: int
    retry_after_s: float | None
    request_id: str


class CutError(Exception):
    """Report a stream that ended without its end marker or an error."""


async def read_answer(response: aiohttp.ClientResponse, stream: bool, clock: Clock) -> Answer:
    """Read a whole answer; raise ``CutError`` or ``aiohttp.ClientError`` where it is cut."""
    request_id = response.headers.get("X-Request-Id", "")
    if response.status >= 400:
        return await _read_error(response, clock, request_id)
    if stream:
        return await _read_stream(response, clock, request_id)
    raw = await response.read()
    now = clock.now()
    text, tokens = _whole_text(raw)
    return Answer(None, text, now, now, tokens, 1, None, request_id)


async def _read_error(response: aiohttp.ClientResponse, clock: Clock, request_id: str) -> Answer:
    raw = await response.read()
    try:
        error = msgspec.json.decode(raw, type=_ErrorAnswer)["error"]
    except msgspec.DecodeError:
        error = ErrorBody(code=f"http_{response.status}")
    now = clock.now()
    after = response.headers.get("Retry-After")
    return Answer(error, "", now, now, 0, 0, float(after) if after else None, request_id)


async def _read_stream(response: aiohttp.ClientResponse, clock: Clock, request_id: str) -> Answer:
    parts: list[str] = []
    first_at = last_at = clock.now()
    tokens = 0
    async for line in response.content:
        if not line.startswith(DATA):
            continue
        data = line.removeprefix(DATA).strip()
        if data == DONE:
            return Answer(
                None, "".join(parts), first_at, last_at, tokens, len(parts), None, request_id
            )
        chunk: dict[str, Any] = msgspec.json.decode(data)
        if "error" in chunk:
            error = msgspec.convert(chunk["error"], ErrorBody)
            return Answer(error, "".join(parts), first_at, last_at, 0, len(parts), None, request_id)
        tokens = (chunk.get("usage") or {}).get("completion_tokens", tokens)
        content = _content(chunk)
        if content:
            last_at = clock.now()
            first_at = first_at if parts else last_at
            parts.append(content)
    raise CutError("the stream ended without its end marker")


def _content(chunk: dict[str, Any]) -> str:
    return "".join(
        choice.get("delta", {}).get("content") or "" for choice in chunk.get("choices", [])
    )


def _whole_text(raw: bytes) -> tuple[str, int]:
    try:
        document = msgspec.json.decode(raw)
    except msgspec.DecodeError:
        return raw.decode(errors="replace"), 0
    if not isinstance(document, dict) or "choices" not in document:
        return raw.decode(errors="replace"), 0
    text = "".join(choice["message"]["content"] for choice in document["choices"])
    return text, document.get("usage", {}).get("completion_tokens", 0)
