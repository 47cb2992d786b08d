"""Metrics of requests."""

from cranberrywall.observability import Metrics


class RequestMetrics:
    """Metrics of answers, refusals, target faults and runs."""

    def __init__(self, metrics: Metrics) -> None:
        self.answered = metrics.counter("requests_answered", "Complete answers.", ["kind"])
        self.refused = metrics.counter("requests_refused", "Refusals and failures.", ["code"])
        self.dropped_replies = metrics.counter(
            "requests_dropped_replies", "Replies and chunks that were not delivered.", ["cause"]
        )
        self.faults = metrics.counter("requests_target_faults", "Attempts that failed.", ["kind"])
        self.resumed = metrics.counter(
            "requests_resumed", "Streams resumed after a fault.", ["where"]
        )
        self.joined = metrics.counter("requests_joined", "Retries that joined a run.", ["where"])
        self.over_bound = metrics.counter(
            "requests_over_bound", "Answers whose usage exceeded their bound."
        )
        self.running = metrics.gauge("requests_running", "Chat completions in progress.")
