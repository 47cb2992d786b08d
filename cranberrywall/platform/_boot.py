"""Read the settings file that the platform writes for each process."""

import os
import tomllib
from typing import Any, NamedTuple

import msgspec
from result import Err, Ok, Result

from cranberrywall.settings import FleetKeys, Problem, Settings, with_defaults

PATH_VARIABLE = "CRANBERRYWALL_CONFIG"

FLEET_KEY = b"cranberrywall on the users' platform: no secret is given to its processes"
"""The platform hands out no secret, so the streams' key is the same everywhere and known to all.

It keeps out strangers by mistake, such as a process of another fleet; who may reach the streams at
all is up to the platform's network."""

ADDRESS_TTL_S = 2.0
"""Callers are told to keep addresses for so long, in seconds.

A host that stops is named no more at once, and most callers have left it after this time."""

_REMEDY = "let the platform write the file anew, or give the field by hand as the other fields are"


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""
    directory: str = ""


class _Bounds(msgspec.Struct):
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 54.0
    ttl_max_s: float = 5.0


class _Limits(msgspec.Struct):
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0


class _File(msgspec.Struct):
    node: str
    ip: str
    zone: str
    port_range: list[int]
    seeds: list[str]
    listen: _Listen
    first_start: bool = False
    data_dir: str = ""
    zones: dict[str, str] = {}
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


class Boot(NamedTuple):
    """Hold what the platform tells a process as it starts.

    ``links`` and ``admin`` are this process's own ports between hosts. ``seeds`` are the
    streams' addresses of a few control hosts; every host has them at the same port. ``front``,
    ``ready``, ``control`` and ``directory`` are listening addresses, empty where the process
    does not serve them. ``may_form`` says that the whole system starts for the first time.
    ``grace_s`` is the time from the request to stop until the process is killed. The fleet's
    retries are bounded by ``retry_share`` of its requests and ``retry_slack`` more.
    ``link_bytes_per_s`` is the rate of the machine's link, ``None`` if it is not known.
    ``memory_bytes`` and ``max_fds`` limit the process, and are 0 if they are not known.
    """

    host: str
    place: str
    links: str
    admin: str
    seeds: tuple[str, ...]
    front: str
    ready: str
    control: str
    directory: str
    may_form: bool
    data: str
    region_by_place: dict[str, str]
    grace_s: float
    retry_share: float
    retry_slack: float
    link_bytes_per_s: float | None
    memory_bytes: int
    max_fds: int


def read_boot(path: str) -> Result[Boot, Problem]:
    """Return what the file at ``path`` says, or the problem with it."""
    try:
        with open(path, "rb") as file:
            text = file.read().decode("utf-8")
        return decode_boot(tomllib.loads(text))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Err(Problem("P001", path, f"cannot be read: {error}", _REMEDY))


def path_from_environment() -> str:
    """Return the path of the settings file; empty where none is named."""
    return os.environ.get(PATH_VARIABLE, "")


def decode_boot(fields: dict[str, Any]) -> Result[Boot, Problem]:
    """Return what the fields of a settings file say, or the first problem with them."""
    try:
        file = msgspec.convert(fields, _File, strict=False)
    except msgspec.ValidationError as error:
        return Err(Problem("P002", _field_of(str(error)), str(error), _REMEDY))
    if len(file.port_range) != 2 or not 0 < file.port_range[0] < file.port_range[1] < 65536:
        message = f"{file.port_range} is no pair of rising ports"
        return Err(Problem("P003", "port_range", message, _REMEDY))
    if not file.seeds:
        return Err(Problem("P004", "seeds", "names no control host", _REMEDY))
    return Ok(_boot(file))


def _field_of(message: str) -> str:
    missing = message.partition("missing required field `")[2].partition("`")[0]
    return missing or message.partition("at `$.")[2].rstrip("`") or "settings"


def _boot(file: _File) -> Boot:
    links_port = file.port_range[0]
    return Boot(
        host=file.node,
        place=file.zone,
        links=f"{file.ip}:{links_port}",
        admin=f"{file.ip}:{links_port + 1}",
        seeds=tuple(f"{seed.rpartition(':')[0]}:{links_port}" for seed in file.seeds),
        front=file.listen.front,
        ready=file.listen.ready,
        control=file.listen.control,
        directory=file.listen.directory,
        may_form=file.first_start,
        data=file.data_dir,
        region_by_place=file.zones or {file.zone: file.zone},
        grace_s=file.bounds.grace_s,
        retry_share=file.bounds.retry_ratio,
        retry_slack=file.bounds.retry_slack,
        link_bytes_per_s=file.limits.link_mbps * 1e6 / 8 if file.limits.link_mbps > 0 else None,
        memory_bytes=round(file.limits.memory_mb * 1e6),
        max_fds=file.limits.max_fds,
    )


def settings_of(boot: Boot, process: str) -> Settings:
    """Return the project's settings of a process, ``entry`` or ``control``."""
    listen = {"links": boot.links, "admin": boot.admin}
    if boot.front:
        listen["http"] = boot.front
    settings: dict[str, Any] = {
        "process": process,
        "host": boot.host,
        "place": boot.place,
        "listen": listen,
        "controls": [],
        "seeds": list(boot.seeds),
        "founding": boot.may_form,
        "fleet_key": "",
        "ledger_groups": 1,
        "callers": {"address_ttl": f"{ADDRESS_TTL_S:g}s"},
    }
    if boot.data:
        settings["data"] = boot.data
    return with_defaults(settings)


def fleet_keys() -> FleetKeys:
    """Return the keys of the streams; targets and operators bring none here."""
    return FleetKeys(FLEET_KEY, "", "")
