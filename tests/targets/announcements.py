"""Announcements for tests."""

from typing import Any

from cranberrywall.targets import Announcement


def announce(target: str = "engine-1", **fields: Any) -> Announcement:
    values: dict[str, Any] = {
        "incarnation": 1,
        "counter": 1,
        "kind": "engine",
        "name": "asistent",
        "place": "kranj",
        "url": f"http://127.0.0.1:9001/{target}",
        "capacity": 2,
    }
    return Announcement(target=target, **{**values, **fields})
