"""Check that the metrics page lists every metric and fault kind of requests."""

import re
from pathlib import Path

from cranberrywall.observability import make_metrics
from cranberrywall.requests import RequestMetrics
from cranberrywall.requests._engine import FaultKind

PAGE = Path(__file__).parents[2] / "docs" / "reference" / "metrics.md"


def test_the_page_names_each_metric_and_fault() -> None:
    page = PAGE.read_text("utf-8")
    metrics = make_metrics()
    RequestMetrics(metrics)
    found = re.findall(r"# TYPE cranberrywall_(requests_\w+)", metrics.render().decode())
    assert set(found) == set(re.findall(r"^\| `(requests_\w+)` \|", page, re.MULTILINE))
    for kind in FaultKind:
        assert f"\n| `{kind}` |" in page
