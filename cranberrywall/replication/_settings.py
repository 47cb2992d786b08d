"""Name the times and sizes of a group.

Every host of a group uses the same values. ``election_s`` must be several times
``heartbeat_s``, or a late heartbeat costs an election.
"""

from typing import NamedTuple

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


class GroupSettings(NamedTuple):
    """Hold a group's times, in seconds, and its sizes.

    A follower that hears no leader for ``election_s`` to twice that campaigns, and a
    leader that hears no majority for ``election_s`` steps down; so does one
    whose disk has not finished a write for ``disk_hangs_s``. ``batch_bytes`` bounds
    one append, ``chunk_bytes`` one part of a snapshot; ``appends_in_progress`` are sent to
    a follower before it has answered the first of them. A snapshot is due once the log
    since the last one is larger than ``snapshot_bytes`` and than that snapshot. The
    newest ``retained_entries`` stay in the log behind a snapshot, so that a follower
    that is a little late needs no transfer. A learner that lacks at most
    ``promotion_lag`` entries becomes a voter. A voter that has been silent for
    ``give_up_s`` loses its seat where at least three others answer, so that a host that is
    gone for good doesn't count in majorities for ever; ``None`` leaves that to operators. One of
    an even number of voters loses it after ``give_up_even_s``: without it the group bears as many
    further losses as with it, and one more than while it is unresponsive.
    """

    heartbeat_s: float = 0.25
    election_s: float = 1.0
    tick_s: float = 0.1
    disk_hangs_s: float = 5.0
    batch_bytes: int = 512 * KIBIBYTE
    chunk_bytes: int = 256 * KIBIBYTE
    command_bytes: int = 8 * MEBIBYTE
    appends_in_progress: int = 8
    queued_commands: int = 20_000
    segment_bytes: int = 1 * MEBIBYTE
    snapshot_bytes: int = 128 * KIBIBYTE
    retained_entries: int = 500
    promotion_lag: int = 50
    give_up_s: float | None = None
    give_up_even_s: float = 2.5
