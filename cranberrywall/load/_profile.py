"""Define the shape of a load profile, and read one."""

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal

Seconds = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Weight = Annotated[float, Meta(gt=0)]
Url = Annotated[str, Meta(pattern=r"^https?://[0-9.]+:\d{1,5}$")]

LONGEST_S = 3600.0
MOST_REQUESTS = 1_000_000


class Arrivals(TypedDict):
    """Describe when requests are sent; ``rate`` is requests a second on average.

    ``bursts`` sends at twice the rate for a second and nothing for the next.
    """

    process: Literal["poisson", "constant", "bursts"]
    rate: Annotated[float, Meta(gt=0, le=20_000)]


class Sizes(TypedDict):
    """Give the bounds of a size that is drawn evenly between them, both included."""

    low: Count
    high: Count


class Retries(TypedDict):
    """Bound the retries of one request, all with its Idempotency-Key.

    ``wait_s`` is waited where the answer has no ``Retry-After``; ``longest_wait_s`` cuts
    one that asks for more.
    """

    most: Annotated[int, Meta(ge=0, le=100)]
    wait_s: Seconds
    longest_wait_s: Seconds


class LoadWorkspace(TypedDict):
    """Name a workspace, its bearer key and its weight in the mix."""

    key: str
    weight: Weight


class ChatMix(TypedDict):
    """Describe chat completions.

    A prompt begins with one of ``prefixes`` shared beginnings of ``prefix_characters``.
    ``repeat`` is the share that is sent twice at once with one Idempotency-Key.
    """

    weight: Weight
    model: str
    stream: bool
    prompt_characters: Sizes
    max_tokens: Sizes
    prefixes: NotRequired[Count]
    prefix_characters: NotRequired[Count]
    priority: NotRequired[str]
    deadline_s: NotRequired[Seconds]
    repeat: NotRequired[Share]


class ServiceMix(TypedDict):
    """Describe calls to a plain service; ``{number}`` in ``path`` becomes a number."""

    weight: Weight
    service: str
    method: Literal["GET", "POST", "PUT", "DELETE"]
    path: Annotated[str, Meta(pattern="^/")]
    body_characters: NotRequired[Sizes]
    priority: NotRequired[str]
    deadline_s: NotRequired[Seconds]
    repeat: NotRequired[Share]


class Profile(TypedDict):
    """Hold one load profile.

    ``callers`` keep their own list of addresses each, for as long as its time to live
    says, or ``keep_addresses_s`` where it is given (a caller that keeps it too long).
    ``in_flight`` bounds the requests in progress; an arrival above it waits.
    """

    seed: int
    duration_s: Annotated[float, Meta(gt=0, le=LONGEST_S)]
    arrivals: Arrivals
    in_flight: Count
    callers: Count
    timeout_s: Seconds
    entries: list[Url]
    workspaces: dict[str, LoadWorkspace]
    chats: NotRequired[dict[str, ChatMix]]
    services: NotRequired[dict[str, ServiceMix]]
    retries: Retries
    keep_addresses_s: NotRequired[Seconds]


def read_profile(text: str) -> Result[Profile, Refusal]:
    """Read a profile from YAML; ``Err`` names the field and the remedy."""
    try:
        profile = msgspec.yaml.decode(text, type=Profile)
    except msgspec.DecodeError as error:
        message, _, path = str(error).partition(" - at ")
        return _bad(path.strip("`$."), message, "see docs/reference/load-profiles.md")
    return _check(profile)


def _check(profile: Profile) -> Result[Profile, Refusal]:
    if not profile["entries"]:
        return _bad("entries", "no entry host is named", "give the URL of one at least")
    if not profile["workspaces"]:
        return _bad("workspaces", "no workspace is named", "give one with its key")
    if not (profile.get("chats") or profile.get("services")):
        return _bad("chats", "nothing is sent", "give a mix under chats or services")
    if profile["arrivals"]["rate"] * profile["duration_s"] > MOST_REQUESTS:
        return _bad(
            "arrivals.rate",
            f"more than {MOST_REQUESTS} requests in all",
            "lower the rate or duration_s",
        )
    return _check_sizes(profile)


def _check_sizes(profile: Profile) -> Result[Profile, Refusal]:
    for name, chat in profile.get("chats", {}).items():
        sizes_by_field = {
            "prompt_characters": chat["prompt_characters"],
            "max_tokens": chat["max_tokens"],
        }
        for field, sizes in sizes_by_field.items():
            if sizes["low"] > sizes["high"]:
                return _bad(f"chats.{name}.{field}", "low is above high", "swap them")
    return Ok(profile)


def _bad(field: str, message: str, remedy: str) -> Result[Profile, Refusal]:
    return Err(Refusal(ErrorKind.BAD_REQUEST, message=message, field=field, remedy=remedy))
