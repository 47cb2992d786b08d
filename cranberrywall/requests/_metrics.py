"""Count what happens to requests."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class RequestMetrics:
    """Hold the metrics of requests, registered at ``registry``."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.answered = Counter("requests_answered", "Whole answers.", ["kind"], registry=registry)
        self.refused = Counter(
            "requests_refused", "Requests refused or failed.", ["code"], registry=registry
        )
        self.dropped_chunks = Counter(
            "requests_dropped_chunks", "Replies dropped.", ["cause"], registry=registry
        )
        self.faults = Counter(
            "requests_target_faults", "Attempts that failed.", ["kind"], registry=registry
        )
        self.resumed = Counter(
            "requests_resumed", "Streams gone on with after a cut.", ["where"], registry=registry
        )
        self.joined = Counter(
            "requests_joined", "Retries that joined a run.", ["where"], registry=registry
        )
        self.over_bound = Counter(
            "requests_over_bound", "Answers that cost more than their bound.", registry=registry
        )
        self.running = Gauge("requests_running", "Runs in progress.", registry=registry)
