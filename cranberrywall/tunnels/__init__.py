"""Connections to targets through neighbouring entry hosts, for hosts that cannot connect."""

from cranberrywall.tunnels._client import TunnelClient
from cranberrywall.tunnels._direct_paths import DirectPaths, Way
from cranberrywall.tunnels._neighbours import Neighbours
from cranberrywall.tunnels._paths import Paths
from cranberrywall.tunnels._server import TunnelServer

__all__ = ["DirectPaths", "Neighbours", "Paths", "TunnelClient", "TunnelServer", "Way"]
