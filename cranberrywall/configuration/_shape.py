"""Compare plain data with a ``TypedDict`` and name every difference by its field path."""

import difflib
from collections.abc import Iterator
from typing import Annotated, Any, get_args, get_origin, get_type_hints, is_typeddict

import msgspec

from cranberrywall.settings import Problem

UNKNOWN_KEY = "C002"
MISSING_KEY = "C003"
WRONG_TYPE = "C004"
WRONG_NAME = "C005"
WRONG_VALUE = "C006"


def join_path(path: str, part: str) -> str:
    """Return the path of ``part`` within ``path``.

    >>> join_path("budgets", "desk"), join_path("", "budgets")
    ('budgets.desk', 'budgets')
    """
    return f"{path}.{part}" if path else part


def closest_name(name: str, names: Iterator[str] | list[str]) -> str | None:
    """Return the one of ``names`` that is spelt most like ``name``, if any is close.

    >>> closest_name("budgest", ["budgets", "places"])
    'budgets'
    """
    matches = difflib.get_close_matches(name, list(names), n=1, cutoff=0.6)
    return matches[0] if matches else None


def shape_problems(value: Any, shape: Any, path: str = "") -> Iterator[Problem]:
    """Yield each place where ``value`` is not of the type ``shape``."""
    bare = _without_annotation(shape)
    if is_typeddict(bare):
        yield from _typed_dict_problems(value, bare, path)
    elif get_origin(bare) is dict:
        yield from _mapping_problems(value, bare, path)
    elif get_origin(bare) is list:
        yield from _list_problems(value, bare, path)
    else:
        yield from _value_problems(value, shape, path)


def _without_annotation(shape: Any) -> Any:
    """Strip ``Annotated`` around a container."""
    if get_origin(shape) is Annotated and get_origin(get_args(shape)[0]) is not None:
        return get_args(shape)[0]
    return shape


def _typed_dict_problems(value: Any, shape: Any, path: str) -> Iterator[Problem]:
    if not isinstance(value, dict):
        yield _not_a_mapping(value, path)
        return
    type_by_key = get_type_hints(shape, include_extras=True)
    for key in value:
        if key not in type_by_key:
            yield _unknown_key(key, list(type_by_key), path)
    for key in sorted(shape.__required_keys__):
        if key not in value:
            yield Problem(MISSING_KEY, join_path(path, key), "is missing", f"add `{key}:`")
    for key, hint in type_by_key.items():
        if key in value:
            yield from shape_problems(value[key], without_marker(hint), join_path(path, key))


def without_marker(hint: Any) -> Any:
    """Return the type within ``NotRequired``."""
    origin = get_origin(hint)
    if origin is not None and getattr(origin, "_name", "") == "NotRequired":
        return get_args(hint)[0]
    return hint


def _mapping_problems(value: Any, shape: Any, path: str) -> Iterator[Problem]:
    if not isinstance(value, dict):
        yield _not_a_mapping(value, path)
        return
    name_type, entry_type = get_args(shape)
    for name, entry in value.items():
        entry_path = join_path(path, str(name))
        if not isinstance(name, str) or _conversion_error(name, name_type):
            yield Problem(
                WRONG_NAME,
                entry_path,
                f"{name!r} is not a name",
                "use lower-case letters, digits, '.' and '-', at most 63, in quotes if a number",
            )
        yield from shape_problems(entry, entry_type, entry_path)


def _list_problems(value: Any, shape: Any, path: str) -> Iterator[Problem]:
    if not isinstance(value, list):
        yield Problem(
            WRONG_TYPE, path, f"must be a list, not {_describe(value)}", "write it as `[a, b]`"
        )
        return
    (item_type,) = get_args(shape)
    for index, item in enumerate(value):
        yield from shape_problems(item, item_type, f"{path}[{index}]")


def _value_problems(value: Any, shape: Any, path: str) -> Iterator[Problem]:
    error = _conversion_error(value, shape)
    if not error:
        return
    if error.startswith("Expected `") and ", got" in error:
        yield Problem(
            WRONG_TYPE, path, f"has the wrong type: {error}", "give a value of the expected type"
        )
    else:
        yield Problem(
            WRONG_VALUE, path, f"{value!r} is not allowed: {error}", "give a value as described"
        )


def _conversion_error(value: Any, shape: Any) -> str:
    try:
        msgspec.convert(value, shape, strict=True)
    except msgspec.ValidationError as error:
        return str(error)
    return ""


def _unknown_key(key: Any, known: list[str], path: str) -> Problem:
    guess = closest_name(str(key), known)
    remedy = f"did you mean `{guess}`?" if guess else f"use one of {', '.join(sorted(known))}"
    return Problem(UNKNOWN_KEY, join_path(path, str(key)), "is not a known key", remedy)


def _not_a_mapping(value: Any, path: str) -> Problem:
    return Problem(
        WRONG_TYPE,
        path,
        f"must be a mapping, not {_describe(value)}",
        "write it as `key: value` lines",
    )


def _describe(value: Any) -> str:
    return "empty" if value is None else f"a {type(value).__name__}"
