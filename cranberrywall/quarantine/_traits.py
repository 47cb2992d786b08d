"""Traits of a request: what it has in common with others, whatever else they hold."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from cranberrywall.quarantine._fingerprint import Fingerprint

Trait = bytes
"""Hash of 8 bytes of one part of a prompt, of a workspace or of a service."""


class Traits(NamedTuple):
    """Traits of one request.

    ``parts`` are those of its prompt that others may share. ``workspace`` and ``service`` limit
    which requests a decision about these parts concerns.
    """

    parts: frozenset[Trait]
    workspace: Trait
    service: Trait

    @property
    def all(self) -> frozenset[Trait]:
        """Return all traits of the request."""
        return self.parts | {self.workspace, self.service}


Pattern = frozenset[Trait]
"""Traits that a request must have, all of them, for a decision to concern it."""

NO_TRAITS = Traits(frozenset(), b"", b"")
"""Traits of a request that shares no part of its prompt with others."""


def traits_of(parts: Iterable[str], workspace: str, service: str) -> Traits:
    """Return the traits of a request, given the names of the parts that it may share.

    >>> one = traits_of(["a", "b"], "desk", "letters")
    >>> one.parts & traits_of(["x", "b"], "desk", "letters").parts == {part_trait("b")}
    True
    """
    return Traits(
        frozenset(part_trait(name) for name in parts),
        _hash("workspace", workspace),
        _hash("service", service),
    )


def fingerprint_of_pattern(pattern: Pattern) -> Fingerprint:
    """Return the hash by which hosts and operators name a pattern."""
    return xxhash.xxh3_128_digest(b"".join(sorted(pattern)))


def part_trait(name: str) -> Trait:
    """Return the trait of a part of a prompt."""
    return _hash("part", name)


def _hash(kind: str, name: str) -> Trait:
    return xxhash.xxh3_64_digest(f"{kind}:{name}".encode("utf-8", "surrogatepass"))
