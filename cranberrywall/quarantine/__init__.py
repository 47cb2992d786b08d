"""Find the requests that end the targets which begin them, and refuse those."""

from cranberrywall.quarantine._fingerprint import Fingerprint, fingerprint_of
from cranberrywall.quarantine._orders import (
    QUARANTINE,
    QuarantineReply,
    QuarantineRequest,
    register_quarantine,
)
from cranberrywall.quarantine._quarantine import Quarantine
from cranberrywall.quarantine._runs import Run, RunEnd
from cranberrywall.quarantine._stopping import stoppable
from cranberrywall.quarantine._watch import RunTracker

__all__ = [
    "QUARANTINE",
    "Fingerprint",
    "Quarantine",
    "QuarantineReply",
    "QuarantineRequest",
    "Run",
    "RunEnd",
    "RunTracker",
    "fingerprint_of",
    "register_quarantine",
    "stoppable",
]
