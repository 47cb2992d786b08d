"""Hold back the requests that end targets, on every host.

Each host reports the requests that it had at a target that ended, and all hosts weigh all
reports. The first that is sure says so; the others take its word, refuse the request from then on,
and give up what they have of it at targets.
"""

import asyncio
from collections.abc import Sequence
from typing import Any

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import Gossip, Item, Urgency
from cranberrywall.observability import Metrics, log_event
from cranberrywall.quarantine._decisions import Decisions, Held
from cranberrywall.quarantine._endings import Ending, Word
from cranberrywall.quarantine._evidence import Evidence
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._items import decode_item
from cranberrywall.quarantine._judgement import (
    DOUBTED_FROM,
    HELD_FROM,
    LEAST_ENDINGS,
    chances,
)
from cranberrywall.quarantine._runs import Run
from cranberrywall.quarantine._watch import RunTracker
from cranberrywall.quarantine._weights import weight_of
from cranberrywall.quarantine.messages import (
    QUARANTINE_CODEC,
    Decision,
    DecisionState,
    EndingReport,
    Suspicion,
)
from cranberrywall.runtime import Clock
from cranberrywall.targets import TargetIncarnation

ENDINGS_TOPIC = "target-ended"

SETTLE_S = 0.15
"""Reports of one end are waited for so long before they are weighed, in seconds. The hosts that had
requests there see it end within milliseconds of each other, and tell each other in some ten more; a
host that weighed its own alone could take the wrong one of them for the cause."""

DOUBT_RETRY_S = 1.0
"""A request in doubt that comes while it runs already may come back after this, in seconds."""

MOST_SUSPECTS = 64
"""Requests in one report at most, the likeliest first: as many as an engine runs at once."""


