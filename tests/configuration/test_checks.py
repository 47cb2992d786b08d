"""Check that each numbered check finds its fault and names the field."""

from collections.abc import Callable
from typing import Any

import pytest

from cranberrywall.configuration import (
    check_document,
    dump_document,
    empty_document,
    load_document,
)
from cranberrywall.configuration.checks import check_transition
from tests.configuration.documents import make_document


def set_in(path: str, value: Any) -> Callable[[Any], None]:
    def change(document: Any) -> None:
        *parents, last = path.split("/")
        for parent in parents:
            document = document[parent]
        document[last] = value

    return change


def drop(path: str) -> Callable[[Any], None]:
    def change(document: Any) -> None:
        *parents, last = path.split("/")
        for parent in parents:
            document = document[parent]
        del document[last]

    return change


SECOND_HOST = {"place": "town-hall", "links": "127.0.0.1:7001", "disk": False}

FAULTS = [
    ("C002", "budgest", "did you mean `budgets`?", set_in("budgest", {})),
    ("C002", "budgets.desk.unti", "did you mean `unit`?", set_in("budgets/desk/unti", "tokens")),
    ("C003", "workspaces.desk.policy", "add `policy:`", drop("workspaces/desk/policy")),
    ("C004", "workspaces", "key: value", set_in("workspaces", [])),
    ("C004", "workspaces.desk.concurrent", "type", set_in("workspaces/desk/concurrent", "4")),
    ("C004", "hosts.entry-1.disk", "type", set_in("hosts/entry-1/disk", 1)),
    ("C005", "places.Town Hall", "lower-case", set_in("places/Town Hall", {"region": "x"})),
    ("C006", "workspaces.desk.concurrent", "described", set_in("workspaces/desk/concurrent", 0)),
    ("C006", "budgets.desk.unit", "described", set_in("budgets/desk/unit", "euros")),
    ("C010", "workspaces.desk.budget", "mean 'desk'", set_in("workspaces/desk/budget", "desks")),
    ("C010", "hosts.entry-1.place", "add 'moon'", set_in("hosts/entry-1/place", "moon")),
    (
        "C011",
        "workspaces.desk.priority",
        "add it",
        set_in("workspaces/desk/priorities", ["status"]),
    ),
    ("C012", "hosts.entry-1.roles", "keep one", set_in("hosts/entry-1/roles", ["entry", "entry"])),
    (
        "C013",
        "hosts.entry-2.links",
        "its own address",
        set_in("hosts/entry-2", {**SECOND_HOST, "roles": ["console"]}),
    ),
    ("C014", "hosts.entry-1.links", "up to 255", set_in("hosts/entry-1/links", "1.2.3.400:1")),
    ("C014", "hosts.entry-1.http", "65535", set_in("hosts/entry-1/http", "1.2.3.4:70000")),
    ("C016", "hosts.entry-1.roles", "remove the host", set_in("hosts/entry-1/roles", [])),
    ("C017", "hosts.entry-1.http", "add `http:`", drop("hosts/entry-1/http")),
    ("C018", "hosts.entry-1.disk", "disk: true", set_in("hosts/entry-1/roles", ["control"])),
    (
        "C019",
        "models.drafting-llm.output_limit",
        "1000",
        set_in("models/drafting-llm/output_limit", 1001),
    ),
    (
        "C020",
        "services.ledger-api.not_repeatable[0]",
        "POST /path",
        set_in("services/ledger-api/not_repeatable", ["/x"]),
    ),
    (
        "C021",
        "priorities.letter.deadline_s",
        "a number",
        set_in("priorities/letter/deadline_s", float("inf")),
    ),
]


@pytest.mark.parametrize(("code", "field", "remedy", "change"), FAULTS)
def test_a_fault_is_numbered_and_named_with_its_remedy(
    code: str, field: str, remedy: str, change: Callable[[Any], None]
) -> None:
    document = make_document()
    change(document)
    problems = [problem for problem in check_document(document) if problem.code == code]
    assert [problem.field for problem in problems] == [field]
    assert remedy in problems[0].remedy


def test_one_key_of_two_workspaces_is_found() -> None:
    document = make_document()
    document["workspaces"]["other"] = make_document()["workspaces"]["desk"]
    (problem,) = check_document(document)
    assert problem.code == "C015"
    assert problem.field == "workspaces.other.keys.first.sha256"


def test_a_valid_document_and_an_empty_one_have_no_problems() -> None:
    assert check_document(make_document()) == []
    assert check_document(empty_document()) == []


def test_yaml_goes_out_and_comes_in_unchanged() -> None:
    document = make_document()
    assert load_document(dump_document(document)).unwrap() == document


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("a: [", "line 1"),
        ("budgets: {}\nbudgets: {}", "'budgets' is given twice"),
        ("? [a]\n: 1", "unhashable"),
        ("- a", "must be a mapping"),
        ("", "must be a mapping"),
    ],
)
def test_text_that_is_no_document_is_refused(text: str, message: str) -> None:
    problems = load_document(text).unwrap_err()
    assert message in str(problems[0])


@pytest.mark.parametrize(
    ("code", "change"),
    [
        ("C030", set_in("ledger_groups", 3)),
        ("C031", set_in("budgets/desk/unit", "answers")),
    ],
)
def test_a_change_that_would_lose_sight_of_money_is_refused(
    code: str, change: Callable[[Any], None]
) -> None:
    after = make_document()
    change(after)
    assert [problem.code for problem in check_transition(make_document(), after)] == [code]
