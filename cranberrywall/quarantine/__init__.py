"""Find the requests that end the targets which begin them, and refuse those."""

from cranberrywall.quarantine._fingerprint import Fingerprint, fingerprint_of, short_name
from cranberrywall.quarantine._quarantine import Quarantine
from cranberrywall.quarantine._runs import Run, RunEnd
from cranberrywall.quarantine._watch import RunWatch

__all__ = ["Fingerprint", "Quarantine", "Run", "RunEnd", "RunWatch", "fingerprint_of", "short_name"]
