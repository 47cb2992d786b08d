"""Check that each class of bad setting is named, with its number, field and remedy."""

import copy
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import pytest
import yaml
from click.testing import CliRunner
from result import Err, Ok

from cranberrywall.hosts import MembershipTimings, membership_timings
from cranberrywall.links import Limits, limits_of
from cranberrywall.settings import (
    Settings,
    load_fleet_keys,
    load_settings,
    make_keys_file,
    with_defaults,
)
from cranberrywall.settings.options import settings_options

Change = Callable[[dict[str, Any]], object]

GOOD: dict[str, Any] = {
    "process": "entry",
    "host": "entry-1",
    "place": "town-hall",
    "listen": {"links": "127.0.0.1:7001", "http": "127.0.0.1:7002", "admin": "127.0.0.1:7003"},
    "controls": [{"host": "control-1", "links": "127.0.0.1:7101"}],
    "peers": [{"host": "entry-2", "links": "127.0.0.1:7011"}],
    "data": "data",
    "fleet_key": "fleet.key",
}


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "data").mkdir()
    make_keys_file(str(tmp_path / "fleet.key"))
    return tmp_path


def write(folder: Path, change: Change = lambda _: None) -> str:
    document = copy.deepcopy(GOOD)
    change(document)
    file = folder / "entry.yaml"
    file.write_text(yaml.safe_dump(document))
    return str(file)


def problems_of(path: str) -> list[tuple[str, str]]:
    result = load_settings(path)
    assert isinstance(result, Err)
    assert all(problem.message and problem.remedy for problem in result.err_value)
    return [(problem.code, problem.field) for problem in result.err_value]


def test_good_settings_come_with_their_defaults(folder: Path):
    result = load_settings(write(folder, lambda d: d.update(streams={"calls": 9})))
    assert isinstance(result, Ok)
    settings = result.ok_value
    assert settings["data"] == str(folder / "data")
    assert settings["log"] == {"level": "INFO"}
    assert settings["streams"]["calls"] == 9
    assert settings["streams"]["frame"] == "16MiB"


def test_the_defaults_are_those_of_the_parts_that_take_them():
    settings = with_defaults({})
    assert limits_of(settings) == Limits()
    assert membership_timings(settings) == MembershipTimings()


def _set(*path: str | int, to: Any) -> Change:
    def change(document: Any) -> None:
        for key in path[:-1]:
            document = document[key]
        document[path[-1]] = to

    return change


def _control_without_data(document: dict[str, Any]) -> None:
    document["process"] = "control"
    del document["data"]


def _second_entry_2(document: dict[str, Any]) -> None:
    document["peers"].append({"host": "entry-2", "links": "10.0.0.1:1"})


CASES: list[tuple[str, Change, tuple[str, str]]] = [
    ("unknown key", _set("hots", to="x"), ("S003", "hots")),
    ("unknown key below", _set("listen", "adnim", to="127.0.0.1:1"), ("S003", "listen.adnim")),
    ("unknown key in list", _set("peers", 0, "link", to="x"), ("S003", "peers[0].link")),
    ("missing key", lambda d: d.pop("place"), ("S004", "place")),
    ("missing key below", lambda d: d["listen"].pop("admin"), ("S004", "listen.admin")),
    ("number for text", _set("host", to=7), ("S005", "host")),
    ("text for number", _set("ledger_groups", to="four"), ("S005", "ledger_groups")),
    ("bool for number", _set("ledger_groups", to=True), ("S005", "ledger_groups")),
    ("text for mapping", _set("listen", to="127.0.0.1:1"), ("S005", "listen")),
    ("text for list", _set("controls", to="control-1"), ("S005", "controls")),
    ("empty value", _set("data", to=None), ("S005", "data")),
    ("no unit", _set("membership", to={"period": 2}), ("S006", "membership.period")),
    ("wrong unit", _set("membership", to={"period": "2sec"}), ("S006", "membership.period")),
    ("wrong size unit", _set("streams", to={"frame": "8MB"}), ("S006", "streams.frame")),
    ("no address", _set("listen", "http", to="localhost:80"), ("S007", "listen.http")),
    ("no IP number", _set("listen", "http", to="10.0.0.256:80"), ("S007", "listen.http")),
    ("port too high", _set("listen", "http", to="10.0.0.1:65536"), ("S007", "listen.http")),
    ("port 0", _set("peers", 0, "links", to="10.0.0.1:0"), ("S007", "peers[0].links")),
    ("any address", _set("listen", "links", to="0.0.0.0:7001"), ("S007", "listen.links")),
    ("any for callers", _set("listen", "http", to="0.0.0.0:80"), ("S007", "listen.http")),
    ("any peer", _set("peers", 0, "links", to="0.0.0.0:7001"), ("S007", "peers[0].links")),
    ("no name", _set("place", to="Town Hall"), ("S008", "place")),
    ("no choice", _set("process", to="entri"), ("S009", "process")),
    ("no level", _set("log", to={"level": "info"}), ("S009", "log.level")),
    ("out of range", _set("ledger_groups", to=65), ("S009", "ledger_groups")),
    ("missing folder", _set("data", to="nowhere"), ("S010", "data")),
    ("folder is a file", _set("data", to="fleet.key"), ("S010", "data")),
    ("missing key file", _set("fleet_key", to="no.key"), ("S011", "fleet_key")),
    ("missing listener", lambda d: d["listen"].pop("http"), ("S014", "listen.http")),
    ("control without data", _control_without_data, ("S014", "data")),
    ("no controls", _set("controls", to=[]), ("S014", "controls")),
    ("repeated address", _set("listen", "http", to="127.0.0.1:7003"), ("S015", "listen")),
    ("repeated host", _second_entry_2, ("S015", "peers")),
]  # fmt: skip


