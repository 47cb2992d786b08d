"""Check a configuration document, by numbered checks.

C001 is in ``_yaml``; C002 to C006 compare the document with its shape; C010 to C021 are
here and concern what the entries say of each other; C030 and on concern a change from one
document to the next. A number is never used again for another check.
"""

import ipaddress
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Any, NamedTuple, cast, get_type_hints

from cranberrywall.configuration._document import Document, Host
from cranberrywall.configuration._edits import (
    ORDERED_SECTIONS,
    SECTIONS,
    SINGLE_SECTIONS,
    Edit,
)
from cranberrywall.configuration._shape import (
    UNKNOWN_KEY,
    closest_name,
    join_path,
    shape_problems,
    without_marker,
)
from cranberrywall.settings import Problem

DANGLING_NAME = "C010"
PRIORITY_NOT_LISTED = "C011"
LISTED_TWICE = "C012"
DUPLICATE_ADDRESS = "C013"
IMPOSSIBLE_ADDRESS = "C014"
DUPLICATE_KEY = "C015"
HOST_WITHOUT_ROLE = "C016"
ENTRY_WITHOUT_HTTP = "C017"
CONTROL_WITHOUT_DISK = "C018"
OUTPUT_OVER_CONTEXT = "C019"
MALFORMED_CALL = "C020"
NOT_FINITE = "C021"
PLACEMENT_CHANGED = "C030"
UNIT_CHANGED = "C031"
CHANGED_BY_ORDER = "C032"

_TYPE_BY_SECTION = get_type_hints(Document, include_extras=True)
_REQUIRED = Document.__required_keys__
_HTTP_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


def check_document(data: Any) -> list[Problem]:
    """Return every problem of ``data``; an empty list means that it is a valid document.

    What entries say of each other is checked only once the shape is right, since a
    section of the wrong type would make those checks fail by accident.
    """
    problems = list(shape_problems(data, Document))
    if problems:
        return problems
    document = cast(Document, data)
    for check in _CHECKS:
        problems.extend(check.find(document))
    return problems


def check_edits(edits: Iterable[Edit], after: Document) -> list[Problem]:
    """Return every problem of ``after``, to which ``edits`` led from a valid document.

    Only the edited entries are compared with the shape, and only the checks run that read
    an edited section: where none of what a check reads has changed, its verdict has not.
    """
    edits = tuple(edits)
    problems: list[Problem] = []
    for edit in edits:
        problems.extend(_edit_problems(edit))
    if problems:
        return problems
    edited = {edit.section for edit in edits}
    for check in _CHECKS:
        if check.sections is None or check.sections & edited:
            problems.extend(check.find(after))
    return problems


def check_transition(before: Document, after: Document) -> list[Problem]:
    """Return what makes ``after`` unacceptable as the successor of ``before``."""
    return list(_placement_problems(before, after)) + list(_unit_problems(before, after))


def _edit_problems(edit: Edit) -> Iterator[Problem]:
    if edit.section not in SECTIONS:
        guess = closest_name(edit.section, list(SECTIONS))
        remedy = f"did you mean `{guess}`?" if guess else f"use one of {', '.join(SECTIONS)}"
        yield Problem(UNKNOWN_KEY, edit.section, "is not a section", remedy)
    elif edit.section in ORDERED_SECTIONS:
        remedy = "give the order, such as `cranberrywallctl evacuations start PLACE`"
        yield Problem(CHANGED_BY_ORDER, edit.section, "is changed by orders only", remedy)
    elif edit.section in SINGLE_SECTIONS:
        if edit.value is not None or edit.section in _REQUIRED:
            section_type = without_marker(_TYPE_BY_SECTION[edit.section])
            yield from shape_problems(edit.value, section_type, edit.section)
    elif edit.value is not None:
        entry = {edit.name: edit.value}
        yield from shape_problems(entry, _TYPE_BY_SECTION[edit.section], edit.section)


