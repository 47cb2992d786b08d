"""Topics whose items are recorded, so that they outlive all entry hosts."""

from collections.abc import Mapping

from cranberrywall.quarantine._decisions import DECISIONS_TOPIC
from cranberrywall.quarantine._evidence import ENDING_RETENTION_S
from cranberrywall.quarantine._patterns import PATTERNS_TOPIC
from cranberrywall.quarantine._prompt_quarantine import CLEARED_TOPIC, PROMPTS_TOPIC
from cranberrywall.quarantine._quarantine import ENDINGS_TOPIC

RECORD_LIFETIME_BY_TOPIC: Mapping[str, float] = {
    ENDINGS_TOPIC: ENDING_RETENTION_S,
    DECISIONS_TOPIC: ENDING_RETENTION_S,
    PROMPTS_TOPIC: ENDING_RETENTION_S,
    PATTERNS_TOPIC: ENDING_RETENTION_S,
    CLEARED_TOPIC: ENDING_RETENTION_S,
}
"""Lifetimes of the records of each topic, in seconds.

A decision or clearance that ended before the ends of targets would let these hold a request anew
that was found harmless."""
