"""Decode callers' requests."""

from collections.abc import Sequence

from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.forwarding import Arrival, Generation, Headers, PromptPart
from cranberrywall.platform import _headers as names

_MOST_PARTS = 256
_LONGEST_ID = 256

RawHeaders = Sequence[tuple[bytes, bytes]]


def decode_arrival(
    method: str,
    path: str,
    raw_headers: RawHeaders,
    body: bytes,
    now: float,
    body_s: float = 0.0,
) -> Result[Arrival, Refusal]:
    """Return a caller's request, or a refusal that names the header at fault.

    ``now`` is when its head arrived, and ``body_s`` the time that its body took, in seconds.
    """
    headers = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in raw_headers]
    value_by_name = {name.lower(): value for name, value in headers}
    request_id = value_by_name.get(names.REQUEST_ID.lower(), "")
    if not request_id:
        return Err(_bad(names.REQUEST_ID, "is missing", "send an id of its own with each request"))
    deadline = _read_number(value_by_name, names.DEADLINE_MS)
    if isinstance(deadline, Err):
        return deadline
    last_event = _read_number(value_by_name, names.LAST_EVENT_ID)
    if isinstance(last_event, Err):
        return last_event
    resumes = value_by_name.get(names.RESUMES.lower(), "").strip()
    if len(resumes) > _LONGEST_ID:
        remedy = "send the request id of the attempt that brought the first event"
        return Err(_bad(names.RESUMES, f"is over {_LONGEST_ID} characters", remedy))
    generation = _read_generation(value_by_name)
    if isinstance(generation, Err):
        return generation
    deadline_ms = deadline.ok_value
    return Ok(
        Arrival(
            request_id=request_id,
            host=value_by_name.get("host", ""),
            method=method,
            path=path,
            headers=_passed_on(headers),
            body=body,
            key=_read_key(value_by_name),
            at=now,
            max_wait_s=None if deadline_ms is None else deadline_ms / 1000.0,
            last_event=last_event.ok_value,
            generation=generation.ok_value,
            resumes=resumes,
            body_s=body_s,
        )
    )


def _passed_on(headers: Sequence[tuple[str, str]]) -> Headers:
    connection = ",".join(value for name, value in headers if name.lower() == "connection")
    of_connection = {token.strip().lower() for token in connection.split(",")}
    dropped = names.SET_BY_US | names.NEVER_PASSED_ON | of_connection
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


def _read_key(value_by_name: dict[str, str]) -> str | None:
    value = value_by_name.get(names.AUTHORIZATION.lower(), "")
    if value[: len(names.KEY_SCHEME)].lower() != names.KEY_SCHEME:
        return None
    return value[len(names.KEY_SCHEME) :].strip()


def _read_number(value_by_name: dict[str, str], name: str) -> Result[int | None, Refusal]:
    value = value_by_name.get(name.lower())
    if value is None:
        return Ok(None)
    if not value.strip().isdigit():
        return Err(_bad(name, f"{value!r} is no whole number", "send a number from 0 on"))
    return Ok(int(value))


def _read_generation(value_by_name: dict[str, str]) -> Result[Generation | None, Refusal]:
    counts = value_by_name.get(names.TOKEN_COUNTS.lower())
    if counts is None:
        return Ok(None)
    numbers = [number.strip() for number in counts.split(",")]
    if len(numbers) != 2 or not all(number.isdigit() for number in numbers):
        remedy = "send the prompt's tokens and the most output tokens, as 1460,80"
        return Err(_bad(names.TOKEN_COUNTS, f"{counts!r} is no pair of numbers", remedy))
    parts = _read_parts(value_by_name.get(names.PROMPT_PARTS.lower(), ""))
    return parts.map(lambda read: Generation(int(numbers[0]), int(numbers[1]), read))


def _read_parts(text: str) -> Result[tuple[PromptPart, ...], Refusal]:
    parts: list[PromptPart] = []
    for entry in text.split(",")[:_MOST_PARTS] if text else []:
        name, _, tokens = entry.strip().partition(":")
        if not name or not tokens.isdigit():
            remedy = "send each part as ID:TOKENS, with commas between them"
            return Err(_bad(names.PROMPT_PARTS, f"{entry!r} is no part of a prompt", remedy))
        parts.append(PromptPart(name, int(tokens)))
    return Ok(tuple(parts))


def _bad(header: str, message: str, remedy: str) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, message, header, remedy)