class Quarantine:
    """Decide which requests are refused; one for each entry host."""

    def __init__(self, host: str, tracker: RunTracker, gossip: Gossip, clock: Clock) -> None:
        self.tracker = tracker
        self._host = host
        self._spread = gossip
        self._clock = clock
        self._evidence = Evidence()
        self._decisions = Decisions(gossip, clock, self._stop, self._forget)
        self._doubted: frozenset[Fingerprint] = frozenset()
        self._weighing: asyncio.Task[None] | None = None
        self._ended = {str(word): 0 for word in Word}
        self._refused = {"held": 0, "doubted": 0}
        tracker.on_ended = self._report
        tracker.on_whole = self._clear
        gossip.subscribe(ENDINGS_TOPIC, self._take_report)

    def check(self, fingerprint: Fingerprint, now: float) -> Refusal | None:
        """Return why a request must not go to a target now; ``None`` where it may."""
        held = self._decisions.held(fingerprint, now)
        if held is not None:
            self._refused["held"] += 1
            return _held_refusal(held, now)
        if fingerprint in self._doubted and self.tracker.runs.under_way_of(fingerprint):
            self._refused["doubted"] += 1
            return _doubted_refusal(fingerprint)
        return None

    def hold(self, fingerprint: Fingerprint, by: str) -> None:
        """Refuse a request on all hosts."""
        self._decide(fingerprint, DecisionState.HELD, by)

    def lift(self, fingerprint: Fingerprint, by: str) -> None:
        """Let a request run again on all hosts, and forget what spoke against it."""
        self._decide(fingerprint, DecisionState.LIFTED, by)

    def held_now(self) -> Sequence[Fingerprint]:
        """Return the requests that are held back, oldest first."""
        return [held.decision.fingerprint for held in self._decisions.all_held()]

    def expire(self, now: float) -> None:
        """Forget what is too old; call it once a second."""
        self._decisions.expire(now)
        self._publish_gone(self._evidence.forget_old(now))

    def close(self) -> None:
        """Watch and weigh no more."""
        self.tracker.close()
        if self._weighing is not None:
            self._weighing.cancel()

    def state(self) -> dict[str, Any]:
        """Return what is held, doubted and known, for the state dump."""
        now = self._clock.now()
        return {
            "held": {
                held.decision.fingerprint.hex(): {
                    "by": held.decision.by,
                    "request": held.decision.request_id,
                    "targets": list(held.decision.targets),
                    "left_s": round(held.until - now, 1),
                }
                for held in self._decisions.all_held()
            },
            "doubted": sorted(fingerprint.hex() for fingerprint in self._doubted),
            "endings": len(self._evidence),
        }

    def export(self, metrics: Metrics) -> None:
        """Let ``metrics`` show what is held and doubted, and what was refused."""
        metrics.gauges_of(
            "quarantine_requests", "Requests by what holds for them.", "state", self._counts
        )
        metrics.counters_of(
            "quarantine_refused", "Arrivals and attempts refused.", "reason", lambda: self._refused
        )
        metrics.counters_of(
            "quarantine_targets_ended",
            "Ends of targets seen here, with requests of this host under way.",
            "word",
            lambda: self._ended,
        )

    def _counts(self) -> dict[str, int]:
        return {"held": len(self._decisions.all_held()), "doubted": len(self._doubted)}

    def _report(self, ending: Ending, runs: Sequence[Run], now: float) -> None:
        """Tell all hosts, this one included, which requests a target was at as it ended."""
        self._ended[str(ending.word)] += 1
        self._publish_report(ending.start, runs, ending.at)

    def _publish_report(
        self, start: TargetIncarnation, runs: Sequence[Run], ended_at: float
    ) -> None:
        weight_by_fingerprint: dict[Fingerprint, float] = {}
        for run in runs:
            weight = max(weight_of(run, ended_at), weight_by_fingerprint.get(run.fingerprint, 0.0))
            weight_by_fingerprint[run.fingerprint] = weight
        likeliest = sorted(weight_by_fingerprint.items(), key=lambda pair: -pair[1])
        suspicions = tuple(
            Suspicion(fingerprint, max(1, round(weight * 100)))
            for fingerprint, weight in likeliest[:MOST_SUSPECTS]
        )
        report = EndingReport(start.target, start.incarnation, self._host, suspicions)
        payload = QUARANTINE_CODEC.encode(report)
        key = _ending_key(start, self._host)
        self._evidence.tell(start)
        self._spread.publish(Item(ENDINGS_TOPIC, key, (1,), payload, urgency=Urgency.URGENT))

    def _take_report(self, item: Item) -> None:
        report = decode_item(item, EndingReport)
        if report is None:
            return
        now = self._clock.now()
        start = TargetIncarnation(report.target, report.incarnation)
        is_news = not self._evidence.knows(start)
        weights = {one.fingerprint: min(100, one.percent) / 100 for one in report.suspicions}
        self._publish_gone(self._evidence.add(start, weights, now))
        if is_news:
            # Each host would find out by failures of its own otherwise, and send requests there
            # until then.
            self.tracker.forget_target(start, now)
        if report.host == self._host:
            self._evidence.tell(start)
        else:
            self._add_own(start, now)
        self._weigh_soon()

    def _add_own(self, start: TargetIncarnation, now: float) -> None:
        """Report this host's runs too: its connections may not have shown the target's end."""
        ended_at = self.tracker.runs.broke_at(start) or now
        runs = self.tracker.runs.under_way(start, ended_at)
        if runs and self._evidence.tell(start):
            self._publish_report(start, runs, ended_at)

    def _clear(self, run: Run) -> None:
        """Take a whole answer for the proof that the request doesn't end targets."""
        fingerprint = run.fingerprint
        is_held = fingerprint in self._decisions.held_by_fingerprint
        if is_held or len(self._evidence.starts_of(fingerprint)) >= LEAST_ENDINGS:
            self._decide(fingerprint, DecisionState.CLEARED, self._host)
        else:
            self._evidence.clear(fingerprint)

    def _weigh_soon(self) -> None:
        if self._weighing is None or self._weighing.done():
            self._weighing = asyncio.get_running_loop().create_task(self._weigh_later())

    async def _weigh_later(self) -> None:
        await self._clock.sleep(SETTLE_S)
        self._weigh()

    def _weigh(self) -> None:
        found = chances(self._evidence.newest(), self._decisions.held_by_fingerprint.keys())
        doubted = frozenset(one for one, chance in found.items() if chance >= DOUBTED_FROM)
        known, self._doubted = self._doubted, doubted
        for fingerprint in doubted - known:
            self._log_doubt(fingerprint, found[fingerprint])
        for fingerprint in doubted:
            if found[fingerprint] >= HELD_FROM:
                self.hold(fingerprint, self._host)

    def _log_doubt(self, fingerprint: Fingerprint, chance: float) -> None:
        log_event(
            "INFO",
            "request_doubted",
            request=self.tracker.runs.name_of(fingerprint),
            fingerprint=fingerprint.hex(),
            chance=chance,
            ended=len(self._evidence.starts_of(fingerprint)),
        )

    def _decide(self, fingerprint: Fingerprint, state: DecisionState, by: str) -> None:
        targets = tuple(start.target for start in self._evidence.starts_of(fingerprint))
        request_id = self.tracker.runs.name_of(fingerprint)
        self._decisions.decide(Decision(fingerprint, state, by, request_id, targets))

    def _stop(self, fingerprint: Fingerprint) -> None:
        """End what this host has of a request that is held from now on: it spares the targets
        at which it waits its turn."""
        self._doubted -= {fingerprint}
        stopped = self.tracker.runs.stop(fingerprint)
        if stopped:
            log_event("INFO", "held_runs_stopped", fingerprint=fingerprint.hex(), runs=stopped)

    def _forget(self, fingerprint: Fingerprint) -> None:
        """Forget what speaks against a request."""
        self._doubted -= {fingerprint}
        self._evidence.clear(fingerprint)

    def _publish_gone(self, starts: Sequence[TargetIncarnation]) -> None:
        """Let this host's reports of old ends go on all hosts; each lets its own go."""
        for start in starts:
            key = _ending_key(start, self._host)
            self._spread.publish(Item(ENDINGS_TOPIC, key, (2,), b""))


def _ending_key(start: TargetIncarnation, host: str) -> str:
    return f"{start.target}/{start.incarnation}/{host}"


def _held_refusal(held: Held, now: float) -> Refusal:
    return Refusal(
        ErrorKind.QUARANTINED,
        f"{len(held.decision.targets)} targets ended as they began this request "
        f"({held.decision.fingerprint.hex()}), so it is not sent to any other",
        remedy="change the request, or ask an operator to let it run once the targets are mended",
        retry_after=max(1.0, held.until - now),
    )


def _doubted_refusal(fingerprint: Fingerprint) -> Refusal:
    return Refusal(
        ErrorKind.QUARANTINED,
        f"targets ended under this request ({fingerprint.hex()}); until it is known whether "
        "it was the cause, it runs at one target at a time",
        remedy="send it again once the one under way has ended",
        retry_after=DOUBT_RETRY_S,
    )
