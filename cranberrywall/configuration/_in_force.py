"""Answer from one revision of the configuration."""

import hashlib
import hmac
from typing import NamedTuple

import xxhash

from cranberrywall.configuration._document import Document
from cranberrywall.configuration._edits import empty_document
from cranberrywall.configuration._interfaces import Configuration, NamedWorkspace


class KeyOwner(NamedTuple):
    """Pair the digest of a bearer key with the workspace that it belongs to."""

    digest: bytes
    owner: NamedWorkspace


class InForce(NamedTuple):
    """Hold a document with its revision, its chain's hash and the index of its keys."""

    revision: int
    chain: int
    document: Document
    owner_by_digest: dict[bytes, KeyOwner]


def make_in_force(
    revision: int, chain: int, document: Document, before: InForce | None = None
) -> InForce:
    """Index ``document``; where its workspaces are those of ``before``, keep that index."""
    if before is not None and before.document["workspaces"] is document["workspaces"]:
        return InForce(revision, chain, document, before.owner_by_digest)
    owner_by_digest: dict[bytes, KeyOwner] = {}
    for name, workspace in document["workspaces"].items():
        for key in workspace["keys"].values():
            digest = bytes.fromhex(key["sha256"])
            owner_by_digest[digest] = KeyOwner(digest, NamedWorkspace(name, workspace))
    return InForce(revision, chain, document, owner_by_digest)


def nothing_in_force() -> InForce:
    """Return what a host has before any revision."""
    return make_in_force(0, 0, empty_document())


def workspace_by_key(in_force: InForce, key: str) -> NamedWorkspace | None:
    """Return the workspace of a caller's bearer key.

    The table is searched by the key's SHA-256, never by the key: a caller who measures
    how long the search takes learns of digests, from which no key can be made. The match
    is confirmed in constant time.
    """
    digest = hashlib.sha256(key.encode()).digest()
    found = in_force.owner_by_digest.get(digest)
    if found is None or not hmac.compare_digest(found.digest, digest):
        return None
    return found.owner


def ledger_group_name(budget: str, ledger_groups: int) -> str:
    """Return the name of the ledger group that keeps ``budget``.

    >>> ledger_group_name("desk", 1)
    'ledger-0'
    """
    return f"ledger-{xxhash.xxh64(budget.encode()).intdigest() % ledger_groups}"


def make_fixed_configuration(document: Document, revision: int = 1) -> Configuration:
    """Return a ``Configuration`` that never changes, for tools and tests."""
    return _Fixed(make_in_force(revision, 0, document))


class _Fixed:
    def __init__(self, in_force: InForce) -> None:
        self._in_force = in_force

    @property
    def revision(self) -> int:
        return self._in_force.revision

    @property
    def document(self) -> Document:
        return self._in_force.document

    def workspace_by_key(self, key: str) -> NamedWorkspace | None:
        return workspace_by_key(self._in_force, key)

    def ledger_group(self, budget: str) -> str:
        return ledger_group_name(budget, self.document["ledger_groups"])
