"""Describe a prompt's parts as blocks, by which routers look for what targets have cached."""

import xxhash

from cranberrywall.forwarding._interfaces import PromptPart

BLOCK_TOKENS = 512
"""Tokens in a block. A part counts as several blocks by its length, so that a target which has
a long part is worth a longer way than one that has a short part."""

MOST_BLOCKS = 256
"""Blocks of one prompt at most: a lookup's cost must not follow the prompt's length."""


def blocks_of(parts: tuple[PromptPart, ...]) -> tuple[bytes, ...]:
    """Return the chain of block hashes of all parts but the last, longest prefix last.

    The last part belongs to the request itself, so no target has it. Each hash covers all
    blocks before it: a part is cached only together with those.

    >>> shared = PromptPart("a", 600)
    >>> one = blocks_of((shared, PromptPart("x", 10)))
    >>> one == blocks_of((shared, PromptPart("y", 10))), len(one)
    (True, 2)
    """
    blocks: list[bytes] = []
    chain = 0
    for part in parts[:-1]:
        count = max(1, -(-part.tokens // BLOCK_TOKENS))
        for number in range(min(count, MOST_BLOCKS - len(blocks))):
            chain = xxhash.xxh64_intdigest(f"{part.name}:{number}".encode(), seed=chain)
            blocks.append(chain.to_bytes(8, "big"))
    return tuple(blocks)
