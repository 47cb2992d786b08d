"""Hash a prompt in blocks, so that routing can find engines that cached its beginning."""

from collections.abc import Sequence

import xxhash

BLOCK_CHARACTERS = 256
"""Length of a block; the targets' cache events are cut the same way."""

MAX_BLOCKS = 64
"""Only this many blocks are hashed: a longer prefix hardly changes the choice."""


def prefix_hashes(texts: Sequence[str]) -> tuple[bytes, ...]:
    """Return the chain of hashes of the whole blocks of the concatenated ``texts``.

    >>> prefix_hashes(["a" * 300]) == (xxhash.xxh64_digest(b"a" * 256),)
    True
    """
    text = "".join(texts)
    whole_blocks = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS)
    hashes: list[bytes] = []
    previous = b""
    for number in range(whole_blocks):
        start = number * BLOCK_CHARACTERS
        block = text[start : start + BLOCK_CHARACTERS].encode("utf-8", "surrogatepass")
        previous = xxhash.xxh64_digest(previous + block)
        hashes.append(previous)
    return tuple(hashes)
