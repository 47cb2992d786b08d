"""Quarantine: detect requests that end the targets that start to run them, and refuse these."""

from cranberrywall.quarantine._fingerprint import Fingerprint, fingerprint_of
from cranberrywall.quarantine._operator_calls import (
    QUARANTINE,
    QuarantineReply,
    QuarantineRequest,
    register_quarantine,
)
from cranberrywall.quarantine._quarantine import Quarantine
from cranberrywall.quarantine._recorded import RECORD_LIFETIME_BY_TOPIC
from cranberrywall.quarantine._runs import Run, RunEnd
from cranberrywall.quarantine._stoppable import stoppable
from cranberrywall.quarantine._tracker import RunTracker
from cranberrywall.quarantine._traits import NO_TRAITS, Traits, part_trait, traits_of

__all__ = [
    "NO_TRAITS",
    "QUARANTINE",
    "RECORD_LIFETIME_BY_TOPIC",
    "Fingerprint",
    "Quarantine",
    "QuarantineReply",
    "QuarantineRequest",
    "Run",
    "RunEnd",
    "RunTracker",
    "Traits",
    "fingerprint_of",
    "part_trait",
    "register_quarantine",
    "stoppable",
    "traits_of",
]
