"""Block hashes of a prompt. Routers use them to find targets that have cached its prefix."""

import xxhash

from cranberrywall.forwarding._interfaces import PromptPart

BLOCK_TOKENS = 512
"""Number of tokens in a block.

A longer part counts as more blocks. The router therefore prefers a target that has cached a long
part to one that has cached a short part."""

MAX_BLOCKS = 256
"""Maximum number of blocks of one prompt.

The limit keeps the cost of a lookup independent of the prompt's length."""


def blocks_of(parts: tuple[PromptPart, ...]) -> tuple[bytes, ...]:
    """Return the chain of block hashes of all parts but the last, longest prefix last.

    The last part is specific to the request, so no target has cached it. Each hash covers all
    preceding blocks, because a target caches a part only together with those.

    >>> shared = PromptPart("a", 600)
    >>> one = blocks_of((shared, PromptPart("x", 10)))
    >>> one == blocks_of((shared, PromptPart("y", 10))), len(one)
    (True, 2)
    """
    blocks: list[bytes] = []
    chain = 0
    for part in parts[:-1]:
        count = max(1, -(-part.tokens // BLOCK_TOKENS))
        for number in range(min(count, MAX_BLOCKS - len(blocks))):
            chain = xxhash.xxh64_intdigest(f"{part.name}:{number}".encode(), seed=chain)
            blocks.append(chain.to_bytes(8, "big"))
    return tuple(blocks)