def _reference_problems(document: Document) -> Iterator[Problem]:
    for name, workspace in document["workspaces"].items():
        path = f"workspaces.{name}"
        yield from _dangling([workspace["budget"]], document["budgets"], f"{path}.budget")
        yield from _dangling([workspace["policy"]], document["policies"], f"{path}.policy")
        yield from _dangling(workspace["priorities"], document["priorities"], f"{path}.priorities")
        reach = workspace["reach"]
        yield from _dangling(reach["models"], document["models"], f"{path}.reach.models")
        yield from _dangling(reach["services"], document["services"], f"{path}.reach.services")
    for name, host in document["hosts"].items():
        yield from _dangling([host["place"]], document["places"], f"hosts.{name}.place")


def _dangling(names: Iterable[str], section: Collection[str], path: str) -> Iterator[Problem]:
    for name in names:
        if name in section:
            continue
        guess = closest_name(name, list(section))
        remedy = f"did you mean {guess!r}?" if guess else f"add {name!r}, or name another"
        yield Problem(DANGLING_NAME, path, f"{name!r} does not exist", remedy)


def _priority_problems(document: Document) -> Iterator[Problem]:
    for name, workspace in document["workspaces"].items():
        if workspace["priority"] not in workspace["priorities"]:
            yield Problem(
                PRIORITY_NOT_LISTED,
                f"workspaces.{name}.priority",
                f"{workspace['priority']!r} is not among the workspace's priorities",
                "add it to `priorities`, or choose one of them",
            )


def _repetition_problems(document: Document) -> Iterator[Problem]:
    for name, workspace in document["workspaces"].items():
        path = f"workspaces.{name}"
        yield from _repeated(workspace["priorities"], f"{path}.priorities")
        yield from _repeated(workspace["reach"]["models"], f"{path}.reach.models")
        yield from _repeated(workspace["reach"]["services"], f"{path}.reach.services")
    for name, host in document["hosts"].items():
        yield from _repeated(host["roles"], f"hosts.{name}.roles")
    for name, model in document["models"].items():
        yield from _repeated(model.get("adapters", ()), f"models.{name}.adapters")


def _repeated(items: Iterable[str], path: str) -> Iterator[Problem]:
    seen: set[str] = set()
    for item in items:
        if item in seen:
            yield Problem(LISTED_TWICE, path, f"{item!r} is listed twice", "keep one of them")
        seen.add(item)


def _address_problems(document: Document) -> Iterator[Problem]:
    path_by_address: dict[str, str] = {}
    for path, address in _addresses(document["hosts"]):
        if not _is_possible(address):
            yield Problem(
                IMPOSSIBLE_ADDRESS,
                path,
                f"{address!r} is no address that a process can listen at",
                "give four numbers up to 255 and a port from 1 to 65535, as 10.0.0.1:7001",
            )
        if address in path_by_address:
            yield Problem(
                DUPLICATE_ADDRESS,
                path,
                f"{address!r} is also {path_by_address[address]}",
                "give each listener its own address",
            )
        path_by_address.setdefault(address, path)


def _addresses(hosts: dict[str, Host]) -> Iterator[tuple[str, str]]:
    for name, host in hosts.items():
        yield f"hosts.{name}.links", host["links"]
        if "http" in host:
            yield f"hosts.{name}.http", host["http"]


def _is_possible(address: str) -> bool:
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    return 1 <= int(port) <= 65535


def _key_problems(document: Document) -> Iterator[Problem]:
    path_by_digest: dict[str, str] = {}
    for name, workspace in document["workspaces"].items():
        for key_name, key in workspace["keys"].items():
            path = f"workspaces.{name}.keys.{key_name}.sha256"
            if key["sha256"] in path_by_digest:
                yield Problem(
                    DUPLICATE_KEY,
                    path,
                    f"is the same key as {path_by_digest[key['sha256']]}",
                    "make a new key: one key can belong to one workspace only",
                )
            path_by_digest.setdefault(key["sha256"], path)


