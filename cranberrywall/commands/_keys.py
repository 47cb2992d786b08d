"""Load the fleet's keys that checked settings name."""

from result import Err

from cranberrywall.settings import FleetKeys, Settings, load_fleet_keys


def load_keys(settings: Settings) -> FleetKeys:
    """Return the fleet's keys; raise ``ValueError`` where the file changed since its check."""
    keys = load_fleet_keys(settings["fleet_key"])
    if isinstance(keys, Err):
        raise ValueError("; ".join(str(problem) for problem in keys.err_value))
    return keys.ok_value
