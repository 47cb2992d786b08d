"""Keep the one validated document that is the configuration in force."""

from cranberrywall.configuration._client import ChangeRefusal, ConfigurationClient
from cranberrywall.configuration._document import (
    RANK_OF_ROUTE,
    ArrivalLimits,
    Budget,
    ColdStart,
    Document,
    Engine,
    Evacuation,
    Host,
    Key,
    Model,
    Place,
    Policy,
    Priority,
    Reach,
    Route,
    RouteShare,
    Service,
    WeightStore,
    Workspace,
)
from cranberrywall.configuration._edits import (
    SECTIONS,
    Edit,
    apply_edits,
    edits_between,
    empty_document,
)
from cranberrywall.configuration._evacuation_orders import (
    EvacuationOrders,
    register_known_orders,
)
from cranberrywall.configuration._evacuations import evacuated_places
from cranberrywall.configuration._feed import Feed, make_control_feed
from cranberrywall.configuration._follower import Follower, SpreadTimes, make_follower
from cranberrywall.configuration._host import Applied, HostConfiguration, make_host_configuration
from cranberrywall.configuration._in_force import make_fixed_configuration
from cranberrywall.configuration._interfaces import Configuration, NamedWorkspace
from cranberrywall.configuration._machine import (
    ConfigurationMachine,
    make_configuration_machine,
)
from cranberrywall.configuration._neighbours import Peers, SpreadHost
from cranberrywall.configuration._peers import make_document_peers
from cranberrywall.configuration._yaml import dump_document, load_document
from cranberrywall.configuration.checks import check_document
from cranberrywall.configuration.messages import CONFIGURATION_CODEC

__all__ = [
    "CONFIGURATION_CODEC",
    "RANK_OF_ROUTE",
    "SECTIONS",
    "Applied",
    "ArrivalLimits",
    "Budget",
    "ChangeRefusal",
    "ColdStart",
    "Configuration",
    "ConfigurationClient",
    "ConfigurationMachine",
    "Document",
    "Edit",
    "Engine",
    "Evacuation",
    "EvacuationOrders",
    "Feed",
    "Follower",
    "Host",
    "HostConfiguration",
    "Key",
    "Model",
    "NamedWorkspace",
    "Peers",
    "Place",
    "Policy",
    "Priority",
    "Reach",
    "Route",
    "RouteShare",
    "Service",
    "SpreadHost",
    "SpreadTimes",
    "WeightStore",
    "Workspace",
    "apply_edits",
    "check_document",
    "dump_document",
    "edits_between",
    "empty_document",
    "evacuated_places",
    "load_document",
    "make_configuration_machine",
    "make_control_feed",
    "make_document_peers",
    "make_fixed_configuration",
    "make_follower",
    "make_host_configuration",
    "register_known_orders",
]
