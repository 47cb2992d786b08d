"""Define what the other packages read of the configuration in force."""

from typing import NamedTuple, Protocol

from cranberrywall.configuration._document import Document, Workspace


class NamedWorkspace(NamedTuple):
    """Pair a workspace with its name."""

    name: str
    workspace: Workspace


class Configuration(Protocol):
    """Read the configuration in force on this host; it only moves forward."""

    @property
    def revision(self) -> int:
        """Return the revision in force; 0 before any."""
        ...

    @property
    def document(self) -> Document:
        """Return the document in force; an empty one before any."""
        ...

    def workspace_by_key(self, key: str) -> NamedWorkspace | None:
        """Return the workspace that a caller's bearer key belongs to."""
        ...

    def ledger_group(self, budget: str) -> str:
        """Return the name of the ledger group that keeps ``budget``."""
        ...
