"""Read and check the one settings file of a process."""

import ipaddress
import os
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from cranberrywall.settings._defaults import with_defaults
from cranberrywall.settings._keys import load_fleet_keys
from cranberrywall.settings._problem import Problem
from cranberrywall.settings._settings import Settings
from cranberrywall.settings._shape import check_shape
from cranberrywall.settings._tls import check_tls, resolve_tls_paths
from cranberrywall.settings._yaml import read_yaml

_ANY_ADDRESS = "0.0.0.0"
_HIGHEST_PORT = 65535
_CODE_BY_PATH = {"data": "S010", "fleet_key": "S011"}
_LISTEN_BY_PROCESS = {
    "entry": ("links", "http"),
    "control": ("links",),
    "console": ("http",),
}


def load_settings(path: str) -> Result[Settings, list[Problem]]:
    """Return the settings in force, defaults included, or every problem found.

    Relative paths in the file are taken from the file's folder, and returned absolute.
    """
    file = Path(path)
    read = read_yaml(file)
    if isinstance(read, Err):
        return Err([read.err_value])
    document = read.ok_value
    problems = list(check_shape(document, Settings))
    if problems:
        return Err(problems)
    problems = list(_check_paths(document, file.parent))
    if problems:
        return Err(problems)
    _resolve_paths(document, file.parent)
    problems = list(_check_meaning(document))
    if problems:
        return Err(problems)
    return Ok(with_defaults(document))


def _check_paths(document: dict[str, Any], folder: Path) -> Iterator[Problem]:
    """Yield a problem for each path that cannot be looked up; one that is missing can."""
    for name, code in _CODE_BY_PATH.items():
        if name not in document:
            continue
        try:
            os.stat(folder / document[name])
        except (FileNotFoundError, NotADirectoryError):
            continue
        except (OSError, ValueError) as error:
            # Too long, a NUL in it, links in a circle, or no right to look: later checks
            # would end in a traceback.
            reason = getattr(error, "strerror", None) or str(error)
            yield Problem(code, name, f"cannot be looked up: {reason}", "give another path")


def _resolve_paths(document: dict[str, Any], folder: Path) -> None:
    for name in _CODE_BY_PATH:
        if name in document:
            document[name] = str((folder / document[name]).resolve())
    resolve_tls_paths(document.get("tls", {}), folder)


def _check_meaning(document: dict[str, Any]) -> Iterator[Problem]:
    yield from _check_addresses(document)
    yield from _check_process(document)
    yield from _check_repeats(document)
    yield from _check_data(document)
    keys = load_fleet_keys(document["fleet_key"])
    if isinstance(keys, Err):
        yield from keys.err_value
    yield from check_tls(document.get("tls", {}), document["host"], time.time())


def _addresses(document: dict[str, Any]) -> Iterator[tuple[str, str, bool]]:
    """Yield field, address, and whether port 0 (any free one) may stand there."""
    for name, address in document["listen"].items():
        yield f"listen.{name}", address, True
    for section in ("controls", "peers"):
        for number, remote in enumerate(document.get(section, [])):
            yield f"{section}[{number}].links", remote["links"], False
    for number, address in enumerate(document.get("seeds", [])):
        yield f"seeds[{number}]", address, False


def _check_addresses(document: dict[str, Any]) -> Iterator[Problem]:
    for field, address, may_be_any in _addresses(document):
        host, _, port = address.rpartition(":")
        try:
            ipaddress.IPv4Address(host)
        except ValueError:
            remedy = "give four numbers from 0 to 255, such as 10.1.0.5:7001"
            yield Problem("S007", field, f"`{host}` is no IP number", remedy)
        if int(port) > _HIGHEST_PORT or (int(port) == 0 and not may_be_any):
            remedy = f"give a port from 1 to {_HIGHEST_PORT}"
            yield Problem("S007", field, f"`{port}` is no port", remedy)
        if host == _ANY_ADDRESS and _is_told(field, document["process"]):
            # Other hosts and callers connect to this address. Told `0.0.0.0`, each would
            # connect to itself.
            remedy = "give the host's own IP number"
            yield Problem("S007", field, f"`{host}` is told to others as the address", remedy)


def _is_told(field: str, process: str) -> bool:
    return field.endswith("links") or (field == "listen.http" and process == "entry")


def _check_process(document: dict[str, Any]) -> Iterator[Problem]:
    process = document["process"]
    for name in _LISTEN_BY_PROCESS[process]:
        if name not in document["listen"]:
            message = f"is missing, and the {process} process needs it"
            yield Problem("S014", f"listen.{name}", message, f"add `{name}: IP:PORT`")
    if process in ("control", "console") and "data" not in document:
        message = f"is missing, and the {process} process keeps its state in files"
        yield Problem("S014", "data", message, "add `data: FOLDER`")
    if not document["controls"] and not document.get("seeds"):
        message = "is empty, and every process needs the control hosts"
        remedy = "list each control host with its address, or give `seeds`"
        yield Problem("S014", "controls", message, remedy)


def _check_repeats(document: dict[str, Any]) -> Iterator[Problem]:
    # Port 0 is any free port, so that several may stand side by side.
    listening = [address for address in document["listen"].values() if not address.endswith(":0")]
    yield from _repeats("listen", listening)
    yield from _repeats("seeds", document.get("seeds", []))
    for section in ("controls", "peers"):
        remotes = document.get(section, [])
        yield from _repeats(section, [remote["host"] for remote in remotes])
        yield from _repeats(section, [remote["links"] for remote in remotes])


def _repeats(field: str, values: list[str]) -> Iterator[Problem]:
    for value, count in Counter(values).items():
        if count > 1:
            remedy = "give each its own, or take one out"
            yield Problem("S015", field, f"`{value}` stands {count} times", remedy)


def _check_data(document: dict[str, Any]) -> Iterator[Problem]:
    folder = document.get("data")
    if folder is None:
        return
    if not Path(folder).is_dir():
        message = f"there is no folder {folder}"
        yield Problem("S010", "data", message, f"run `mkdir -p {folder}` on the data disk")
    elif not os.access(folder, os.R_OK | os.W_OK | os.X_OK):
        message = f"this user may not write to {folder}"
        yield Problem("S010", "data", message, f"run `chown` or `chmod u+rwx {folder}`")
