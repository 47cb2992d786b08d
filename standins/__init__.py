"""Stand in for model engines and plain services, in demos, tests and measurements.

The stand-ins know nothing of the system: they speak HTTP as a user's engines and services
do, announce themselves, keep counts that a proof compares with, and fail on request.
"""

from standins._announcer import AnnounceOptions
from standins._answers import (
    answer_text,
    answer_words,
    check_answer,
    count_prompt_tokens,
    service_answer,
)
from standins._engine import Engine, EngineOptions, make_engine
from standins._faults import Faults
from standins._prefixes import block_hashes
from standins._service import Service, ServiceOptions, make_service
from standins._serving import Serving, serve

__all__ = [
    "AnnounceOptions",
    "Engine",
    "EngineOptions",
    "Faults",
    "Service",
    "ServiceOptions",
    "Serving",
    "answer_text",
    "answer_words",
    "block_hashes",
    "check_answer",
    "count_prompt_tokens",
    "make_engine",
    "make_service",
    "serve",
    "service_answer",
]
