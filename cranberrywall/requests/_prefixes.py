"""Hashes of prompt blocks, by which routing finds engines that cached the prompt's prefix."""

from collections.abc import Sequence

import xxhash

BLOCK_CHARACTERS = 256
"""Length of a block; the cache events of targets use the same length."""

MAX_BLOCKS = 64
"""Maximum number of blocks to hash; a longer prefix hardly changes the choice of target."""


def prefix_hashes(texts: Sequence[str]) -> tuple[bytes, ...]:
    """Return a chain of hashes, one for each complete block of the concatenated ``texts``.

    Each hash covers its block and the hash of the block before it.


    >>> prefix_hashes(["a" * 300]) == (xxhash.xxh64_digest(b"a" * 256),)
    True
    """
    text = "".join(texts)
    block_count = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS)
    hashes: list[bytes] = []
    previous = b""
    for number in range(block_count):
        start = number * BLOCK_CHARACTERS
        block = text[start : start + BLOCK_CHARACTERS].encode("utf-8", "surrogatepass")
        previous = xxhash.xxh64_digest(previous + block)
        hashes.append(previous)
    return tuple(hashes)
