"""Control hosts in one process, with a virtual clock, a fake network and fake disks."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from cranberrywall.budgets import LedgerClient, make_ledger_client
from cranberrywall.budgets.ledger import LEDGER_FEATURES, make_ledger_machine
from cranberrywall.control import ControlHost, make_control_client, make_control_host
from cranberrywall.links import LinkCaller, Peer, make_caller, make_link_server
from cranberrywall.replication import GroupSettings, initial_members_of
from cranberrywall.runtime import Runtime
from tests.fakes.clock import VirtualClock, run_virtual
from tests.fakes.network import FakeFabric, Rule
from tests.fakes.storage import FakeStorage

KEY = b"k" * 32
PORT = 7100
CLIENT_IP = "10.0.1.1"
SETTINGS = GroupSettings(snapshot_bytes=4096, retained_entries=5)


class ControlCluster:
    """Three control hosts with one ledger group, and a client of them."""

    def __init__(self, seed: int) -> None:
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.fabric = FakeFabric(self.clock, self.random, Rule(delay=0.001))
        self.ip_by_host = {f"control-{number}": f"10.0.0.{number}" for number in (1, 2, 3)}
        self.address_by_host = {host: f"{ip}:{PORT}" for host, ip in self.ip_by_host.items()}
        self.storage_by_host = {host: FakeStorage(self.random) for host in self.ip_by_host}
        self.host_by_name: dict[str, ControlHost] = {}
        self.features_by_host: dict[str, tuple[str, ...]] = {}
        self.caller = self._make_caller("entry-a", CLIENT_IP)
        self.client = make_control_client(
            self.caller, self.clock, list(self.address_by_host.values()), self.random
        )
        self.ledger: LedgerClient = make_ledger_client(self.client, 1)

    def _make_caller(self, host: str, ip: str) -> LinkCaller:
        network = self.fabric.network(ip)
        return make_caller(network, self.clock, self.random, KEY, Peer(host, "place", 1))

    async def start(self, host: str) -> None:
        ip = self.ip_by_host[host]
        network = self.fabric.network(ip)
        runtime = Runtime(self.clock, network, self.random, self.storage_by_host[host])
        peer = Peer(host, "place", 1)
        server = make_link_server(network, self.clock, self.address_by_host[host], KEY, peer)
        control = make_control_host(
            host,
            initial_members_of(self.address_by_host, host),
            {"ledger-0": make_ledger_machine()},
            runtime,
            self._make_caller(host, ip),
            server,
            SETTINGS,
            self.features_by_host.get(host, LEDGER_FEATURES),
        )
        await control.start()
        self.host_by_name[host] = control

    async def kill(self, host: str) -> None:
        """Simulate a power loss of a host: data that was not synced is lost."""
        self.storage_by_host[host].crash()
        self.fabric.crash(self.ip_by_host[host])
        await self.host_by_name.pop(host).stop()
        self.storage_by_host[host].restart()

    async def wait_for_leader(self) -> str:
        """Wait until a host leads the group, and return its name."""
        for _ in range(600):
            leaders = [host for host, control in self.host_by_name.items() if control.led_groups()]
            if leaders:
                return leaders[-1]
            await asyncio.sleep(0.1)
        raise AssertionError("no leader was elected within 60 s")

    def isolate(self, host: str, *others: str) -> None:
        """Partition a host from the other control hosts, or from the given IP addresses."""
        for ip in others or [ip for name, ip in self.ip_by_host.items() if name != host]:
            self.fabric.cut(self.ip_by_host[host], ip)

    async def stop(self) -> None:
        for control in self.host_by_name.values():
            await control.stop()
        await self.caller.close()


def run_controls(
    test: Callable[[ControlCluster], Coroutine[Any, Any, None]], seed: int = 1
) -> None:
    """Run ``test`` with three started control hosts, in virtual time."""

    async def main() -> None:
        cluster = ControlCluster(seed)
        for host in cluster.ip_by_host:
            await cluster.start(host)
        try:
            await test(cluster)
        finally:
            await cluster.stop()

    run_virtual(main())
