"""Show long lists a page at a time, with a filter by name."""

from collections.abc import Iterable
from typing import NamedTuple

from aiohttp import web

PAGE = 50


class NamePage(NamedTuple):
    """Hold the names on one page of a sorted list.

    ``find`` is the text that the names must hold, ``total`` how many do, and ``next_after``
    the last name shown where there are more, else empty.
    """

    names: tuple[str, ...]
    find: str
    total: int
    next_after: str


def page_names(request: web.Request, names: Iterable[str]) -> NamePage:
    """Return the page that the request's ``find`` and ``after`` ask for."""
    return cut_page(names, request.query.get("find", ""), request.query.get("after", ""))


def cut_page(names: Iterable[str], find: str, after: str) -> NamePage:
    """Return the names that hold ``find`` and come after ``after``, a page of them.

    >>> cut_page(["b", "ab", "c"], "b", "").names
    ('ab', 'b')
    """
    found = sorted(name for name in names if find in name)
    rest = [name for name in found if name > after]
    shown = tuple(rest[:PAGE])
    next_after = shown[-1] if len(rest) > PAGE else ""
    return NamePage(shown, find, len(found), next_after)
