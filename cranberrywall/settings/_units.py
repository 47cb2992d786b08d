"""Read times and sizes with their units."""

import re

_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_BYTES_BY_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}

DURATION_PATTERN = r"^\d+(\.\d+)?(ms|s|min|h)$"
SIZE_PATTERN = r"^\d+(B|KiB|MiB|GiB)$"


def seconds(text: str) -> float:
    """Return a duration in seconds.

    >>> seconds("250ms"), seconds("2min")
    (0.25, 120.0)
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s|min|h)", text)
    if match is None:
        raise ValueError(f"{text} is no duration")
    return float(match[1]) * _SECONDS_BY_UNIT[match[2]]


def size_in_bytes(text: str) -> int:
    """Return a size in bytes.

    >>> size_in_bytes("8MiB")
    8388608
    """
    match = re.fullmatch(r"(\d+)(B|KiB|MiB|GiB)", text)
    if match is None:
        raise ValueError(f"{text} is no size")
    return int(match[1]) * _BYTES_BY_UNIT[match[2]]
