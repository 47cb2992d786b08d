"""Give every setting that may be left out its value, in this one place."""

from typing import Any, cast

from cranberrywall.settings._settings import Settings

DEFAULTS: dict[str, Any] = {
    "peers": [],
    "ledger_groups": 4,
    "log": {"level": "INFO"},
    "streams": {
        "frame": "16MiB",
        "queued": "8MiB",
        "calls": 4096,
        "dial_timeout": "2s",
        "handshake_timeout": "3s",
        "write_timeout": "10s",
    },
    "membership": {"period": "500ms", "probe_timeout": "250ms", "suspicion": "2s"},
    "callers": {"body": "1MiB", "address_ttl": "5s"},
    "tls": {"reread": "30s"},
}


def with_defaults(settings: dict[str, Any]) -> Settings:
    """Return the settings with every value in force spelled out."""
    filled: dict[str, Any] = dict(settings)
    for name, value in DEFAULTS.items():
        if isinstance(value, dict):
            filled[name] = {**value, **settings.get(name, {})}
        else:
            filled.setdefault(name, value)
    return cast(Settings, filled)
