"""Reach the fleet from a command: options, connection, errors and exit codes."""

import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple, NoReturn

import click
import uvloop
import yaml
from result import Err, Ok, Result

from cranberrywall.budgets import LedgerClient, make_ledger_client
from cranberrywall.commands.ctl._exits import Exit, exit_for
from cranberrywall.commands.ctl._output import print_json
from cranberrywall.configuration import ConfigurationClient, Document
from cranberrywall.control import MembersClient, make_control_client
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Peer, make_caller
from cranberrywall.observability import configure_log
from cranberrywall.runtime import (
    Clock,
    StreamContexts,
    make_clock,
    make_network,
    make_random,
)
from cranberrywall.settings import (
    Tls,
    check_shape,
    check_tls,
    load_fleet_keys,
    resolve_tls_paths,
    tls_files_of,
)
from cranberrywall.tls import TlsKeeper

OPERATOR_HOST = "cranberrywallctl"
"""The host that commands call themselves, and that their certificate must name."""


class Options(NamedTuple):
    """Hold the options that every command has; ``timeout`` is in seconds.

    ``tls`` names the files for TLS on the streams; an empty section means none.
    """

    controls: tuple[str, ...]
    key: str
    operator: str
    timeout: float
    is_json: bool
    tls: Tls = {}


class Session:
    """Hold the clients of one command."""

    def __init__(
        self, control: MembersClient, caller: Caller, clock: Clock, options: Options
    ) -> None:
        self.control = control
        self.caller = caller
        self.clock = clock
        self.options = options
        self.configuration = ConfigurationClient(control, options.timeout)

    @property
    def timeout(self) -> float:
        """Return how long one call may take, in seconds."""
        return self.options.timeout

    async def document(self) -> Result[Document, Refusal]:
        """Return the configuration in force; ``Err`` before the first one."""
        found = await self.configuration.document()
        if isinstance(found, Err):
            return Err(found.err_value)
        if not found.ok_value.revision:
            remedy = "apply one with: cranberrywallctl apply FILE --based-on 0"
            return Err(Refusal(ErrorKind.NOT_READY, "there is no configuration yet", "", remedy))
        document: Any = found.ok_value.document
        return Ok(document)

    async def ledger(self) -> Result[LedgerClient, Refusal]:
        """Return a client of the ledger groups that the configuration names."""
        document = await self.document()
        return document.map(lambda found: make_ledger_client(self.control, found["ledger_groups"]))


Connect = Callable[[Options], AbstractAsyncContextManager[Session]]
Work = Callable[[Session], Awaitable[Result[None, Refusal]]]


class Ctl:
    """Run a command's work in a session, and exit as its result says."""

    def __init__(self, options: Options, connect: Connect) -> None:
        self.options = options
        self._connect = connect

    def run(self, work: Work) -> None:
        """Run ``work``; print its refusal and exit with its code where it fails."""

        async def run_connected() -> Result[None, Refusal]:
            async with self._connect(self.options) as session:
                return await work(session)

        self.run_alone(run_connected)

    def run_alone(self, work: Callable[[], Coroutine[Any, Any, Result[None, Refusal]]]) -> None:
        """Run ``work`` without control hosts."""
        result = uvloop.run(work())
        if isinstance(result, Err):
            self.fail(result.err_value)

    def fail(self, refusal: Refusal) -> NoReturn:
        """Print a refusal with its remedy, and exit with its code."""
        if self.options.is_json:
            print_json({"error": refusal})
        click.echo(f"error: {refusal}", err=True)
        sys.exit(exit_for(refusal.kind))

    def fail_input(self, message: str, field: str, remedy: str) -> NoReturn:
        """Exit because of what the operator gave."""
        self.fail(Refusal(ErrorKind.BAD_REQUEST, message, field, remedy))


pass_ctl = click.make_pass_decorator(Ctl)


@asynccontextmanager
async def connect_to_fleet(options: Options) -> AsyncIterator[Session]:
    """Open streams to the control hosts that the options name."""
    if not options.controls:
        _exit_wrong("no control host is named (remedy: give --fleet FILE or --controls)")
    keys = load_fleet_keys(options.key)
    if isinstance(keys, Err):
        _exit_wrong("; ".join(str(problem) for problem in keys.err_value))
    # What the streams log is for processes that go on; here the refusal says it.
    configure_log("cranberrywallctl", "operator", "-", "ERROR")
    clock, random = make_clock(), make_random()
    me = Peer(OPERATOR_HOST, "operator", int(clock.wall() * 1000))
    network = make_network(_stream_contexts(options.tls, clock))
    caller = make_caller(network, clock, random, keys.ok_value.fleet, me)
    try:
        control = make_control_client(caller, clock, options.controls, random)
        yield Session(control, caller, clock, options)
    finally:
        await caller.close()


def _stream_contexts(section: Tls, clock: Clock) -> StreamContexts | None:
    problems = list(check_tls(section, OPERATOR_HOST, clock.wall()))
    if problems:
        _exit_wrong("; ".join(str(problem) for problem in problems))
    if tls_files_of(section).streams is None:
        return None
    return TlsKeeper(section, OPERATOR_HOST, clock)


class FleetFile(NamedTuple):
    """Hold the control hosts' addresses, the path of the fleet's keys, and the TLS files."""

    controls: tuple[str, ...] = ()
    key: str = ""
    tls: Tls = {}


def read_fleet_file(path: str) -> FleetFile:
    """Return ``controls`` and ``fleet_key`` of a YAML file, such as a process's settings.

    The path of the key is taken from the file's folder.
    """
    try:
        data = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError) as error:
        _exit_wrong(f"fleet: {path} is not readable: {error}")
    controls = data.get("controls") if isinstance(data, dict) else None
    if not isinstance(controls, list) or not all(_is_remote(one) for one in controls):
        _exit_wrong(
            f"fleet: {path} has no list `controls` of `host` and `links` (remedy: give a "
            "process's settings file, or write one with `controls` and `fleet_key`)"
        )
    key = data.get("fleet_key", "")
    tls = _read_tls(path, data.get("tls", {}))
    return FleetFile(
        controls=tuple(one["links"] for one in controls),
        key=str((Path(path).parent / key).resolve()) if key else "",
        tls=tls,
    )


def _read_tls(path: str, section: Any) -> Tls:
    problems = list(check_shape(section, Tls, "tls"))
    if problems:
        _exit_wrong(f"fleet: {path}: " + "; ".join(str(problem) for problem in problems))
    resolve_tls_paths(section, Path(path).parent)
    found: Tls = section
    return found


def _is_remote(value: object) -> bool:
    return isinstance(value, dict) and isinstance(value.get("links"), str)


def _exit_wrong(message: str) -> NoReturn:
    click.echo(f"error: {message}", err=True)
    sys.exit(Exit.WRONG_INPUT)
