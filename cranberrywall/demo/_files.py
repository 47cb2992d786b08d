"""Write the settings of a whole fleet, on free loopback ports, into one folder."""

import copy
import socket
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import yaml
from result import Err

from cranberrywall.configuration import Document
from cranberrywall.demo._deployments import Deployment
from cranberrywall.settings import FleetKeys, load_fleet_keys, make_keys_file

KEYS_FILE = "fleet.key"

# An entry host drains for as long as callers keep its address; a demo should end soon.
ADDRESS_TTL = "1s"

_LISTENERS_BY_ROLE = {
    "control": ("links", "admin"),
    "entry": ("links", "http", "admin"),
    "console": ("links", "http", "admin"),
}


class FleetSize(NamedTuple):
    """Say how many hosts of each role to take from the deployment's document."""

    controls: int
    entries: int
    consoles: int = 1

    def by_role(self) -> dict[str, int]:
        """Return the number of hosts of each role."""
        return {"control": self.controls, "entry": self.entries, "console": self.consoles}


class FleetHost(NamedTuple):
    """Hold one host: its settings file and the addresses that it listens at."""

    name: str
    role: str
    path: Path
    listen: dict[str, str]


class FleetFiles(NamedTuple):
    """Hold a written fleet; ``document`` names the addresses in use."""

    folder: Path
    document: Document
    keys: FleetKeys
    by_host: dict[str, FleetHost]

    def of_role(self, role: str) -> list[FleetHost]:
        """Return the hosts of one role."""
        return [host for host in self.by_host.values() if host.role == role]

    def entry_urls(self) -> list[str]:
        """Return the entry hosts' addresses for callers."""
        return [f"http://{host.listen['http']}" for host in self.of_role("entry")]

    def control_links(self) -> list[str]:
        """Return the control hosts' addresses for streams."""
        return [host.listen["links"] for host in self.of_role("control")]


def write_fleet(folder: Path, deployment: Deployment, size: FleetSize, net: int) -> FleetFiles:
    """Write the key file, the data folders and a settings file for each host.

    Each host gets an address of its own, ``127.0.NET.n``, and free ports there. A port can
    be taken by another process between this and the host's start; that start then fails.
    """
    folder.mkdir(parents=True, exist_ok=True)
    make_keys_file(str(folder / KEYS_FILE))
    keys = load_fleet_keys(str(folder / KEYS_FILE))
    if isinstance(keys, Err):
        raise ValueError("; ".join(str(problem) for problem in keys.err_value))
    document = copy.deepcopy(deployment.document)
    document["hosts"] = {
        name: host
        for role, count in size.by_role().items()
        for name, host in _of_role(deployment.document, role, count)
    }
    by_host: dict[str, FleetHost] = {}
    for number, (name, host) in enumerate(document["hosts"].items(), start=1):
        role = host["roles"][0]
        listen = _free_addresses(f"127.0.{net}.{number}", _LISTENERS_BY_ROLE[role])
        host["links"] = listen["links"]
        if "http" in listen:
            host["http"] = listen["http"]
        by_host[name] = FleetHost(name, role, folder / f"{name}.yaml", listen)
    files = FleetFiles(folder, document, keys.ok_value, by_host)
    for fleet_host in by_host.values():
        _write_settings(files, fleet_host)
    return files


def _of_role(document: Document, role: str, count: int) -> list[tuple[str, Any]]:
    """Return ``count`` hosts of a role, from as many places as there are."""
    seen_by_place: Counter[str] = Counter()
    ranked: list[tuple[int, str, Any]] = []
    for name, host in document["hosts"].items():
        if host["roles"][0] == role:
            ranked.append((seen_by_place[host["place"]], name, copy.deepcopy(host)))
            seen_by_place[host["place"]] += 1
    ranked.sort(key=lambda ranked_host: ranked_host[0])
    return [(name, host) for _, name, host in ranked[:count]]


def _free_addresses(ip: str, names: tuple[str, ...]) -> dict[str, str]:
    # All are held open until each has its port: the kernel would give one twice.
    sockets = [socket.socket() for _ in names]
    try:
        for bound in sockets:
            bound.bind((ip, 0))
        return {
            name: f"{ip}:{bound.getsockname()[1]}"
            for name, bound in zip(names, sockets, strict=True)
        }
    finally:
        for bound in sockets:
            bound.close()


def _write_settings(files: FleetFiles, host: FleetHost) -> None:
    described = files.document["hosts"][host.name]
    settings: dict[str, Any] = {
        "process": host.role,
        "host": host.name,
        "place": described["place"],
        "listen": host.listen,
        "controls": _remotes(files, "control"),
        "fleet_key": KEYS_FILE,
        "ledger_groups": files.document["ledger_groups"],
        "log": {"level": "WARNING"},
    }
    if host.role == "entry":
        settings["callers"] = {"address_ttl": ADDRESS_TTL}
        peers = [remote for remote in _remotes(files, "entry") if remote["host"] != host.name]
        settings["peers"] = peers
    if described["disk"]:
        (files.folder / "data" / host.name).mkdir(parents=True, exist_ok=True)
        settings["data"] = f"data/{host.name}"
    host.path.write_text(yaml.safe_dump(settings, sort_keys=False), "utf-8")


def _remotes(files: FleetFiles, role: str) -> list[dict[str, str]]:
    return [{"host": host.name, "links": host.listen["links"]} for host in files.of_role(role)]
