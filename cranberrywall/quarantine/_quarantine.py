"""Hold the requests that end targets, on every host.

Each host reports the requests that it had at a target that ended, and all hosts evaluate all
reports. The first host that reaches the threshold publishes a decision. The others apply it, refuse
the request from then on, and stop their runs of it at targets.
"""

import asyncio
from collections.abc import Sequence
from typing import Any

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.hosts import Gossip, Item, Urgency
from cranberrywall.observability import Metrics, log_event
from cranberrywall.quarantine._decisions import MAX_HELD, Decisions, Held, RequestFormat
from cranberrywall.quarantine._endings import Ending, EndingSignal
from cranberrywall.quarantine._evidence import ENDING_RETENTION_S, Evidence
from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._inference import (
    DOUBT_THRESHOLD,
    HOLD_THRESHOLD,
    MIN_ENDINGS,
    SUSPECT_THRESHOLD,
    probabilities,
)
from cranberrywall.quarantine._items import decode_item
from cranberrywall.quarantine._prompt_quarantine import PromptQuarantine
from cranberrywall.quarantine._runs import Run, RunEnd
from cranberrywall.quarantine._suspect_runs import SuspectRuns
from cranberrywall.quarantine._tracker import RunTracker
from cranberrywall.quarantine._traits import NO_TRAITS, Traits
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

REPORT_WAIT_S = 0.15
"""Time to wait for further reports of an end before the reports are evaluated, in seconds. The
hosts that had requests at the target detect the end within milliseconds of each other, and receive
each other's reports within some ten milliseconds more. A host that evaluated only its own report
could mistake one of its requests for the cause."""

DOUBT_RETRY_DELAY_S = 1.0
"""Time after which a caller may retry a request in doubt that is running already, in seconds."""

MAX_SUSPICIONS = 64
"""Maximum number of requests in one report, the likeliest first: as many as an engine runs at
once."""


