"""Read the first users' deployments from ``examples/``."""

from pathlib import Path
from typing import NamedTuple

from result import Err

from cranberrywall.configuration import Document, load_document

EXAMPLES = Path(__file__).parents[2] / "examples"


class DeploymentName(NamedTuple):
    """Name an example's folder, the beginning of its demo keys, and its numbers of targets."""

    folder: str
    key_prefix: str
    engines: int
    services: int


SAVINGS_BOARD = DeploymentName("savings-board", "demo-board", engines=9, services=3)
PARKING_LESSORS = DeploymentName("parking-lessors", "demo-parking", engines=9, services=4)


class Deployment(NamedTuple):
    """Hold one deployment: its name, its document, and its one model and service."""

    name: DeploymentName
    document: Document

    @property
    def model(self) -> str:
        """Return the model that the engines serve."""
        return next(iter(self.document["models"]))

    @property
    def service(self) -> str:
        """Return the plain service."""
        return next(iter(self.document["services"]))

    def key(self, workspace: str) -> str:
        """Return the public demo key of a workspace; the document holds only its hash."""
        return f"{self.name.key_prefix}-{workspace}"


def read_deployment(name: DeploymentName, examples: Path = EXAMPLES) -> Deployment:
    """Return an example; raise ``ValueError`` where its document is not valid."""
    result = load_document((examples / name.folder / "configuration.yaml").read_text("utf-8"))
    if isinstance(result, Err):
        raise ValueError("; ".join(str(problem) for problem in result.err_value))
    return Deployment(name, result.ok_value)
