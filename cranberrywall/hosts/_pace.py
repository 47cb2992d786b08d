"""Hold the times and bounds of membership."""

from typing import NamedTuple

from cranberrywall.settings import Settings, seconds


class MembershipTimings(NamedTuple):
    """Pace membership; times in seconds, sizes in bytes.

    A host sends one probe a ``period`` (a delegate two). A direct probe that is not answered
    within ``probe_timeout`` is followed by probes through ``helpers`` other hosts. A suspect
    is taken for dead after ``suspicion``, and forgotten ``forget_after`` later.
    ``piggyback_bytes`` bounds the items in one probe, ``push_bytes_per_s`` what is pushed at
    once, on average, with ``push_burst_bytes`` at most saved up. A host publishes its load
    every ``load_period``, and sooner after a change of ``load_step``, but all hosts of a
    place together no more than ``load_items_per_s``.
    """

    period: float = 0.5
    probe_timeout: float = 0.25
    suspicion: float = 2.0
    helpers: int = 3
    forget_after: float = 3600.0
    rejoin_period: float = 2.0
    rejoin_longest: float = 60.0
    sync_after: float = 2.0
    push_delay: float = 0.01
    piggyback_bytes: int = 1000
    push_bytes_per_s: float = 16_000.0
    push_burst_bytes: float = 256_000.0
    load_period: float = 10.0
    load_step: float = 0.1
    load_items_per_s: float = 4.0
    flaps: int = 3
    flap_window: float = 60.0
    flap_hold: float = 5.0
    flap_hold_longest: float = 60.0


def membership_timings(settings: Settings) -> MembershipTimings:
    """Return the pace of a process's settings, as ``load_settings`` gave them."""
    times = settings["membership"]
    return MembershipTimings(
        period=seconds(times["period"]),
        probe_timeout=seconds(times["probe_timeout"]),
        suspicion=seconds(times["suspicion"]),
    )
