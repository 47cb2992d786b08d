"""Render the reference page of the error kinds."""

from cranberrywall.errors._kinds import ErrorKind
from cranberrywall.errors._table import TABLE, Answer

_MEANING_BY_KIND: dict[ErrorKind, str] = {
    ErrorKind.BAD_REQUEST: "The request is not well-formed; `field` names the part at fault.",
    ErrorKind.UNAUTHENTICATED: "The bearer key is missing or unknown.",
    ErrorKind.FORBIDDEN: "The workspace may not reach this model, service or class.",
    ErrorKind.NOT_FOUND: "There is no such path, model or service.",
    ErrorKind.TOO_LARGE: "The body, a header or a message is above its limit.",
    ErrorKind.TOO_MANY_REQUESTS: "The workspace has its most requests in progress on this host.",
    ErrorKind.BUDGET_EXHAUSTED: "The ledger said that the budget does not cover the request.",
    ErrorKind.BUDGET_UNREACHABLE: "This host holds too little, and no ledger could be asked.",
    ErrorKind.OVERLOADED: "The queues are full, or the wait would pass the deadline.",
    ErrorKind.RATE_LIMITED: "All targets are in need; what they take goes to others till then.",
    ErrorKind.NO_TARGET: "No target that may serve the request is known and well.",
    ErrorKind.QUARANTINED: "Targets ended as they began this request; it goes to no other.",
    ErrorKind.DEADLINE_PASSED: "The deadline passed while the request waited its turn.",
    ErrorKind.DRAINING: "This host is shutting down; another address serves at once.",
    ErrorKind.NOT_READY: "This host has not got its configuration yet.",
    ErrorKind.NOT_RUN: "The request was given up before a byte of it went to a target.",
    ErrorKind.RUNNING: "An earlier arrival of the same request id is still running.",
    ErrorKind.OUTCOME_UNKNOWN: "The request was sent and its answer is lost; it may have run.",
    ErrorKind.TARGET_FAILED: "The target answered with an error.",
    ErrorKind.ANSWER_CUT: "The answer ended before its end marker; what came is not whole.",
    ErrorKind.CANCELLED: "The caller went away before its answer.",
    ErrorKind.CONFLICT: "The change is based on a state that has changed since.",
    ErrorKind.NOT_LEADER: "This control host does not lead the group.",
    ErrorKind.NOT_CURRENT: "This control host cannot tell whether it is up to date.",
    ErrorKind.PERIOD_CLOSED: "The accounting period is closed.",
    ErrorKind.UNSAFE_STEP: "The step could lose data or spend twice; the remedy says what first.",
    ErrorKind.STORAGE_FAILED: "A write or sync failed; it is not known what is durable.",
    ErrorKind.CORRUPT: "Stored data does not match its checksum and is not used.",
    ErrorKind.UNREACHABLE: "The peer could not be reached; nothing was sent to it.",
    ErrorKind.TIMEOUT: "The peer did not answer in time; it may have acted.",
    ErrorKind.MALFORMED: "A message between processes is not well-formed.",
    ErrorKind.INTERNAL: "A fault of the program; the log of the host names it.",
}

_HEAD = """# Error kinds

Every error that callers, operators or processes get has one of these kinds. This page is
generated from the table in `cranberrywall/errors` by `python .ci/write_reference.py`.

- *Ran*: whether the request reached a target. `no` is a promise: it did not run.
- *Retry is safe*: the same request, sent again with its id, is neither run twice nor billed
  twice.
- *Retry-After*: seconds after which to come back; a refusal may carry a better value.

| Kind | Status | Ran | Retry is safe | Retry-After | Meaning |
|---|---|---|---|---|---|
"""


def render_reference() -> str:
    """Return the page as Markdown."""
    return _HEAD + "".join(_row(kind, answer) for kind, answer in TABLE.items())


def _row(kind: ErrorKind, answer: Answer) -> str:
    ran = str(answer.ran)
    retry_safe = "yes" if answer.retry_safe else "no"
    retry_after = "" if answer.retry_after is None else f"{answer.retry_after:g}"
    meaning = _MEANING_BY_KIND[kind]
    return f"| `{kind}` | {answer.status} | {ran} | {retry_safe} | {retry_after} | {meaning} |\n"
