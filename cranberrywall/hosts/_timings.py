"""Timings and limits of membership."""

from typing import NamedTuple

from cranberrywall.settings import Settings, seconds


class MembershipTimings(NamedTuple):
    """Timings and limits of membership; times in seconds, sizes in bytes.

    A host sends one probe per ``period`` (a delegate sends two). If a direct probe is not
    answered within ``probe_timeout``, the host requests probes through ``helpers`` other
    hosts. A suspect is declared dead after ``suspicion``, and removed ``dead_retention``
    later. ``piggyback_bytes`` limits the items in one probe. ``push_bytes_per_s`` limits the
    average rate of pushed items, with a token bucket of ``push_burst_bytes``. A host publishes
    its load every ``load_period``, and earlier after a change of ``load_step``, but all hosts
    of a place together publish at most ``load_items_per_s``.
    """

    period: float = 0.5
    probe_timeout: float = 0.25
    suspicion: float = 2.0
    helpers: int = 3
    dead_retention: float = 3600.0
    rejoin_period: float = 2.0
    max_rejoin_period: float = 60.0
    sync_delay: float = 2.0
    push_delay: float = 0.01
    piggyback_bytes: int = 1000
    push_bytes_per_s: float = 16_000.0
    push_burst_bytes: float = 256_000.0
    load_period: float = 10.0
    load_step: float = 0.1
    load_items_per_s: float = 4.0
    flap_threshold: int = 3
    flap_window: float = 60.0
    flap_exclusion: float = 5.0
    max_flap_exclusion: float = 60.0


def membership_timings(settings: Settings) -> MembershipTimings:
    """Return the timings in ``settings``, as ``load_settings`` returned them."""
    times = settings["membership"]
    return MembershipTimings(
        period=seconds(times["period"]),
        probe_timeout=seconds(times["probe_timeout"]),
        suspicion=seconds(times["suspicion"]),
    )
