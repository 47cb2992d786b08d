"""Enumeration of all error kinds."""

from enum import StrEnum


class Ran(StrEnum):
    """Whether the request reached a target before it failed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Kinds of errors; the value is the error code in answers to callers."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    TOO_MANY_REQUESTS = "too_many_requests"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNREACHABLE = "budget_unreachable"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limited"
    NO_TARGET = "no_target"
    EVACUATED = "evacuated"
    QUARANTINED = "quarantined"
    DEADLINE_PASSED = "deadline_passed"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    NOT_RUN = "not_run"
    RUNNING = "running"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TARGET_FAILED = "target_failed"
    ANSWER_CUT = "answer_cut"
    CANCELLED = "cancelled"
    CONFLICT = "conflict"
    NOT_LEADER = "not_leader"
    NOT_CURRENT = "not_current"
    PERIOD_CLOSED = "period_closed"
    UNSAFE_STEP = "unsafe_step"
    STORAGE_FAILED = "storage_failed"
    CORRUPT = "corrupt"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"
    INTERNAL = "internal"
