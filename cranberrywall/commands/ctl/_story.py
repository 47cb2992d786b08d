"""Put the log lines about one request in order, and say in a sentence what became of it."""

import re
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cranberrywall.observability import parse_pairs

_RATE_NAMED = "target_rate_named"
_WORD = re.compile(r"[^\s,]+")
_LEAVES = "target_leaves_by_answer"
_BACKOFFS = frozenset({"target_backoff_began", "target_backoff_ended"})
_ABOUT_REFUSALS = _BACKOFFS | {_RATE_NAMED}
_ABOUT_TARGETS = _ABOUT_REFUSALS | {
    "target_ended",
    "target_announced",
    "target_out_of_reach",
    _LEAVES,
}
_ABOUT_FINGERPRINTS = frozenset(
    {"quarantine_decided", "request_doubted", "held_runs_stopped", "prompt_part_found"}
)
_FINGERPRINT = re.compile(r"\b[0-9a-f]{32}\b")
_ANSWERED = "answered"


class LogLine(NamedTuple):
    """Hold one line; ``source`` is its file and number."""

    time: str
    event: str
    host: str
    source: str
    text: str
    pairs: dict[str, str]


class Read(NamedTuple):
    """Hold the lines of one file; ``others`` are the numbers of those that are no log lines."""

    lines: Sequence[LogLine]
    others: Sequence[int]


class Story(NamedTuple):
    """Hold what is known of a request: its lines and those of what it met, in order."""

    lines: Sequence[LogLine]
    sentence: str


def read_lines(name: str, lines: Iterable[str]) -> Read:
    """Read one file's lines."""
    read: list[LogLine] = []
    others: list[int] = []
    for number, text in enumerate(lines, start=1):
        pairs = parse_pairs(text)
        if pairs is not None:
            source = f"{name}:{number}"
            host = pairs.get("host", "-")
            read.append(LogLine(pairs["time"], pairs["event"], host, source, text.strip(), pairs))
        elif text.strip():
            others.append(number)
    return Read(read, others)


def tell(request_id: str, lines: Sequence[LogLine]) -> Story:
    """Return the story of a request, without lines where nothing is known of it."""
    own = [line for line in lines if line.pairs.get("request") == request_id]
    targets = {target for line in own for target in _targets_of(line)}
    refusals = {word for line in own for word in _WORD.findall(line.pairs.get("refusal", ""))}
    # A refusal names the pattern that holds the prompt, which is not the request's fingerprint.
    named = {word for line in own for word in _FINGERPRINT.findall(line.pairs.get("refusal", ""))}
    fingerprints = ({line.pairs.get("fingerprint", "") for line in own} | named) - {""}
    met = [
        line
        for line in lines
        if (line.event in _ABOUT_TARGETS and line.pairs.get("target") in targets)
        or (line.event in _ABOUT_REFUSALS and line.pairs.get("target") in refusals)
        or (line.event in _ABOUT_FINGERPRINTS and line.pairs.get("fingerprint") in fingerprints)
    ]
    by_source = {line.source: line for line in (*own, *met)}
    # By time and, within one file, by place: lines of one process can have the same time.
    ordered = sorted(by_source.values(), key=lambda line: (line.time, _place(line.source)))
    return Story(ordered, _sentence(request_id, sorted(own, key=lambda line: line.time)))


def _sentence(request_id: str, own: Sequence[LogLine]) -> str:
    if not own:
        return (
            f"No line names the request {request_id}: no host of these logs read it whole, or its "
            "lines are in other files."
        )
    last = next((one for one in reversed(own) if one.event == "request_ended"), None)
    if last is not None:
        return _ended(request_id, last, own)
    refused = next((one for one in reversed(own) if one.event == "request_refused"), None)
    if refused is not None:
        return (
            f"The request {request_id} was refused by {refused.host} before anything was sent: "
            f"{refused.pairs.get('refusal', '')}{_describe_budget(own)}."
        )
    return (
        f"The request {request_id} has no end in these logs; the last line is {own[-1].event} of "
        f"{own[-1].host}, whose process may have ended."
    )


def _ended(request_id: str, last: LogLine, own: Sequence[LogLine]) -> str:
    pairs = last.pairs
    seconds = float(pairs.get("seconds", "0") or 0)
    charged = f"{pairs.get('charged', '0')} were charged"
    if pairs.get("outcome") == _ANSWERED:
        return (
            f"The request {request_id} was answered with {pairs.get('status')} by {last.host} "
            f"after {seconds:.2f} s{_tries(own)}; {charged}."
        )
    ran = "it may have run" if pairs.get("may_have_run") == "True" else "it did not run"
    why = pairs.get("refusal") or pairs.get("outcome", "")
    return (
        f"The request {request_id} got no whole answer from {last.host} after {seconds:.2f} s: "
        f"{why}{_tries(own)}; {ran}, and {charged}."
    )


def _describe_budget(own: Sequence[LogLine]) -> str:
    """Return what the ledger had of the budget that a request was refused for; else nothing."""
    line = next((one for one in reversed(own) if one.event == "budget_refused"), None)
    if line is None:
        return ""
    pairs = line.pairs
    here = f"{pairs.get('usable')} could be used on this host"
    if not pairs.get("credited"):
        return f"; {here}, and the ledger had not answered it yet"
    return (
        f"; of {pairs['credited']} credited {pairs.get('charged')} were charged,"
        f" {pairs.get('outstanding')} were held by hosts and {pairs.get('in_doubt')} in doubt,"
        f" as the ledger said {float(pairs.get('ledger_age_s') or 0):.1f} s before; {here}"
    )


def _tries(own: Sequence[LogLine]) -> str:
    failed = [line.pairs for line in own if line.event == "attempt_failed"]
    if not failed:
        return ""
    told = ", ".join(f"{one.get('target')} {one.get('fault')}" for one in failed)
    return f", with failed attempts ({told})"


def _targets_of(line: LogLine) -> Iterable[str]:
    named = line.pairs.get("targets", "").split(",")
    return [target for target in (*named, line.pairs.get("target", "")) if target]


def _place(source: str) -> tuple[str, int]:
    name, _, number = source.rpartition(":")
    return name, int(number)