class Quarantine:
    """Decide which requests an entry host refuses."""

    def __init__(self, host: str, tracker: RunTracker, gossip: Gossip, clock: Clock) -> None:
        self.tracker = tracker
        self._host = host
        self._gossip = gossip
        self._clock = clock
        self._evidence = Evidence()
        self._decisions = Decisions(
            gossip, clock, RequestFormat(), self._stop, self._discard_evidence
        )
        self._prompts = PromptQuarantine(
            host, tracker.runs, gossip, clock, self._schedule_evaluation
        )
        self._doubted: frozenset[Fingerprint] = frozenset()
        self._suspects: frozenset[Fingerprint] = frozenset()
        self._suspect_runs = SuspectRuns(host, gossip, clock)
        self._held_until_by_fingerprint: dict[Fingerprint, float] = {}
        self._evaluation: asyncio.Task[None] | None = None
        self._ended = {str(signal): 0 for signal in EndingSignal}
        self._refused = {"held": 0, "prompt": 0, "doubted": 0}
        tracker.on_ended = self._report
        tracker.on_complete = self._clear
        tracker.on_begin = self._record_begin
        tracker.on_finish = self._suspect_runs.finish
        gossip.subscribe(ENDINGS_TOPIC, self._apply_report)

    def check(
        self, fingerprint: Fingerprint, now: float, traits: Traits = NO_TRAITS
    ) -> Refusal | None:
        """Return why a request must not be sent to a target now; ``None`` if it may be sent."""
        held = self._decisions.held(fingerprint, now)
        if held is not None:
            self._refused["held"] += 1
            return _held_refusal(held, now)
        held = self._prompts.find(fingerprint, traits, now)
        if held is not None:
            self._refused["prompt"] += 1
            return _held_prompt_refusal(held, now)
        is_suspect = self._is_suspect(fingerprint)
        if (
            (is_suspect or fingerprint in self._doubted)
            and self.tracker.runs.count_open(fingerprint)
        ) or (is_suspect and self._suspect_runs.is_running(fingerprint, now)):
            self._refused["doubted"] += 1
            return _doubted_refusal(fingerprint)
        return None

    def hold(self, fingerprint: Fingerprint, by: str) -> None:
        """Hold a request on all hosts."""
        self._decide(fingerprint, DecisionState.HELD, by)

    def lift(self, fingerprint: Fingerprint, by: str) -> None:
        """Release a request, or a pattern of prompts, and discard the evidence against it."""
        if self._prompts.is_pattern(fingerprint):
            self._prompts.lift(fingerprint, by)
            return
        self._decide(fingerprint, DecisionState.LIFTED, by)

    def held_fingerprints(self) -> Sequence[Fingerprint]:
        """Return the fingerprints of the held requests and patterns, oldest first."""
        return [held.decision.fingerprint for held in self._all_held()]

    def expire(self, now: float) -> None:
        """Remove old decisions and evidence; call it once a second."""
        self._decisions.expire(now)
        self._forget_expired_holds(now)
        self._suspect_runs.expire(now)
        self._prompts.expire(now)
        self._retract_reports(self._evidence.remove_expired(now))

    def close(self) -> None:
        """Cancel all checks and evaluations."""
        self.tracker.close()
        if self._evaluation is not None:
            self._evaluation.cancel()

    def state(self) -> dict[str, Any]:
        """Return the held and doubted requests and the number of ends, for the state dump."""
        now = self._clock.now()
        traits_by_pattern = self._prompts.state()
        return {
            "held": {
                held.decision.fingerprint.hex(): {
                    "by": held.decision.by,
                    "request": held.decision.request_id,
                    "targets": list(held.decision.targets),
                    "traits": traits_by_pattern.get(held.decision.fingerprint.hex(), []),
                    "left_s": round(held.until - now, 1),
                }
                for held in self._all_held()
            },
            "doubted": sorted(fingerprint.hex() for fingerprint in self._doubted),
            "endings": len(self._evidence),
        }

    def export(self, metrics: Metrics) -> None:
        """Register metrics of held, doubted and refused requests, and of ends of targets."""
        metrics.gauges_of(
            "quarantine_requests",
            "Requests that are held or doubted, by state.",
            "state",
            self._counts,
        )
        metrics.counters_of(
            "quarantine_refused",
            "Arrivals and attempts that the quarantine refused.",
            "reason",
            lambda: self._refused,
        )
        metrics.counters_of(
            "quarantine_targets_ended",
            "Ends of targets detected here while they ran requests of this host.",
            "word",
            lambda: self._ended,
        )

    def _counts(self) -> dict[str, int]:
        return {
            "held": len(self._decisions.all_held()),
            "prompt": len(self._prompts.all_held()),
            "doubted": len(self._doubted),
        }

    def _all_held(self) -> Sequence[Held]:
        return [*self._decisions.all_held(), *self._prompts.all_held()]

    def _report(self, ending: Ending, runs: Sequence[Run], now: float) -> None:
        """Report to all hosts, including this one, which requests ran at a target that ended."""
        self._ended[str(ending.signal)] += 1
        self._publish_report(ending.target_incarnation, runs, ending.at)

    def _publish_report(
        self, incarnation: TargetIncarnation, runs: Sequence[Run], ended_at: float
    ) -> None:
        self._prompts.report(incarnation, runs, ended_at, self._clock.now())
        weight_by_fingerprint: dict[Fingerprint, float] = {}
        for run in runs:
            weight = max(weight_of(run, ended_at), weight_by_fingerprint.get(run.fingerprint, 0.0))
            weight_by_fingerprint[run.fingerprint] = weight
        likeliest = sorted(weight_by_fingerprint.items(), key=lambda pair: -pair[1])
        suspicions = tuple(
            Suspicion(fingerprint, max(1, round(weight * 100)))
            for fingerprint, weight in likeliest[:MAX_SUSPICIONS]
        )
        report = EndingReport(incarnation.target, incarnation.incarnation, self._host, suspicions)
        payload = QUARANTINE_CODEC.encode(report)
        key = _ending_key(incarnation, self._host)
        self._evidence.mark_reported(incarnation)
        self._gossip.publish(Item(ENDINGS_TOPIC, key, (1,), payload, urgency=Urgency.URGENT))

    def _apply_report(self, item: Item) -> None:
        report = decode_item(item, EndingReport)
        if report is None:
            return
        now = self._clock.now()
        incarnation = TargetIncarnation(report.target, report.incarnation)
        is_new = not self._evidence.has_ending(incarnation)
        weights = {one.fingerprint: min(100, one.percent) / 100 for one in report.suspicions}
        self._retract_reports(self._evidence.add(incarnation, weights, now))
        if is_new:
            # Otherwise, each host would send requests there until its own failures show the end.
            self.tracker.discard_target(incarnation, now)
        if report.host == self._host:
            self._evidence.mark_reported(incarnation)
        else:
            self._report_own_runs(incarnation, now)
        self._schedule_evaluation()

    def _report_own_runs(self, incarnation: TargetIncarnation, now: float) -> None:
        """Report this host's runs too: its connections may not have shown the end of the target."""
        ended_at = self.tracker.runs.last_broken_at(incarnation) or now
        runs = self.tracker.runs.running_at(incarnation, ended_at)
        if runs and self._evidence.mark_reported(incarnation):
            self._publish_report(incarnation, runs, ended_at)

    def _is_suspect(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._suspects or fingerprint in self._held_until_by_fingerprint

    def _record_begin(self, run: Run) -> None:
        if self._is_suspect(run.fingerprint):
            self._suspect_runs.begin(run)

    def _clear(self, run: Run) -> None:
        """Treat a complete answer as proof that the request doesn't end targets."""
        if run.end is RunEnd.WHOLE:
            self._prompts.record_whole(run.traits)
        fingerprint = run.fingerprint
        is_suspect = (
            fingerprint in self._decisions.held_by_fingerprint
            or fingerprint in self._held_until_by_fingerprint
        )
        if is_suspect or len(self._evidence.incarnations_of(fingerprint)) >= MIN_ENDINGS:
            self._decide(fingerprint, DecisionState.CLEARED, self._host)
        else:
            self._evidence.clear(fingerprint)

    def _schedule_evaluation(self) -> None:
        if self._evaluation is None or self._evaluation.done():
            self._evaluation = asyncio.get_running_loop().create_task(self._evaluate_later())

    async def _evaluate_later(self) -> None:
        await self._clock.sleep(REPORT_WAIT_S)
        self._evaluate()

    def _evaluate(self) -> None:
        held_requests = self._decisions.held_by_fingerprint.keys()
        self._prompts.evaluate(held_requests)
        explained = self._prompts.explained()
        probability_by_fingerprint = probabilities(
            [
                {**weights, **explained.get(incarnation, {})}
                for incarnation, weights in self._evidence.newest().items()
            ],
            held_requests | {name for names in explained.values() for name in names},
            self._held_until_by_fingerprint.keys(),
        )
        doubted = frozenset(
            one
            for one, probability in probability_by_fingerprint.items()
            if probability >= DOUBT_THRESHOLD
        )
        self._suspects = frozenset(
            one for one in doubted if probability_by_fingerprint[one] >= SUSPECT_THRESHOLD
        )
        doubted_before, self._doubted = self._doubted, doubted
        for fingerprint in doubted - doubted_before:
            self._log_doubt(fingerprint, probability_by_fingerprint[fingerprint])
        for fingerprint in doubted:
            if probability_by_fingerprint[fingerprint] >= HOLD_THRESHOLD:
                self.hold(fingerprint, self._host)

    def _log_doubt(self, fingerprint: Fingerprint, probability: float) -> None:
        log_event(
            "INFO",
            "request_doubted",
            request=self.tracker.runs.request_id_of(fingerprint),
            fingerprint=fingerprint.hex(),
            chance=probability,
            ended=len(self._evidence.incarnations_of(fingerprint)),
        )

    def _decide(self, fingerprint: Fingerprint, state: DecisionState, by: str) -> None:
        targets = tuple(
            incarnation.target for incarnation in self._evidence.incarnations_of(fingerprint)
        )
        request_id = self.tracker.runs.request_id_of(fingerprint)
        self._decisions.decide(Decision(fingerprint, state, by, request_id, targets))

    def _stop(self, fingerprint: Fingerprint) -> None:
        """Stop this host's runs of a request that is held from now on.

        This spares the targets at which the request is still queued.
        """
        self._doubted -= {fingerprint}
        self._suspects -= {fingerprint}
        self._held_until_by_fingerprint.pop(fingerprint, None)
        stopped = self.tracker.runs.stop(fingerprint)
        if stopped:
            log_event("INFO", "held_runs_stopped", fingerprint=fingerprint.hex(), runs=stopped)

    def _discard_evidence(self, fingerprint: Fingerprint, state: DecisionState | None) -> None:
        """Discard the evidence against a request, whatever ended the decision."""
        self._doubted -= {fingerprint}
        self._suspects -= {fingerprint}
        self._held_until_by_fingerprint.pop(fingerprint, None)
        if state is not None:
            self._evidence.clear(fingerprint)
        else:
            # Otherwise, the requests that ran beside it would be left as the only explanations.
            self._evidence.clear_endings(fingerprint)
            self._held_until_by_fingerprint[fingerprint] = self._clock.now()
            if len(self._held_until_by_fingerprint) > MAX_HELD:
                del self._held_until_by_fingerprint[next(iter(self._held_until_by_fingerprint))]

    def _forget_expired_holds(self, now: float) -> None:
        for fingerprint, until in list(self._held_until_by_fingerprint.items()):
            if now - until > ENDING_RETENTION_S:
                del self._held_until_by_fingerprint[fingerprint]

    def _retract_reports(self, incarnations: Sequence[TargetIncarnation]) -> None:
        """Retract this host's reports of old ends on all hosts; each host retracts its own."""
        for incarnation in incarnations:
            key = _ending_key(incarnation, self._host)
            self._gossip.publish(Item(ENDINGS_TOPIC, key, (2,), b""))
            self._prompts.retract(incarnation)


def _ending_key(incarnation: TargetIncarnation, host: str) -> str:
    return f"{incarnation.target}/{incarnation.incarnation}/{host}"


def _held_refusal(held: Held, now: float) -> Refusal:
    return Refusal(
        ErrorKind.QUARANTINED,
        f"{len(held.decision.targets)} targets ended as they started to run this request "
        f"({held.decision.fingerprint.hex()}), so it is not sent to other targets",
        remedy="change the request, or ask an operator to release it once the targets are fixed",
        retry_after=max(1.0, held.until - now),
    )


def _held_prompt_refusal(held: Held, now: float) -> Refusal:
    return Refusal(
        ErrorKind.QUARANTINED,
        f"{len(held.decision.targets)} targets ended as they began to answer prompts with a part "
        f"of this one ({held.decision.fingerprint.hex()}), so it is not sent to other targets",
        remedy="change the prompt, or ask an operator to release it once the targets are fixed",
        retry_after=max(1.0, held.until - now),
    )


def _doubted_refusal(fingerprint: Fingerprint) -> Refusal:
    return Refusal(
        ErrorKind.QUARANTINED,
        f"targets ended while they ran this request ({fingerprint.hex()}); until it is clear "
        "whether it is the cause, it runs at one target at a time",
        remedy="repeat the request when the running attempt has ended",
        retry_after=DOUBT_RETRY_DELAY_S,
    )
