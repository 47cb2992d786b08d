"""Check the capacity table's arithmetic, and that it makes up no figure."""

import json
from collections import defaultdict
from pathlib import Path

import pytest
from click.testing import CliRunner

from measurements import capacity
from measurements._capacity_parts import (
    Figures,
    Limit,
    MissingFigureError,
    Part,
    Role,
    Sizes,
    Unit,
    count_limits,
)
from measurements._capacity_roles import configuration_host, ledger_host, make_roles


class KnownFigures(Figures):
    """Give 1 for each figure that a test does not set."""

    def __init__(self, **figure_by_key: float) -> None:
        super().__init__(Path("nowhere"))
        self._figure_by_key = defaultdict(lambda: 1.0, figure_by_key)

    def get(self, source: str) -> float:
        return self._figure_by_key[source.partition(".")[2]]


def part(value: float, unit: Unit, limit: Limit | None = None, counts: bool = True) -> Part:
    return Part("part", "source", value, 2.0, unit, "mechanism", limit, counts)


def test_a_total_sums_the_parts_of_its_unit_that_have_no_limit_of_their_own() -> None:
    parts = [
        part(1.0, Unit.CORE),
        part(2.0, Unit.CORE),
        part(4.0, Unit.MEMORY),
        part(8.0, Unit.CORE, counts=False),
        part(16.0, Unit.CORE, Limit(40.0)),
    ]
    role = Role("role", parts, {Unit.CORE: Limit(5.0)})
    assert role.total(Unit.CORE) == 6.0
    assert count_limits([role]) == (2, 1)


def test_a_limit_can_bound_from_below() -> None:
    assert Limit(3600.0, is_least=True).holds(3600.0)
    assert not Limit(3600.0, is_least=True).holds(3599.0)
    assert not Limit(3600.0).holds(3601.0)


def test_a_ledger_host_follows_more_groups_the_more_members_they_have() -> None:
    sizes = Sizes(requests_per_s=31_000, control_hosts=31)
    figures = KnownFigures(leader_charge_us=100.0, follower_charge_us=50.0)
    all_members = {one.what: one for one in ledger_host(figures, sizes, 31, "all").parts}
    three = {one.what: one for one in ledger_host(figures, sizes, 3, "three").parts}
    # 1,000 charges a second for each host that leads, at 100 us: a tenth of a core.
    assert all_members["charges led"].value == pytest.approx(10.0)
    assert three["charges led"].value == pytest.approx(10.0)
    assert all_members["charges followed"].value == pytest.approx(30 * 5.0)
    assert three["charges followed"].value == pytest.approx(2 * 5.0)
    assert three["hosts for charges alone, each with a whole core"].value == pytest.approx(6.2)
    assert three["budgets"].value == pytest.approx(all_members["budgets"].value * 3 / 31)


def test_a_batched_ledger_host_uses_the_batched_slope() -> None:
    figures = KnownFigures(leader_charge_us=100.0, leader_batched_charge_us=10.0)
    single = ledger_host(figures, Sizes(), 3, "single").parts[0]
    batched = ledger_host(figures, Sizes(), 3, "batched", batched=True).parts[0]
    assert batched.value == pytest.approx(single.value / 10)


def test_changes_are_counted_by_the_second() -> None:
    sizes = Sizes(changes_per_day=86_400)
    changes = configuration_host(KnownFigures(change_ms=20.0), sizes).parts[0]
    assert changes.value == pytest.approx(2.0)


def test_a_missing_figure_names_the_measurement_to_run(tmp_path: Path) -> None:
    (tmp_path / "proxy.json").write_text(json.dumps({"first_ms": 2.5}))
    figures = Figures(tmp_path)
    assert figures.get("proxy.first_ms") == 2.5
    with pytest.raises(MissingFigureError, match="make measure NAME=proxy` again"):
        figures.get("proxy.token_ms")
    with pytest.raises(MissingFigureError, match="make measure NAME=membership` first"):
        figures.get("membership.bytes_50")
    with pytest.raises(MissingFigureError, match="make measure NAME=routing` first"):
        figures.get("routing_larger.ttft_p95_ms")


def test_the_program_ends_with_an_error_where_a_figure_is_missing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(capacity, "OUT", tmp_path)
    result = CliRunner().invoke(capacity.main)
    assert result.exit_code == 1
    assert "run `make measure NAME=" in result.output


def test_every_limited_value_is_marked_in_the_markdown() -> None:
    roles = make_roles(KnownFigures(), Sizes())
    text = "".join(capacity.format_markdown(role) for role in roles)
    limits, met = count_limits(roles)
    assert text.count("| yes |") == met
    assert text.count("| NO |") == limits - met
    assert capacity.totals(roles)["met"] == met
