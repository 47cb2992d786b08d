"""Define the shape of a process's settings file."""

from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

from cranberrywall.settings._units import DURATION_PATTERN, SIZE_PATTERN

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
FilePath = Annotated[str, Meta(pattern=r"^[^\x00]+$")]
Duration = Annotated[str, Meta(pattern=DURATION_PATTERN)]
Size = Annotated[str, Meta(pattern=SIZE_PATTERN)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]


class Listen(TypedDict):
    """Give the addresses to bind: streams, callers' and targets' HTTP, and operators' HTTP.

    ``admin`` serves ``/metrics``, ``/state``, ``/healthz`` and ``/readyz``.
    """

    links: NotRequired[Address]
    http: NotRequired[Address]
    admin: Address


class Remote(TypedDict):
    """Name another process and its ``links`` address."""

    host: Name
    links: Address


class Log(TypedDict):
    """Choose what is logged, to standard error."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class Streams(TypedDict):
    """Bound the streams between processes, for each connection."""

    frame: NotRequired[Size]
    queued: NotRequired[Size]
    calls: NotRequired[Count]
    dial_timeout: NotRequired[Duration]
    handshake_timeout: NotRequired[Duration]
    write_timeout: NotRequired[Duration]


class MembershipTimes(TypedDict):
    """Pace the heartbeats between entry hosts."""

    period: NotRequired[Duration]
    probe_timeout: NotRequired[Duration]
    suspicion: NotRequired[Duration]


class Callers(TypedDict):
    """Say what callers may send and how long they keep addresses."""

    body: NotRequired[Size]
    address_ttl: NotRequired[Duration]


class TlsCallers(TypedDict):
    """Name the files for HTTPS towards callers, targets and operators."""

    certificate: FilePath
    key: FilePath


class Tls(TypedDict):
    """Name the PEM files of certificates and keys; ``callers`` is for HTTPS.

    ``reread`` is how often the files are looked at again.
    """

    certificate: NotRequired[FilePath]
    key: NotRequired[FilePath]
    authorities: NotRequired[FilePath]
    reread: NotRequired[Duration]
    callers: NotRequired[TlsCallers]


class Settings(TypedDict):
    """Hold one process's settings.

    ``data`` is the one data folder, absent on a host without a disk. ``fleet_key`` is the
    path of the file that holds the fleet's shared key. ``controls`` are the control
    hosts, ``peers`` the entry hosts to join by. ``seeds`` are stream addresses of a few
    control hosts through which all others are found, in place of both; a control host among
    them that is ``founding`` forms the groups together with the other seeds. What
    may be left out has its value in ``DEFAULTS``.
    """

    process: Literal["entry", "control", "console"]
    host: Name
    place: Name
    listen: Listen
    controls: list[Remote]
    peers: NotRequired[list[Remote]]
    seeds: NotRequired[list[Address]]
    founding: NotRequired[bool]
    data: NotRequired[str]
    fleet_key: str
    ledger_groups: NotRequired[Annotated[int, Meta(ge=1, le=64)]]
    log: NotRequired[Log]
    streams: NotRequired[Streams]
    membership: NotRequired[MembershipTimes]
    callers: NotRequired[Callers]
    tls: NotRequired[Tls]
