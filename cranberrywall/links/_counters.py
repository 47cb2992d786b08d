"""Counters of frames and bytes on the streams, and of drops by reason."""

from collections import Counter
from enum import StrEnum

from cranberrywall.observability import Metrics


class DropReason(StrEnum):
    """Reason for which a frame or a connection is dropped."""

    TRUNCATED = "truncated"
    TOO_LARGE = "too_large"
    BAD_VERSION = "bad_version"
    UNKNOWN_FRAME = "unknown_frame"
    MALFORMED_FRAME = "malformed_frame"
    UNKNOWN_METHOD = "unknown_method"
    MALFORMED_REQUEST = "malformed_request"
    MALFORMED_REPLY = "malformed_reply"
    REPEATED_CALL = "repeated_call"
    LATE_REPLY = "late_reply"
    EXPIRED_CALL = "expired_call"
    TOO_MANY_CALLS = "too_many_calls"
    TOO_MANY_STRANGERS = "too_many_strangers"
    HANDSHAKE_TIMEOUT = "handshake_timeout"
    WRONG_PROOF = "wrong_proof"
    TLS_FAILED = "tls_failed"
    WRONG_CERTIFICATE = "wrong_certificate"
    SLOW_PEER = "slow_peer"
    SILENT_PEER = "silent_peer"


class LinkCounters:
    """Counters of one process, which its caller and its server may share."""

    def __init__(self) -> None:
        self.dropped_by_reason: Counter[DropReason] = Counter()
        self.frames_in = 0
        self.frames_out = 0
        self.bytes_in = 0
        self.bytes_out = 0

    def drop(self, reason: DropReason) -> None:
        """Count one dropped frame or connection."""
        self.dropped_by_reason[reason] += 1

    def export(self, metrics: Metrics) -> None:
        """Register the counters with ``metrics``."""
        metrics.counters_of(
            "links_dropped",
            "Frames and connections dropped on the streams between processes.",
            "reason",
            lambda: {str(reason): self.dropped_by_reason[reason] for reason in DropReason},
        )
        metrics.counters_of(
            "links_frames",
            "Frames on the streams between processes.",
            "direction",
            lambda: {"in": self.frames_in, "out": self.frames_out},
        )
        metrics.counters_of(
            "links_bytes",
            "Bytes on the streams between processes.",
            "direction",
            lambda: {"in": self.bytes_in, "out": self.bytes_out},
        )

    def state(self) -> dict[str, object]:
        """Return the counts for the state dump."""
        return {
            "frames_in": self.frames_in,
            "frames_out": self.frames_out,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
            "dropped": {str(reason): count for reason, count in self.dropped_by_reason.items()},
        }
