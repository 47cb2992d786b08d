"""Track the targets: announcements, health, load, requested backoffs and cached prefixes."""

from cranberrywall.targets._backoffs import Backoffs
from cranberrywall.targets._connections import (
    ConnectDirectly,
    ConnectionRequest,
    MakeProtocol,
    TargetConnector,
    TargetPaths,
    TargetWithdrawnError,
    connecting_for,
)
from cranberrywall.targets._decimal_field import ABSENT, DecimalField, read_decimal_field
from cranberrywall.targets._health import Health
from cranberrywall.targets._http import ANNOUNCE_PATH, make_announce_routes
from cranberrywall.targets._leaving_updates import HostIncarnation, LeavingUpdates
from cranberrywall.targets._load import GroupMeans, LoadEstimate
from cranberrywall.targets._prefixes import PrefixIndex
from cranberrywall.targets._probes import Probe, Prober, make_http_probe
from cranberrywall.targets._protocol import TargetProtocol, is_valid_status
from cranberrywall.targets._relay import (
    TargetRelay,
    fetch_known_targets,
    fetch_leaving_targets,
    register_cold_notices,
    register_relay,
)
from cranberrywall.targets._targets import (
    TARGET_RETENTION_S,
    TTL_S,
    Change,
    Group,
    Target,
    Targets,
    group_of,
    make_targets,
)
from cranberrywall.targets.checks import read_announcement
from cranberrywall.targets.messages import (
    TARGETS_CODEC,
    Announcement,
    CacheEvent,
    ColdNotice,
    Load,
    TargetIncarnation,
)

__all__ = [
    "is_valid_status",
    "ABSENT",
    "ANNOUNCE_PATH",
    "TARGETS_CODEC",
    "TARGET_RETENTION_S",
    "TTL_S",
    "Announcement",
    "Backoffs",
    "CacheEvent",
    "Change",
    "ColdNotice",
    "ConnectDirectly",
    "ConnectionRequest",
    "DecimalField",
    "HostIncarnation",
    "Group",
    "Health",
    "LeavingUpdates",
    "Load",
    "LoadEstimate",
    "MakeProtocol",
    "TargetWithdrawnError",
    "PrefixIndex",
    "Probe",
    "Prober",
    "Target",
    "TargetConnector",
    "TargetPaths",
    "TargetProtocol",
    "TargetRelay",
    "TargetIncarnation",
    "Targets",
    "GroupMeans",
    "connecting_for",
    "fetch_known_targets",
    "fetch_leaving_targets",
    "group_of",
    "make_announce_routes",
    "make_http_probe",
    "make_targets",
    "read_announcement",
    "read_decimal_field",
    "register_cold_notices",
    "register_relay",
]
