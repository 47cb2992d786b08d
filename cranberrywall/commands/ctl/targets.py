"""List the targets that entry hosts know."""

from typing import Any, NamedTuple

import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._dumps import ask_states, first_refusal
from cranberrywall.commands.ctl._output import print_json, print_table
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.errors import ErrorKind, Refusal


class TargetRow(NamedTuple):
    """Describe a target; ``known_by`` counts the entry hosts that know it.

    ``rate`` is the requests a second that a target in need takes from all hosts together, ``None``
    where it names none; ``rate_age_s`` is for how long that is known, ``rate_told_by`` the host
    that heard it, and ``rate_sent`` what all hosts that answered sent since, by permits.
    ``cold_per_s`` is the requests a second that a cold target accepts from all hosts together,
    ``None`` where no host takes it for cold, and ``cold_reason`` why it is cold.
    ``backed_off_by`` counts the hosts that the target asked for a backoff, and ``backoff_left_s``
    is the longest that is left of one, ``None`` where there is none.
    """

    target: str
    kind: str
    serves: str
    place: str
    versions: tuple[str, ...]
    url: str
    running: int | None
    waiting: int | None
    capacity: int
    known_by: int
    rate: float | None
    rate_age_s: float | None
    rate_told_by: str
    rate_sent: int
    cold_per_s: float | None
    cold_reason: str
    backed_off_by: int
    backoff_left_s: float | None


@click.command("targets")
@pass_ctl
def command(ctl: Ctl) -> None:
    """List the targets, their load, and how many of the entry hosts know each.

    A target that left, or that some hosts do not hear, is known by fewer than all.
    """

    async def work(session: Session) -> Result[None, Refusal]:
        document = await session.document()
        if isinstance(document, Err):
            return Err(document.err_value)
        hosts = document.ok_value["hosts"].items()
        links = {name: host["links"] for name, host in hosts if "entry" in host["roles"]}
        answers = await ask_states(session, links, "targets")
        refusal = first_refusal(answers.values())
        if refusal is not None:
            message = f"no entry host answers: {refusal.message}"
            return Err(Refusal(ErrorKind.UNREACHABLE, message, "", "start one"))
        heard = [answer.ok_value or {} for answer in answers.values() if isinstance(answer, Ok)]
        rows = join_targets(heard)
        if ctl.options.is_json:
            print_json({"hosts_asked": len(links), "hosts_answered": len(heard), "targets": rows})
        else:
            _print(rows, len(heard))
        return Ok(None)

    ctl.run(work)


def join_targets(heard: list[dict[str, Any]]) -> list[TargetRow]:
    """Return a row for each target, as the last host that knows it describes it."""
    known_by: dict[str, int] = {}
    described: dict[str, Any] = {}
    sent: dict[str, int] = {}
    left_s_by_target: dict[str, list[float]] = {}
    cold_by_target: dict[str, dict[str, Any]] = {}
    for targets in heard:
        for name, target in targets.items():
            known_by[name] = known_by.get(name, 0) + 1
            described[name] = target
            if target.get("cold"):
                cold_by_target[name] = target["cold"]
            backoff = target.get("backoff")
            if backoff:
                left_s_by_target.setdefault(name, []).append(backoff["left_s"])
            sent[name] = sent.get(name, 0) + _rate_of(target).get("sent_from_here", 0)
    return [
        TargetRow(
            target=name,
            kind=one["kind"],
            serves=one["name"],
            place=one["place"],
            versions=tuple(one["versions"]),
            url=one["url"],
            running=one["running"],
            waiting=one["waiting"],
            capacity=one["capacity"],
            known_by=known_by[name],
            rate=_rate_of(one).get("per_s"),
            rate_age_s=_rate_of(one).get("age_s"),
            rate_told_by=_rate_of(one).get("told_by", ""),
            rate_sent=sent[name],
            cold_per_s=cold_by_target.get(name, {}).get("per_s"),
            cold_reason=cold_by_target.get(name, {}).get("reason", ""),
            backed_off_by=len(left_s_by_target.get(name, ())),
            backoff_left_s=max(left_s_by_target.get(name, ()), default=None),
        )
        for name, one in sorted(described.items())
    ]


def _print(rows: list[TargetRow], hosts: int) -> None:
    headers = [
        "target",
        "kind",
        "serves",
        "place",
        "versions",
        "load",
        "known by",
        "in need",
        "cold",
        "backed off by",
    ]
    lines = [
        [
            row.target,
            row.kind,
            row.serves,
            row.place,
            ", ".join(row.versions),
            _load(row),
            f"{row.known_by} of {hosts}",
            _need(row),
            _cold(row),
            _backoff(row, hosts),
        ]
        for row in rows
    ]
    print_table(headers, lines)


def _load(row: TargetRow) -> str:
    if row.running is None:
        return f"not reported, capacity {row.capacity}"
    return f"{row.running} running, {row.waiting} waiting of {row.capacity}"


def _rate_of(target: dict[str, Any]) -> dict[str, Any]:
    # A host of an earlier version tells of no rate.
    return target.get("rate") or {}


def _backoff(row: TargetRow, hosts: int) -> str:
    if row.backoff_left_s is None:
        return ""
    return f"{row.backed_off_by} of {hosts}, for {row.backoff_left_s:.1f} s"


def _cold(row: TargetRow) -> str:
    if row.cold_per_s is None:
        return ""
    return f"takes {row.cold_per_s:g} a second ({row.cold_reason})"


def _need(row: TargetRow) -> str:
    if row.rate is None:
        return ""
    return (
        f"takes {row.rate:g} a second, {row.rate_sent} sent in {row.rate_age_s:.0f} s "
        f"(heard by {row.rate_told_by})"
    )
