"""Read the platform's settings files."""

from pathlib import Path
from typing import Any

import pytest

from cranberrywall.platform._boot import decode_boot, read_boot, settings_of

TEXT = """
node = "core-town-hall-1"
role = "control"
ip = "10.1.0.43"
zone = "town-hall"
region = "colombo"
port_range = [7340, 7355]
seeds = ["10.1.0.43:8229", "10.2.0.31:8229"]
first_start = true
data_dir = "/data/control"
from_next_year = 1
[zones]
town-hall = "colombo"
[listen]
control = "10.1.0.43:8229"
[bounds]
grace_s = 8
retry_ratio = 0.2
retry_slack = 54
"""


def test_a_file_is_read_and_unknown_fields_are_ignored(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(TEXT, encoding="utf-8")
    boot = read_boot(str(path)).unwrap()
    assert boot.seeds == ("10.1.0.43:7340", "10.2.0.31:7340")
    assert (boot.links, boot.admin) == ("10.1.0.43:7340", "10.1.0.43:7341")
    settings = settings_of(boot, "control")
    assert settings["founding"] is True
    assert settings["data"] == "/data/control"
    assert boot.link_bytes_per_s is None


def test_the_rate_of_the_link_is_read_in_bytes() -> None:
    assert decode_boot({**FIELDS, "limits": {"link_mbps": 8.0}}).unwrap().link_bytes_per_s == 1e6


def test_the_limits_of_a_process_are_read() -> None:
    boot = decode_boot({**FIELDS, "limits": {"memory_mb": 160, "max_fds": 4100}}).unwrap()
    assert (boot.memory_bytes, boot.max_fds) == (160_000_000, 4100)


FIELDS: dict[str, Any] = {
    "node": "front-1",
    "ip": "10.1.0.4",
    "zone": "z",
    "port_range": [7340, 7355],
    "seeds": ["10.1.0.43:8229"],
    "listen": {},
}


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"node": None}, "node"),
        ({"port_range": [7340]}, "port_range"),
        ({"port_range": [7355, 7340]}, "port_range"),
        ({"seeds": []}, "seeds"),
        ({"bounds": {"grace_s": "soon"}}, "bounds.grace_s"),
    ],
)
def test_a_wrong_field_is_named_with_a_remedy(changes: dict[str, Any], field: str) -> None:
    problem = decode_boot({**FIELDS, **changes}).unwrap_err()
    assert problem.field == field
    assert problem.remedy


def test_a_missing_field_is_named() -> None:
    fields = {name: value for name, value in FIELDS.items() if name != "ip"}
    assert decode_boot(fields).unwrap_err().field == "ip"


def test_a_file_that_is_missing_or_cut_is_a_problem_and_no_traceback(tmp_path: Path) -> None:
    assert read_boot(str(tmp_path / "none")).unwrap_err().code == "P001"
    path = tmp_path / "cut.toml"
    path.write_text('node = "fro', encoding="utf-8")
    assert read_boot(str(path)).unwrap_err().code == "P001"
