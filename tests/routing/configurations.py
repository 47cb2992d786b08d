"""Build configurations for tests of routing."""

from typing import cast

from cranberrywall.configuration import Document, Workspace


class FixedConfiguration:
    revision = 1

    def __init__(self, concurrent: int = 1000, workspaces: tuple[str, ...] = ("desk",)) -> None:
        workspace = cast(
            Workspace,
            {
                "reach": {"models": ["asistent"], "services": ["vratar"]},
                "concurrent": concurrent,
            },
        )
        self.document = cast(
            Document, {"workspaces": dict.fromkeys(workspaces, workspace), "places": {}}
        )

    def workspace_by_key(self, key: str) -> None:
        return None

    def ledger_group(self, budget: str) -> str:
        return "ledger-0"
