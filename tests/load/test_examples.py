"""Check that the profiles under examples/ can be read."""

from pathlib import Path

import pytest

from cranberrywall.load import make_plan, read_profile

EXAMPLES = sorted((Path(__file__).parents[2] / "examples").glob("*/load.yaml"))


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.parent.name)
def test_an_example_makes_a_plan(path) -> None:
    profile = read_profile(path.read_text()).unwrap()
    assert len(make_plan(profile, "run")) > 1000
    assert len(EXAMPLES) == 2
