"""Check a document read from YAML against a ``TypedDict``, and name every problem."""

import difflib
from collections.abc import Iterator, Mapping
from typing import (
    Annotated,
    Any,
    Literal,
    NamedTuple,
    NotRequired,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec

from cranberrywall.settings._problem import Problem
from cranberrywall.settings._settings import Address, Duration, FilePath, Name, Size


class _Leaf(NamedTuple):
    """Say how a wrong value of one type is reported."""

    code: str
    message: str
    remedy: str


_LEAF_BY_TYPE: dict[Any, _Leaf] = {
    Address: _Leaf("S007", "is no address", "give an IP number and a port, such as 127.0.0.1:7001"),
    Name: _Leaf("S008", "is no name", "use small letters, digits, dots and dashes, 63 at most"),
    FilePath: _Leaf("S008", "is no path", "name a file or folder, in one line of text"),
    Duration: _Leaf("S006", "is no duration", "give a number with its unit: 250ms, 2s, 5min or 1h"),
    Size: _Leaf("S006", "is no size", "give a whole number with its unit: 512B, 64KiB or 8MiB"),
}

_PLAIN_NAME_BY_TYPE: dict[Any, str] = {
    str: "a text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


def check_shape(value: Any, shape: Any, field: str = "") -> Iterator[Problem]:
    """Yield a problem for each place in ``value`` that does not fit ``shape``."""
    origin = get_origin(shape)
    if hasattr(shape, "__required_keys__"):
        yield from _check_mapping(value, shape, field)
    elif origin is list:
        yield from _check_list(value, get_args(shape)[0], field)
    elif origin is Literal:
        yield from _check_choice(value, get_args(shape), field)
    else:
        yield from _check_leaf(value, shape, field)


def _check_mapping(value: Any, shape: Any, field: str) -> Iterator[Problem]:
    if not isinstance(value, Mapping):
        remedy = "write `key: value` lines below it"
        yield Problem("S005", field or "file", f"is {_kind(value)}, not a mapping", remedy)
        return
    hints = get_type_hints(shape, include_extras=True)
    for key in value:
        if key not in hints:
            yield _unknown(str(key), list(hints), field)
    for key, hint in hints.items():
        below = f"{field}.{key}" if field else key
        if key in value:
            yield from check_shape(value[key], _without_not_required(hint), below)
        elif key in shape.__required_keys__:
            yield Problem("S004", below, "is missing", f"add `{key}:` with its value")


def _without_not_required(hint: Any) -> Any:
    return get_args(hint)[0] if get_origin(hint) is NotRequired else hint


def _unknown(key: str, known: list[str], field: str) -> Problem:
    closest = difflib.get_close_matches(key, known, n=1, cutoff=0.5)
    where = f"{field}.{key}" if field else key
    remedy = f"write `{closest[0]}`" if closest else f"use one of: {', '.join(sorted(known))}"
    return Problem("S003", where, "is no setting", remedy)


def _check_list(value: Any, item: Any, field: str) -> Iterator[Problem]:
    if not isinstance(value, list):
        remedy = "write `- ` lines below it"
        yield Problem("S005", field, f"is {_kind(value)}, not a list", remedy)
        return
    for number, one in enumerate(value):
        yield from check_shape(one, item, f"{field}[{number}]")


def _check_choice(value: Any, choices: tuple[Any, ...], field: str) -> Iterator[Problem]:
    if value not in choices:
        listed = ", ".join(str(choice) for choice in choices)
        yield Problem("S009", field, f"{_shown(value)} is no choice", f"use one of: {listed}")


def _check_leaf(value: Any, shape: Any, field: str) -> Iterator[Problem]:
    plain = get_args(shape)[0] if get_origin(shape) is Annotated else shape
    leaf = _LEAF_BY_TYPE.get(shape)
    if leaf is not None and not isinstance(value, str):
        # YAML reads a bare number, as in `period: 2`, as one: the unit is what is missing.
        has_no_unit = leaf.code == "S006" and isinstance(value, int | float)
        code = "S006" if has_no_unit else "S005"
        yield Problem(code, field, f"{_shown(value)} {leaf.message}", leaf.remedy)
        return
    if type(value) is not plain and not (plain is float and type(value) is int):
        expected = _PLAIN_NAME_BY_TYPE[plain]
        remedy = f"give {expected}" + (" in quotes" if plain is str else "")
        yield Problem("S005", field, f"is {_kind(value)}, not {expected}", remedy)
        return
    try:
        msgspec.convert(value, shape)
    except msgspec.ValidationError as error:
        if leaf is not None:
            yield Problem(leaf.code, field, f"{_shown(value)} {leaf.message}", leaf.remedy)
        else:
            yield Problem("S009", field, f"{_shown(value)} is out of range", str(error))


def _kind(value: Any) -> str:
    if value is None:
        return "empty"
    if isinstance(value, Mapping):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    return _PLAIN_NAME_BY_TYPE.get(type(value), f"a {type(value).__name__}")


def _shown(value: Any) -> str:
    return f"`{value}`"[:80]
