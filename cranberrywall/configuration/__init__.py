"""Keep the one validated document that is the configuration in force."""

from cranberrywall.configuration._document import (
    Budget,
    Document,
    Host,
    Key,
    Model,
    Place,
    Policy,
    Priority,
    Reach,
    Service,
    Workspace,
)
from cranberrywall.configuration._interfaces import Configuration

__all__ = [
    "Budget",
    "Configuration",
    "Document",
    "Host",
    "Key",
    "Model",
    "Place",
    "Policy",
    "Priority",
    "Reach",
    "Service",
    "Workspace",
]
