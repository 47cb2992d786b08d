"""Make a whole fleet's settings on loopback, feed it requests and check its bills."""

from cranberrywall.demo._deployments import (
    EXAMPLES,
    PARKING_LESSORS,
    SAVINGS_BOARD,
    Deployment,
    DeploymentName,
    read_deployment,
)
from cranberrywall.demo._files import FleetFiles, FleetSize, write_fleet
from cranberrywall.demo._ledger import FleetClient, Totals, make_fleet_client
from cranberrywall.demo._proof import Proof, prove, sum_proofs
from cranberrywall.demo._requests import DemoRequest, demo_credits, demo_requests
from cranberrywall.demo._targets import Ran, Targets, start_targets
from cranberrywall.demo._waiting import wait_for_targets, wait_until_ready

__all__ = [
    "EXAMPLES",
    "PARKING_LESSORS",
    "SAVINGS_BOARD",
    "DemoRequest",
    "Deployment",
    "DeploymentName",
    "FleetClient",
    "FleetFiles",
    "FleetSize",
    "Proof",
    "Ran",
    "Targets",
    "Totals",
    "demo_credits",
    "demo_requests",
    "make_fleet_client",
    "prove",
    "read_deployment",
    "start_targets",
    "sum_proofs",
    "wait_for_targets",
    "wait_until_ready",
    "write_fleet",
]
