"""Renderer of the reference page of error kinds."""

from cranberrywall.errors._kinds import ErrorKind
from cranberrywall.errors._table import TABLE, Answer

_MEANING_BY_KIND: dict[ErrorKind, str] = {
    ErrorKind.BAD_REQUEST: "The request is malformed; `field` names the invalid part.",
    ErrorKind.UNAUTHENTICATED: "The bearer key is missing or unknown.",
    ErrorKind.FORBIDDEN: "The workspace may not use this model, service or priority class.",
    ErrorKind.NOT_FOUND: "The path, model or service does not exist.",
    ErrorKind.TOO_LARGE: "The body, a header or a message exceeds its size limit.",
    ErrorKind.TOO_MANY_REQUESTS: (
        "The workspace has reached its limit of requests in progress on this host."
    ),
    ErrorKind.BUDGET_EXHAUSTED: "The ledger reported that the budget does not cover the request.",
    ErrorKind.BUDGET_UNREACHABLE: (
        "This host's balance is insufficient, and no ledger was reachable."
    ),
    ErrorKind.OVERLOADED: "The queues are full, or the wait would exceed the deadline.",
    ErrorKind.RATE_LIMITED: (
        "All targets are throttled; until Retry-After, other requests use the rate they accept."
    ),
    ErrorKind.NO_TARGET: "No healthy target is available that may serve the request.",
    ErrorKind.EVACUATED: (
        "Every target that may serve the request is in a place that is being evacuated."
    ),
    ErrorKind.QUARANTINED: (
        "Targets ended when they started to run this request; it is sent to no other target."
    ),
    ErrorKind.DEADLINE_PASSED: "The deadline passed while the request was queued.",
    ErrorKind.DRAINING: (
        "This host is shutting down; another address can serve the request immediately."
    ),
    ErrorKind.NOT_READY: "This host has not received its configuration yet.",
    ErrorKind.NOT_RUN: "The request was abandoned before a byte of it was sent to a target.",
    ErrorKind.RUNNING: "An earlier request with the same request id is still running.",
    ErrorKind.OUTCOME_UNKNOWN: "The request was sent and its answer was lost; it may have run.",
    ErrorKind.TARGET_FAILED: "The target answered with an error.",
    ErrorKind.ANSWER_CUT: "The answer ended before its end marker; it is incomplete.",
    ErrorKind.CANCELLED: "The caller disconnected before it received its answer.",
    ErrorKind.CONFLICT: "The change is based on a state that has changed in the meantime.",
    ErrorKind.NOT_LEADER: "This control host is not the leader of the group.",
    ErrorKind.NOT_CURRENT: "This control host cannot determine whether it is up to date.",
    ErrorKind.PERIOD_CLOSED: "The accounting period is closed.",
    ErrorKind.UNSAFE_STEP: (
        "The step could lose data or spend twice; the remedy states what to do first."
    ),
    ErrorKind.STORAGE_FAILED: "A write or sync failed; it is unknown which data is durable.",
    ErrorKind.CORRUPT: "Stored data does not match its checksum and is ignored.",
    ErrorKind.UNREACHABLE: "The peer was unreachable; nothing was sent to it.",
    ErrorKind.TIMEOUT: "The peer did not answer in time; it may have acted.",
    ErrorKind.MALFORMED: "A message between processes is malformed.",
    ErrorKind.INTERNAL: "An internal error; the log of the host contains the details.",
}

_PAGE_HEADER = """# Error kinds

Every error that callers, operators or processes receive has one of these kinds. This page is
generated from the table in `cranberrywall/errors` by `python .ci/write_reference.py`.

- *Ran*: whether the request reached a target. `no` guarantees that it did not run.
- *Retry is safe*: if the same request is sent again with its id, it is neither run twice nor
  billed twice.
- *Retry-After*: seconds to wait before a retry; a refusal may contain a more precise value.

| Kind | Status | Ran | Retry is safe | Retry-After | Meaning |
|---|---|---|---|---|---|
"""


def render_reference() -> str:
    """Return the reference page as Markdown."""
    return _PAGE_HEADER + "".join(_row(kind, answer) for kind, answer in TABLE.items())


def _row(kind: ErrorKind, answer: Answer) -> str:
    ran = str(answer.ran)
    retry_safe = "yes" if answer.retry_safe else "no"
    retry_after = "" if answer.retry_after is None else f"{answer.retry_after:g}"
    meaning = _MEANING_BY_KIND[kind]
    return f"| `{kind}` | {answer.status} | {ran} | {retry_safe} | {retry_after} | {meaning} |\n"
