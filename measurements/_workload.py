"""Draw requests as the two first users send them: shared templates and conversations."""

import random
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

CONVERSATION_SHARE = 0.35
MAX_CONVERSATIONS = 200
MAX_PROMPT_BLOCKS = 160
STATUS_RANK = 0
LETTER_RANK = 5


class Request(NamedTuple):
    """Describe one request: when it comes, its prompt's blocks, and its answer's length."""

    at: float
    prefix: tuple[bytes, ...]
    output_tokens: int
    rank: int


class Mix(NamedTuple):
    """Describe a stream of requests.

    ``rate`` is requests a second; ``templates`` is how many prompts' beginnings there are;
    ``status_share`` of the requests are status lookups with short answers. Their prompts
    begin in ``lookups`` short ways of their own, or as the others' where that is 0.
    """

    rate: float
    templates: int
    status_share: float = 0.4
    lookups: int = 0


def draw_requests(mix: Mix, duration_s: float, seed: int) -> Iterator[Request]:
    """Return requests in the order of their times."""
    source = random.Random(seed)
    templates = [
        _blocks(b"template", seed, i, source.randint(20, 100)) for i in range(mix.templates)
    ]
    weights = [1.0 / (rank + 1) for rank in range(mix.templates)]
    lookups = [_blocks(b"lookup", seed, i, source.randint(4, 12)) for i in range(mix.lookups)]
    conversations: list[tuple[bytes, ...]] = []
    at = 0.0
    number = 0
    while (at := at + source.expovariate(mix.rate)) < duration_s:
        number += 1
        status = source.random() < mix.status_share
        if status and mix.lookups:
            base = lookups[source.randrange(mix.lookups)]
            prefix = base + _blocks(b"tail", seed, number, 1)
            yield Request(at, prefix, source.randint(10, 30), STATUS_RANK)
            continue
        if conversations and source.random() < CONVERSATION_SHARE:
            base = conversations[source.randrange(len(conversations))]
        else:
            base = source.choices(templates, weights)[0]
        prefix = base + _blocks(b"tail", seed, number, source.randint(1, 6))
        if len(prefix) < MAX_PROMPT_BLOCKS:
            conversations.append(prefix)
            del conversations[:-MAX_CONVERSATIONS]
        tokens = source.randint(10, 30) if status else source.randint(60, 260)
        yield Request(at, prefix, tokens, STATUS_RANK if status else LETTER_RANK)


def _blocks(label: bytes, seed: int, number: int, count: int) -> tuple[bytes, ...]:
    text = label + b"-%d-%d-" % (seed, number)
    return tuple(xxhash.xxh64_digest(text + b"%d" % block) for block in range(count))
