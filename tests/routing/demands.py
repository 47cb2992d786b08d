"""Build demands for tests of routing."""

from typing import Any

from cranberrywall.routing import Demand


def demand(**fields: Any) -> Demand:
    values: dict[str, Any] = {
        "workspace": "desk",
        "kind": "engine",
        "name": "asistent",
        "version": "",
        "adapter": "",
        "rank": 5,
        "deadline": 100.0,
        "bound_tokens": 100,
    }
    return Demand(**{**values, **fields})
