"""Read and check the one settings file of a process.

``settings.options`` makes command lines; programs without one don't import it.
"""

from cranberrywall.settings._defaults import DEFAULTS, with_defaults
from cranberrywall.settings._keys import FleetKeys, load_fleet_keys, make_keys_file
from cranberrywall.settings._load import load_settings
from cranberrywall.settings._problem import Problem
from cranberrywall.settings._settings import (
    Callers,
    Listen,
    Log,
    MembershipTimes,
    Remote,
    Settings,
    Streams,
    Tls,
    TlsCallers,
)
from cranberrywall.settings._shape import check_shape
from cranberrywall.settings._tls import (
    KeyPair,
    TlsFiles,
    check_tls,
    expiry_of,
    resolve_tls_paths,
    tls_files_of,
)
from cranberrywall.settings._units import seconds, size_in_bytes
from cranberrywall.settings._yaml import parse_yaml

__all__ = [
    "DEFAULTS",
    "Callers",
    "FleetKeys",
    "KeyPair",
    "Listen",
    "Log",
    "MembershipTimes",
    "Problem",
    "Remote",
    "Settings",
    "Streams",
    "Tls",
    "TlsCallers",
    "TlsFiles",
    "check_shape",
    "check_tls",
    "expiry_of",
    "load_fleet_keys",
    "load_settings",
    "make_keys_file",
    "parse_yaml",
    "resolve_tls_paths",
    "seconds",
    "size_in_bytes",
    "tls_files_of",
    "with_defaults",
]
