"""Check that the page of capacity names measurements and roles that there are."""

import re
from pathlib import Path

from measurements._capacity_parts import Figures, Sizes
from measurements._capacity_roles import make_roles
from measurements.capacity import HEAD
from measurements.everything import measurement_names

PAGE = (Path(__file__).parents[2] / "docs" / "CAPACITY.md").read_text(encoding="utf-8")


class OneEach(Figures):
    """Give 1 for each figure."""

    def __init__(self) -> None:
        super().__init__(Path("nowhere"))

    def get(self, source: str) -> float:
        return 1.0


def test_each_role_has_its_table() -> None:
    for role in make_roles(OneEach(), Sizes()):
        _, _, table = PAGE.partition(f"### {role.name}\n\n")
        assert table.startswith(f"| {' | '.join(HEAD)} |"), role.name
        rows = table.split("\n\n")[0].splitlines()[2:]
        assert len(rows) == len(role.parts) + len(role.limit_by_unit), role.name


def test_each_measurement_that_the_page_takes_a_slope_from_can_be_run() -> None:
    sources = re.findall(r"^\|[^|]*\|[^|]*\| ([a-z_]+)\.[a-z_*0-9]+", PAGE, re.MULTILINE)
    measured = {"routing" if name == "routing_larger" else name for name in sources}
    measured -= {"cranberrywall"}
    assert "control_cost" in measured
    assert measured <= set(measurement_names())
    listed = PAGE.partition("## Make this page again")[2]
    assert [name for name in measured if not re.search(rf"\b{name}\b", listed)] == []
