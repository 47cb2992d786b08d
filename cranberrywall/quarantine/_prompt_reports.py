"""Encode and decode the reports of prompts at targets that ended."""

from collections.abc import Sequence

from cranberrywall.observability import log_event
from cranberrywall.quarantine._prompt_evidence import PromptRun
from cranberrywall.quarantine._runs import Run
from cranberrywall.quarantine._traits import Trait, Traits
from cranberrywall.quarantine._weights import weight_of
from cranberrywall.quarantine.messages import PromptReport, ReportedRun
from cranberrywall.targets import TargetIncarnation

MIN_WEIGHT = 0.5
"""Minimum weight of a run in a report. Runs that a target has written for long are no cause."""

MAX_RUNS = 64
"""Maximum number of runs in one report, the likeliest first."""

_UNANSWERED = -1


def encode_report(
    incarnation: TargetIncarnation, host: str, runs: Sequence[Run], ended_at: float, now: float
) -> PromptReport | None:
    """Return a host's report about a target that ended; ``None`` if no run there had parts."""
    weighted = [(weight_of(run, ended_at), run) for run in runs if run.traits.parts]
    likeliest = sorted(
        (pair for pair in weighted if pair[0] >= MIN_WEIGHT), key=lambda pair: -pair[0]
    )[:MAX_RUNS]
    if not likeliest:
        return None
    position_by_trait: dict[Trait, int] = {}

    def position(trait: Trait) -> int:
        return position_by_trait.setdefault(trait, len(position_by_trait))

    reported = tuple(
        ReportedRun(
            run.fingerprint,
            round(weight * 100),
            _milliseconds(run.answered_s(ended_at)),
            position(run.traits.workspace),
            position(run.traits.service),
            tuple(position(part) for part in run.traits.parts),
        )
        for weight, run in likeliest
    )
    return PromptReport(
        incarnation.target,
        incarnation.incarnation,
        host,
        round(max(0.0, now - ended_at) * 1000),
        tuple(position_by_trait),
        reported,
    )


def _milliseconds(seconds: float | None) -> int:
    return _UNANSWERED if seconds is None else round(seconds * 1000)


def decode_runs(report: PromptReport) -> list[PromptRun] | None:
    """Return the runs of a report; ``None`` if it is malformed."""
    traits = report.traits
    positions = [
        position for run in report.runs for position in (run.workspace, run.service, *run.parts)
    ]
    if any(not 0 <= position < len(traits) for position in positions):
        log_event("WARNING", "prompt_report_malformed", host=report.host, target=report.target)
        return None
    return [
        PromptRun(
            run.fingerprint,
            min(100, max(1, run.percent)) / 100,
            None if run.answered_ms < 0 else run.answered_ms / 1000,
            Traits(
                frozenset(traits[position] for position in run.parts),
                traits[run.workspace],
                traits[run.service],
            ),
        )
        for run in report.runs
    ]
