"""Read the file of the fleet's secrets."""

import secrets
import stat
from pathlib import Path
from typing import Annotated, NamedTuple, NotRequired, TypedDict

from msgspec import Meta
from result import Err, Ok, Result

from cranberrywall.settings._problem import Problem
from cranberrywall.settings._shape import check_shape
from cranberrywall.settings._yaml import read_yaml

_SECRET_CHARACTERS = 32
_OTHERS = stat.S_IRWXG | stat.S_IRWXO

Secret = Annotated[str, Meta(min_length=_SECRET_CHARACTERS)]


class _KeyFile(TypedDict):
    fleet: Secret
    target: Secret
    admin: NotRequired[Secret]


class FleetKeys(NamedTuple):
    """Hold the secrets: between processes, of targets, and of operators (empty: none)."""

    fleet: bytes
    target: str
    admin: str

    def __repr__(self) -> str:
        """Show no secret, so that none gets into a log or a traceback."""
        return "FleetKeys(hidden)"


def load_fleet_keys(path: str) -> Result[FleetKeys, list[Problem]]:
    """Return the secrets of the file, or every problem with it (``S011`` to ``S013``)."""
    file = Path(path)
    if not file.is_file():
        remedy = "make one with `cranberrywallctl make-keys FILE` and copy it to each host"
        return Err([Problem("S011", "fleet_key", f"there is no file {path}", remedy)])
    mode = stat.S_IMODE(file.stat().st_mode)
    if mode & _OTHERS:
        message = f"others may reach {path} (mode {mode:04o})"
        return Err([Problem("S012", "fleet_key", message, f"run `chmod 600 {path}`")])
    read = read_yaml(file)
    if isinstance(read, Err):
        return Err([read.err_value._replace(code="S013")])
    # A problem's message may quote the value at fault, which here is a secret.
    problems = [_without_value(problem) for problem in check_shape(read.ok_value, _KeyFile)]
    if problems:
        return Err(problems)
    keys: _KeyFile = read.ok_value
    return Ok(FleetKeys(keys["fleet"].encode(), keys["target"], keys.get("admin", "")))


def make_keys_file(path: str) -> None:
    """Write a new file of random secrets that only its owner may read.

    Raise ``FileExistsError`` rather than replace one.
    """
    keys = {name: secrets.token_urlsafe(_SECRET_CHARACTERS) for name in _KeyFile.__annotations__}
    # Programs that get their keys from elsewhere start without the YAML library.
    import yaml

    file = Path(path)
    file.touch(mode=0o600, exist_ok=False)
    file.write_text(yaml.safe_dump(keys, sort_keys=False), encoding="utf-8")


def _without_value(problem: Problem) -> Problem:
    message = problem.message
    if problem.code not in ("S003", "S004"):
        message = f"is no text of at least {_SECRET_CHARACTERS} characters"
    return Problem("S013", f"fleet_key: {problem.field}", message, problem.remedy)
