"""Answer from one revision of the configuration."""

import hashlib
import hmac
from typing import NamedTuple

from cranberrywall.configuration._document import Document, Workspace
from cranberrywall.configuration._edits import apply_edits, empty_document
from cranberrywall.configuration._interfaces import Configuration, NamedWorkspace
from cranberrywall.configuration.messages import Delta
from cranberrywall.control import ledger_group


class KeyOwner(NamedTuple):
    """Pair the digest of a bearer key with the workspace that it belongs to."""

    digest: bytes
    owner: NamedWorkspace


class ActiveConfiguration(NamedTuple):
    """Hold a document with its revision, its chain's hash and the index of its keys."""

    revision: int
    chain: int
    document: Document
    owner_by_digest: dict[bytes, KeyOwner]


def make_in_force(revision: int, chain: int, document: Document) -> ActiveConfiguration:
    """Index a whole document."""
    owner_by_digest: dict[bytes, KeyOwner] = {}
    for name, workspace in document["workspaces"].items():
        _add_keys(owner_by_digest, name, workspace)
    return ActiveConfiguration(revision, chain, document, owner_by_digest)


def make_next_in_force(before: ActiveConfiguration, delta: Delta) -> ActiveConfiguration:
    """Apply ``delta``, and index anew only the workspaces that it edits."""
    document = apply_edits(before.document, delta.edits)
    names = [edit.name for edit in delta.edits if edit.section == "workspaces"]
    owner_by_digest = before.owner_by_digest
    if names:
        owner_by_digest = dict(owner_by_digest)
    # All old keys go before any new one comes: a key may pass from one to another.
    for name in names:
        _remove_keys(owner_by_digest, before.document["workspaces"].get(name))
    for name in names:
        if name in document["workspaces"]:
            _add_keys(owner_by_digest, name, document["workspaces"][name])
    return ActiveConfiguration(delta.revision.number, delta.chain, document, owner_by_digest)


def _add_keys(owner_by_digest: dict[bytes, KeyOwner], name: str, workspace: Workspace) -> None:
    for key in workspace["keys"].values():
        digest = bytes.fromhex(key["sha256"])
        owner_by_digest[digest] = KeyOwner(digest, NamedWorkspace(name, workspace))


def _remove_keys(owner_by_digest: dict[bytes, KeyOwner], workspace: Workspace | None) -> None:
    for key in workspace["keys"].values() if workspace else ():
        owner_by_digest.pop(bytes.fromhex(key["sha256"]), None)


def nothing_in_force() -> ActiveConfiguration:
    """Return what a host has before any revision."""
    return make_in_force(0, 0, empty_document())


class ServedConfiguration:
    """Implement ``Configuration`` over one revision, which a subclass may replace."""

    def __init__(self, in_force: ActiveConfiguration) -> None:
        self._in_force = in_force

    @property
    def revision(self) -> int:
        """Return the revision in force; 0 before any."""
        return self._in_force.revision

    @property
    def document(self) -> Document:
        """Return the document in force; an empty one before any."""
        return self._in_force.document

    def workspace_by_key(self, key: str) -> NamedWorkspace | None:
        """Return the workspace that a caller's bearer key belongs to.

        The table is searched by the key's SHA-256, never by the key: a caller who measures
        how long the search takes learns of digests, from which no key can be made. The
        match is confirmed in constant time.
        """
        digest = hashlib.sha256(key.encode()).digest()
        found = self._in_force.owner_by_digest.get(digest)
        if found is None or not hmac.compare_digest(found.digest, digest):
            return None
        return found.owner

    def ledger_group(self, budget: str) -> str:
        """Return the name of the ledger group that keeps ``budget``."""
        return ledger_group(budget, self.document["ledger_groups"])


def make_fixed_configuration(document: Document, revision: int = 1) -> Configuration:
    """Return a ``Configuration`` that never changes, for tools and tests."""
    return ServedConfiguration(make_in_force(revision, 0, document))
