"""Count what a stand-in ran, by request id and attempt."""

from typing import NamedTuple, TypedDict


class RequestCount(TypedDict):
    """Hold what ran for one request id.

    ``executions`` counts starts, ``finished`` those that ran to their end. Tokens are
    those of finished executions; a service has none.
    """

    executions: int
    finished: int
    cancelled: int
    prompt_tokens: int
    completion_tokens: int
    attempts: list[str]


class Usage(NamedTuple):
    """Hold the tokens of one execution."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Counts:
    """Keep the counts of one stand-in."""

    def __init__(self) -> None:
        self.by_request: dict[str, RequestCount] = {}
        self.refused = 0

    def begin(self, request_id: str, attempt_id: str) -> int:
        """Count a start and return how often this request had started before."""
        count = self.by_request.setdefault(request_id, _nothing())
        count["executions"] += 1
        count["attempts"].append(attempt_id)
        return count["executions"] - 1

    def started(self, request_id: str) -> int:
        """Return how often this request started here."""
        count = self.by_request.get(request_id)
        return count["executions"] if count else 0

    def finish(self, request_id: str, usage: Usage) -> None:
        """Count an execution that ran to its end."""
        count = self.by_request[request_id]
        count["finished"] += 1
        count["prompt_tokens"] += usage.prompt_tokens
        count["completion_tokens"] += usage.completion_tokens

    def cancel(self, request_id: str) -> None:
        """Count an execution that was cancelled."""
        self.by_request[request_id]["cancelled"] += 1


def _nothing() -> RequestCount:
    return {
        "executions": 0,
        "finished": 0,
        "cancelled": 0,
        "prompt_tokens": 0,
        "completion_tokens": 0,
        "attempts": [],
    }
