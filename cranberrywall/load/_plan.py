"""Plan every request of a run beforehand, from the seed alone."""

import random
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from cranberrywall.load._profile import Arrivals, ChatMix, Profile, ServiceMix, Sizes

BURST_S = 1.0
DEFAULT_PREFIXES = 4
MOST_NUMBERS = 100_000

_SYLLABLES = ["ka", "la", "ni", "mu", "po", "se", "ta", "re", "vo", "di", "he", "ru"]


class PlannedRequest(NamedTuple):
    """Hold one request.

    ``at`` is seconds after the start. ``repeat`` says that it is sent twice at once.
    ``tokens`` is the limit of the answer, 0 for a service call.
    """

    at: float
    number: int
    mix: str
    workspace: str
    key: str
    idempotency_key: str
    method: str
    path: str
    body: bytes
    stream: bool
    tokens: int
    priority: str
    deadline_s: float | None
    repeat: bool


class _Call(NamedTuple):
    """Hold what a mix decides of one request."""

    method: str
    path: str
    body: bytes
    stream: bool = False
    tokens: int = 0


def make_plan(profile: Profile, run: str) -> list[PlannedRequest]:
    """Return the requests in the order of their times.

    ``run`` begins every Idempotency-Key, so that a second run is not taken for retries.
    """
    generator = random.Random(profile["seed"])
    planner = _Planner(profile, run, generator)
    times = _arrival_times(profile["arrivals"], profile["duration_s"], generator)
    return [planner.draw(number, at) for number, at in enumerate(times)]


def _arrival_times(
    arrivals: Arrivals, duration_s: float, generator: random.Random
) -> Iterator[float]:
    at = 0.0
    rate = arrivals["rate"]
    while True:
        at += 1 / rate if arrivals["process"] == "constant" else generator.expovariate(rate)
        placed = _squeeze(at) if arrivals["process"] == "bursts" else at
        if placed >= duration_s:
            return
        yield placed


def _squeeze(at: float) -> float:
    # Two seconds of even time are sent within the first of them, at twice the rate.
    whole, rest = divmod(at, 2 * BURST_S)
    return whole * 2 * BURST_S + rest / 2


class _Planner:
    def __init__(self, profile: Profile, run: str, generator: random.Random) -> None:
        self._run = run
        self._generator = generator
        self._key_by_workspace = {
            name: workspace["key"] for name, workspace in profile["workspaces"].items()
        }
        self._workspaces = list(profile["workspaces"])
        self._workspace_weights = [
            workspace["weight"] for workspace in profile["workspaces"].values()
        ]
        self._chat_by_name = profile.get("chats", {})
        self._service_by_name = profile.get("services", {})
        self._names = [*self._chat_by_name, *self._service_by_name]
        self._name_weights = [
            *(chat["weight"] for chat in self._chat_by_name.values()),
            *(service["weight"] for service in self._service_by_name.values()),
        ]

    def draw(self, number: int, at: float) -> PlannedRequest:
        """Draw one request."""
        name = self._generator.choices(self._names, self._name_weights)[0]
        workspace = self._generator.choices(self._workspaces, self._workspace_weights)[0]
        chat = self._chat_by_name.get(name)
        if chat is not None:
            mix: ChatMix | ServiceMix = chat
            call = self._draw_chat(chat, number)
        else:
            mix = self._service_by_name[name]
            call = self._draw_service(mix)
        return PlannedRequest(
            at=at,
            number=number,
            mix=name,
            workspace=workspace,
            key=self._key_by_workspace[workspace],
            idempotency_key=f"{self._run}-{number}",
            method=call.method,
            path=call.path,
            body=call.body,
            stream=call.stream,
            tokens=call.tokens,
            priority=mix.get("priority", ""),
            deadline_s=mix.get("deadline_s"),
            repeat=self._generator.random() < mix.get("repeat", 0.0),
        )

    def _draw_chat(self, chat: ChatMix, number: int) -> _Call:
        tokens = self._size(chat["max_tokens"])
        document = {
            "model": chat["model"],
            "messages": [{"role": "user", "content": self._prompt(chat, number)}],
            "max_tokens": tokens,
            "stream": chat["stream"],
        }
        body = msgspec.json.encode(document)
        return _Call("POST", "/v1/chat/completions", body, chat["stream"], tokens)

    def _draw_service(self, service: ServiceMix) -> _Call:
        path = service["path"].replace("{number}", str(self._generator.randrange(MOST_NUMBERS)))
        sizes = service.get("body_characters")
        body = self._text(self._size(sizes)).encode() if sizes else b""
        return _Call(service["method"], f"/v1/services/{service['service']}{path}", body)

    def _prompt(self, chat: ChatMix, number: int) -> str:
        which = self._generator.randrange(chat.get("prefixes", DEFAULT_PREFIXES))
        prefix = _shared_beginning(chat["model"], which, chat.get("prefix_characters", 1))
        return f"{prefix} {number} {self._text(self._size(chat['prompt_characters']))}"

    def _size(self, sizes: Sizes) -> int:
        return self._generator.randint(sizes["low"], sizes["high"])

    def _text(self, characters: int) -> str:
        words = self._generator.choices(_SYLLABLES, k=characters // 2 + 1)
        return "".join(words)[:characters]


def _shared_beginning(model: str, which: int, characters: int) -> str:
    generator = random.Random(f"{model}/{which}")
    return "".join(generator.choices(_SYLLABLES, k=characters // 2 + 1))[:characters]