def _host_problems(document: Document) -> Iterator[Problem]:
    for name, host in document["hosts"].items():
        path = f"hosts.{name}"
        if not host["roles"]:
            yield Problem(
                HOST_WITHOUT_ROLE,
                f"{path}.roles",
                "the host has no role",
                "add entry, control or console, or remove the host",
            )
        if "entry" in host["roles"] and "http" not in host:
            yield Problem(
                ENTRY_WITHOUT_HTTP,
                f"{path}.http",
                "an entry host needs an address for callers",
                "add `http:`",
            )
        if "control" in host["roles"] and not host["disk"]:
            yield Problem(
                CONTROL_WITHOUT_DISK,
                f"{path}.disk",
                "a control host keeps state that must survive",
                "choose a host with a disk, and write `disk: true`",
            )


def _model_problems(document: Document) -> Iterator[Problem]:
    for name, model in document["models"].items():
        if model["output_limit"] > model["context_limit"]:
            yield Problem(
                OUTPUT_OVER_CONTEXT,
                f"models.{name}.output_limit",
                "an answer cannot be longer than the context",
                f"give at most {model['context_limit']}",
            )


def _call_problems(document: Document) -> Iterator[Problem]:
    for name, service in document["services"].items():
        for index, call in enumerate(service["not_repeatable"]):
            method, _, path = call.partition(" ")
            if method not in _HTTP_METHODS or not path.startswith("/"):
                yield Problem(
                    MALFORMED_CALL,
                    f"services.{name}.not_repeatable[{index}]",
                    f"{call!r} is not a call",
                    "write it as `POST /path`",
                )


def _number_problems(document: Document) -> Iterator[Problem]:
    for name, priority in document["priorities"].items():
        yield from _not_finite(priority["deadline_s"], f"priorities.{name}.deadline_s")
    for name, policy in document["policies"].items():
        yield from _not_finite(policy["input_margin"], f"policies.{name}.input_margin")
        yield from _not_finite(policy["held_back"], f"policies.{name}.held_back")


def _not_finite(value: float, path: str) -> Iterator[Problem]:
    if not float("-inf") < value < float("inf"):
        yield Problem(NOT_FINITE, path, f"{value} is not a finite number", "give a number")


def _placement_problems(before: Document, after: Document) -> Iterator[Problem]:
    # A budget's ledger group follows from its name and the number of groups: another
    # number would send draws to groups that never saw the budget's credits.
    if before["budgets"] and before["ledger_groups"] != after["ledger_groups"]:
        yield Problem(
            PLACEMENT_CHANGED,
            "ledger_groups",
            f"cannot go from {before['ledger_groups']} to {after['ledger_groups']}",
            "keep it: the budgets' money is placed by it",
        )


def _unit_problems(before: Document, after: Document) -> Iterator[Problem]:
    if before["budgets"] is after["budgets"]:
        # Most changes touch no budget, and there may be very many of them.
        return
    for name, budget in after["budgets"].items():
        old = before["budgets"].get(name)
        if old is not None and old["unit"] != budget["unit"]:
            yield Problem(
                UNIT_CHANGED,
                join_path(join_path("budgets", name), "unit"),
                f"cannot go from {old['unit']} to {budget['unit']}",
                "make a new budget: the ledger's sums are in the old unit",
            )


class _Check(NamedTuple):
    """Pair a check with the sections that it reads; ``None`` is all."""

    find: Callable[[Document], Iterator[Problem]]
    sections: frozenset[str] | None = None


_CHECKS = (
    _Check(_reference_problems),
    _Check(_priority_problems, frozenset({"workspaces"})),
    _Check(_repetition_problems, frozenset({"workspaces", "hosts", "models"})),
    _Check(_address_problems, frozenset({"hosts"})),
    _Check(_key_problems, frozenset({"workspaces"})),
    _Check(_host_problems, frozenset({"hosts"})),
    _Check(_model_problems, frozenset({"models"})),
    _Check(_call_problems, frozenset({"services"})),
    _Check(_number_problems, frozenset({"priorities", "policies"})),
)
