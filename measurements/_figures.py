"""Print a measurement's figures in the one form that every measurement ends with."""

import json
from collections.abc import Mapping
from pathlib import Path

Figure = int | float | str

OUT = Path("out") / "measurements"


def format_figures(figures: Mapping[str, Figure]) -> str:
    """Return ``key=value`` pairs on one line; floats keep four significant digits.

    >>> format_figures({"ratio": 0.123456, "lost": 0})
    'ratio=0.1235 lost=0'
    """
    return " ".join(f"{key}={_format(value)}" for key, value in figures.items())


def report_figures(name: str, figures: Mapping[str, Figure]) -> None:
    """Print the last line of measurement ``name`` and keep it for the capacity table."""
    OUT.mkdir(parents=True, exist_ok=True)
    (OUT / f"{name}.json").write_text(json.dumps(dict(figures), indent=1) + "\n")
    print(format_figures(figures))


def _format(value: Figure) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)