@pytest.mark.parametrize(("name", "change", "expected"), CASES)
def test_each_bad_setting_is_named(
    folder: Path, name: str, change: Change, expected: tuple[str, str]
):
    assert problems_of(write(folder, change)) == [expected]


def test_every_problem_is_reported_at_once(folder: Path):
    def change(document: dict[str, Any]) -> None:
        document["hots"] = "x"
        document["host"] = 7
        del document["place"]

    expected = [("S003", "hots"), ("S004", "place"), ("S005", "host")]
    assert sorted(problems_of(write(folder, change))) == expected


def test_the_closest_right_name_is_offered(folder: Path):
    result = load_settings(write(folder, _set("listen", "admim", to="127.0.0.1:1")))
    assert isinstance(result, Err)
    assert result.err_value[0].remedy == "write `admin`"


def test_a_file_that_cannot_be_read(folder: Path):
    assert problems_of(str(folder / "none.yaml"))[0][0] == "S001"


@pytest.mark.parametrize(
    "content",
    [
        b"process: [entry",
        b"host: a\nhost: b\n",
        b"\xff\xfe",
        b"a: *b",
        b"? {a: b}\n: c",
        b"host: 2026-13-45",
    ],
)
def test_a_file_that_is_not_yaml(folder: Path, content: bytes):
    file = folder / "broken.yaml"
    file.write_bytes(content)
    assert [check for check, _ in problems_of(str(file))] == ["S002"]


@pytest.mark.parametrize("content", ["", "- a\n", "text"])
def test_a_file_that_is_no_mapping(folder: Path, content: str):
    file = folder / "empty.yaml"
    file.write_text(content)
    assert problems_of(str(file)) == [("S005", "file")]


def test_a_folder_that_may_not_be_written(folder: Path, monkeypatch: pytest.MonkeyPatch):
    # The superuser may write everywhere, so that the answer of the system is given here.
    monkeypatch.setattr(os, "access", lambda path, mode: False)
    assert problems_of(write(folder)) == [("S010", "data")]


@pytest.mark.parametrize("mode", [0o644, 0o640, 0o604, 0o660])
def test_a_key_file_that_others_may_reach(folder: Path, mode: int):
    (folder / "fleet.key").chmod(mode)
    assert problems_of(write(folder)) == [("S012", "fleet_key")]


SECRET = "s" * 32


@pytest.mark.parametrize(
    ("content", "field"),
    [
        (f"fleet: {SECRET}\n", "fleet_key: target"),
        (f"fleet: short\ntarget: {SECRET}\n", "fleet_key: fleet"),
        (f"fleet: 12\ntarget: {SECRET}\n", "fleet_key: fleet"),
        (f"fleet: {SECRET}\ntarget: {SECRET}\nadmim: {SECRET}\n", "fleet_key: admim"),
        ("- a", "fleet_key: file"),
    ],
)
def test_a_key_file_with_wrong_content(folder: Path, content: str, field: str):
    (folder / "fleet.key").write_text(content)
    assert problems_of(write(folder)) == [("S013", field)]


def test_problems_and_keys_never_show_a_secret(folder: Path):
    (folder / "fleet.key").write_text("fleet: hush\ntarget: [hush]\n")
    result = load_fleet_keys(str(folder / "fleet.key"))
    assert isinstance(result, Err)
    assert "hush" not in "".join(map(str, result.err_value))
    (folder / "fleet.key").write_text(f"fleet: {SECRET}\ntarget: {SECRET}\n")
    assert SECRET not in repr(load_fleet_keys(str(folder / "fleet.key")))


def test_a_new_key_file_is_right_and_replaces_none(folder: Path):
    path = str(folder / "fleet.key")
    assert isinstance(load_fleet_keys(path), Ok)
    with pytest.raises(FileExistsError):
        make_keys_file(path)


def run_program(path: str, *options: str) -> tuple[int, str, list[Settings]]:
    started: list[Settings] = []
    main = click.command()(settings_options("entry")(started.append))
    outcome = CliRunner().invoke(main, ["--settings", path, *options])
    return outcome.exit_code, outcome.output, started


def test_check_and_print_settings_start_nothing(folder: Path):
    path = write(folder)
    assert run_program(path, "--check") == (0, f"{path}: right\n", [])
    code, output, started = run_program(path, "--print-settings")
    assert (code, started) == (0, [])
    assert yaml.safe_load(output)["streams"]["calls"] == 4096
    assert len(run_program(path)[2]) == 1


def test_a_program_starts_nothing_on_a_bad_setting(folder: Path):
    code, output, started = run_program(write(folder, _set("host", to=7)))
    assert (code, started) == (2, [])
    assert output.startswith("S005 host:")


def test_a_program_refuses_the_settings_of_another(folder: Path):
    code, output, _ = run_program(write(folder, _set("process", to="control")))
    assert code == 2
    assert output.startswith("S016 process:")
