"""Keep this process's certificates in force, and take up new ones without a restart."""

from cranberrywall.tls._authority import (
    FleetCertificates,
    HostNames,
    NamesTakenError,
    make_fleet_certificates,
)
from cranberrywall.tls._keeper import TlsKeeper, look_again_on_signal, make_tls_keeper

__all__ = [
    "FleetCertificates",
    "HostNames",
    "NamesTakenError",
    "TlsKeeper",
    "look_again_on_signal",
    "make_fleet_certificates",
    "make_tls_keeper",
]
