"""Runs of requests that probably end targets, of all hosts: each runs at one target at a time.

Each host notifies the others when it sends such a request, and when the run ends. No request waits
for that, so hosts that send the request within the same few milliseconds do not notice each other.
Times are monotonic seconds of this host.
"""

from cranberrywall.hosts import Gossip, Item, Urgency
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._runs import Run, RunEnd
from cranberrywall.runtime import Clock

SUSPECT_RUNS_TOPIC = "suspect-run"

MAX_RUN_S = 10.0
"""Time after which a run of another host is assumed to have ended, in seconds: the host may have
been lost."""

SETTLING_S = 0.25
"""Time after a run that broke in which the request is not sent again, in seconds. In that time the
hosts find out whether the target ended, and decide."""

_RUNNING = b"running"
_BROKEN = b"broken"


class SuspectRuns:
    """Publish this host's runs of suspect requests, and receive those of the others."""

    def __init__(self, host: str, gossip: Gossip, clock: Clock) -> None:
        self._host = host
        self._gossip = gossip
        self._clock = clock
        self._own_by_fingerprint: dict[Fingerprint, Run] = {}
        self._until_by_fingerprint: dict[Fingerprint, dict[str, float]] = {}
        self._published_at: dict[Fingerprint, float] = {}
        self._number = 0
        gossip.subscribe(SUSPECT_RUNS_TOPIC, self._apply)

    def is_running(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a run of a request at any host is open, or broke a moment ago."""
        if not self._until_by_fingerprint:
            return False
        return any(
            now < until for until in self._until_by_fingerprint.get(fingerprint, {}).values()
        )

    def begin(self, run: Run) -> None:
        """Record that this host sends a suspect request."""
        self._own_by_fingerprint[run.fingerprint] = run
        self._publish(run.fingerprint, _RUNNING)

    def finish(self, run: Run) -> None:
        """Record the end of a run of this host, if it was published."""
        if self._own_by_fingerprint.get(run.fingerprint) is not run:
            return
        del self._own_by_fingerprint[run.fingerprint]
        self._publish(run.fingerprint, _BROKEN if run.end is RunEnd.BROKEN else b"")

    def expire(self, now: float) -> None:
        """Remove the runs that are over; call it once a second."""
        for fingerprint, at in list(self._published_at.items()):
            if now - at >= MAX_RUN_S:
                self._publish(fingerprint, b"")
        for fingerprint, until_by_host in list(self._until_by_fingerprint.items()):
            live = {host: until for host, until in until_by_host.items() if now < until}
            if live:
                self._until_by_fingerprint[fingerprint] = live
            else:
                del self._until_by_fingerprint[fingerprint]

    def _publish(self, fingerprint: Fingerprint, payload: bytes) -> None:
        if payload:
            self._published_at[fingerprint] = self._clock.now()
        else:
            self._published_at.pop(fingerprint, None)
        key = f"{fingerprint.hex()}/{self._host}"
        # A run may begin and end within the same millisecond.
        self._number += 1
        version = (int(self._clock.wall() * 1000), self._number)
        self._gossip.publish(
            Item(SUSPECT_RUNS_TOPIC, key, version, payload, urgency=Urgency.URGENT)
        )

    def _apply(self, item: Item) -> None:
        name, _, host = item.key.partition("/")
        try:
            fingerprint = bytes.fromhex(name)
        except ValueError:
            return
        until_by_host = self._until_by_fingerprint.setdefault(fingerprint, {})
        if not item.payload:
            until_by_host.pop(host, None)
            return
        duration_s = SETTLING_S if item.payload == _BROKEN else MAX_RUN_S
        until_by_host[host] = self._clock.now() + duration_s
