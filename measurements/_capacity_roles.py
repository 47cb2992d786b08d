"""Work out each role's cost at the users' size from measured slopes."""

import math

from cranberrywall.budgets import IdLimits
from cranberrywall.targets import TTL_S
from measurements._capacity_parts import DAY_S, Figures, Limit, Part, Role, Sizes, Unit
from measurements._process_usage import fit_line
from standins import AnnounceOptions

LEDGER_GROUPS = 64
"""The most groups that the configuration takes."""

FEW_MEMBERS = 3
RENEWALS = "renewals of targets, the fewest that keep them known"
MEGABYTE = 1e6
KILOBYTE = 1e3
CORE_PERCENT = 100.0
MICROSECONDS_TO_PERCENT = 1e-4
MILLISECONDS_TO_PERCENT = 0.1

NODE_LIMITS = {
    Unit.CORE: Limit(2.6),
    Unit.MEMORY: Limit(128.0),
    Unit.TRAFFIC: Limit(26.0),
}
# A process runs on one core; the letter bounds the number of control hosts instead.
CONTROL_LIMITS = {Unit.CORE: Limit(CORE_PERCENT)}
MEMBERSHIP_SIZES = (50, 200, 400)


def make_roles(figures: Figures, sizes: Sizes) -> list[Role]:
    """Return the roles; raise ``MissingFigureError``."""
    return [
        entry_host(figures, sizes),
        configuration_host(figures, sizes),
        ledger_host(figures, sizes, sizes.control_hosts, "as built"),
        ledger_host(figures, sizes, FEW_MEMBERS, "trial: three members a group"),
        ledger_host(figures, sizes, FEW_MEMBERS, "trial: three members, ten charges a batch", True),
        console(figures, sizes),
    ]


def entry_host(figures: Figures, sizes: Sizes) -> Role:
    """Return what an entry host spends on control."""
    parts = [*_entry_processor(figures, sizes), *_entry_memory(figures, sizes)]
    parts += [*_entry_traffic(figures, sizes), *_entry_times(figures, sizes)]
    return Role("Entry host", parts, NODE_LIMITS)


def _entry_processor(figures: Figures, sizes: Sizes) -> list[Part]:
    announced = figures.get("node_cost.targets") / figures.get("node_cost.announcements_per_s")
    per_announcement = figures.get("node_cost.cpu_percent_per_target") * announced
    return [
        _program_part(figures),
        Part(
            "membership of more hosts",
            "membership.cpu_ms_*",
            # The figures' noise can be larger than their growth; a cost is not negative.
            max(0.0, _membership_slope(figures, "cpu_ms")) * MILLISECONDS_TO_PERCENT,
            sizes.nodes - MEMBERSHIP_SIZES[0],
            Unit.CORE,
            "flat membership: a probe a period, whatever the size; delegates between places",
        ),
        Part(
            "announcements at first hand",
            "node_cost.cpu_percent_per_target",
            per_announcement,
            sizes.targets / AnnounceOptions((), "").renew_every_s / sizes.nodes,
            Unit.CORE,
            "a target tells one host; that host tells the others",
        ),
        _work(
            figures,
            RENEWALS,
            "routing_cost.renewal_us_12000",
            sizes.targets / TTL_S,
        )._replace(mechanism="none: today renewals beyond 1,000 bytes a probe are dropped"),
        Part(
            "configuration in force",
            "config_size.host_change_ms",
            figures.get("config_size.host_change_ms") * MILLISECONDS_TO_PERCENT,
            sizes.changes_per_s,
            Unit.CORE,
            "a change is sent, not the document",
        ),
    ]


def _program_part(figures: Figures) -> Part:
    return Part(
        "the program among 7 hosts",
        "node_cost.cpu_percent",
        figures.get("node_cost.cpu_percent"),
        1,
        Unit.CORE,
        "few timers, no polling of peers",
    )


def _entry_memory(figures: Figures, sizes: Sizes) -> list[Part]:
    return [
        _memory(figures, "the program", "node_cost.memory_bytes", 1, "one process a host"),
        *_document_memory(figures, sizes),
        _memory(
            figures,
            "targets",
            "node_cost.memory_per_target_bytes",
            sizes.targets,
            "every host knows every target; subsets by rendezvous hashing are for routing only",
        ),
        _memory(
            figures,
            "allotments, each budget drawn at one host",
            "admission.memory_per_budget_bytes",
            sizes.budgets / sizes.nodes,
            "an allotment is forgotten a day after its last use",
        ),
    ]


def _document_memory(figures: Figures, sizes: Sizes) -> list[Part]:
    told = figures.get("config_size.workspaces")
    return [
        _memory(figures, "the document", "config_size.host_memory_bytes", 1, "one copy a host"),
        _memory(
            figures,
            "further budgets in the document",
            "config_size.bytes_per_budget",
            sizes.budgets - told,
            "none: the document lists every budget",
        ),
    ]


def _entry_traffic(figures: Figures, sizes: Sizes) -> list[Part]:
    growth = figures.get("config_spread.cost_ratio") ** math.log10(
        sizes.nodes / figures.get("config_spread.hosts")
    )
    requests = sizes.requests_per_s / sizes.nodes
    draws = requests * figures.get("hot_budget.ledger_messages_per_request_200")
    reported = sizes.targets / sizes.nodes * sizes.control_hosts
    return [
        _traffic(figures, "the program among 7 hosts", "node_cost.bytes_per_s", 1, "as above"),
        Part(
            "membership of more hosts",
            "membership.bytes_*",
            _membership_slope(figures, "bytes") / KILOBYTE,
            sizes.nodes - MEMBERSHIP_SIZES[0],
            Unit.TRAFFIC,
            "digests, and news pushed to some 2 log2 n neighbours",
        ),
        _traffic(
            figures,
            "configuration",
            "config_spread.bytes_per_host_per_s",
            growth,
            "changes spread from host to host",
        ),
        _traffic(
            figures,
            RENEWALS,
            "node_cost.renewal_bytes",
            sizes.targets / TTL_S,
            "none: today renewals beyond 1,000 bytes a probe are dropped",
        ),
        _traffic(
            figures,
            "reports of targets to every control host",
            "node_cost.control_bytes_per_s_per_target",
            reported,
            "a host reports only what it hears at first hand",
        ),
        _traffic(
            figures,
            "charges, one a message",
            "control_cost.leader_charge_in_bytes",
            requests,
            "charges of 20 ms and one group share a batch",
        ),
        _traffic(
            figures,
            "draws, as on the busiest budget",
            "control_cost.leader_draw_in_bytes",
            draws,
            "requests are admitted from an allotment without a message",
        ),
    ]


def _entry_times(figures: Figures, sizes: Sizes) -> list[Part]:
    return [
        _time(figures, "a change in force", "config_spread.max_s", 1, 14.0, "delta spread"),
        Part(
            "first token, p95: the model's, and the time that a host adds",
            "routing_larger.ttft_p95_ms + proxy.first_ms",
            figures.get("routing_larger.ttft_p95_ms") + figures.get("proxy.first_ms"),
            1e-3,
            Unit.SECONDS,
            "prefixes, load and waits weighed for each request",
            Limit(0.64),
        ),
        Part(
            "between tokens, p95: the model's, and the time that a host adds",
            "routing_larger.between_p95_ms + proxy.token_ms",
            figures.get("routing_larger.between_p95_ms") + figures.get("proxy.token_ms"),
            1e-3,
            Unit.SECONDS,
            "bounded work side by side at each engine",
            Limit(0.043),
        ),
        Part(
            "proxying tokens (work, not control)",
            "proxy.tokens_per_core_s",
            CORE_PERCENT / figures.get("proxy.tokens_per_core_s"),
            sizes.tokens_per_s / sizes.nodes,
            Unit.CORE,
            "one task a stream, on one core",
            Limit(CORE_PERCENT),
        ),
    ]


def configuration_host(figures: Figures, sizes: Sizes) -> Role:
    """Return what a control host spends on the configuration group and its callers."""
    parts = [
        Part(
            "changes",
            "config_size.change_ms",
            figures.get("config_size.change_ms") * MILLISECONDS_TO_PERCENT,
            sizes.changes_per_s,
            Unit.CORE,
            "a change is checked against the document in force",
        ),
        _core(figures, "node_cost.control_cpu_percent_per_host", sizes.nodes, "entry hosts"),
        _core(figures, "node_cost.control_cpu_percent_per_target", sizes.targets, "targets"),
        _memory(figures, "the program", "control_cost.base_memory_bytes", 1, "one process"),
        *_document_memory(figures, sizes),
        _traffic(
            figures,
            "entry hosts (in)",
            "node_cost.control_bytes_per_s_per_host",
            sizes.nodes,
            "polls are rarer the more hosts there are",
        ),
        _traffic(
            figures,
            "targets (in)",
            "node_cost.control_bytes_per_s_per_target",
            sizes.targets,
            "each control host hears every report, to lead at once",
        ),
    ]
    return Role("Control host, configuration group", parts, CONTROL_LIMITS)


def ledger_host(
    figures: Figures, sizes: Sizes, members: int, note: str, batched: bool = False
) -> Role:
    """Return what one of the control hosts spends on ledger groups of ``members`` each."""
    charge = "batched_charge" if batched else "charge"
    led = 1 / sizes.control_hosts
    followed = (members - 1) / sizes.control_hosts
    kept = (members / sizes.control_hosts) * LEDGER_GROUPS
    draws = sizes.requests_per_s * figures.get("admission.messages_per_admission")
    registrations = (sizes.failures_per_day + sizes.restarts_per_day) * LEDGER_GROUPS / DAY_S
    streams = sizes.nodes / figures.get("control_cost.holders")
    by_leader = f"control_cost.leader_{charge}_us"
    by_follower = f"control_cost.follower_{charge}_us"
    cost = figures.get(by_leader) + (members - 1) * figures.get(by_follower)
    parts = [
        _work(figures, "charges led", by_leader, sizes.requests_per_s * led),
        _work(figures, "charges followed", by_follower, sizes.requests_per_s * followed),
        _work(figures, "draws led", "control_cost.leader_draw_us", draws * led),
        _work(figures, "draws followed", "control_cost.follower_draw_us", draws * followed),
        _work(figures, "registrations led", "control_cost.leader_draw_us", registrations * led),
        _core(figures, "idle_groups.cpu_percent_per_group", kept, "idle groups"),
        _core(figures, "control_cost.idle_leader_percent", streams, "streams of entry hosts"),
        _memory(figures, "the program", "control_cost.base_memory_bytes", 1, "one process"),
        _ledger_memory(figures, "budgets", "memory_per_budget_bytes", sizes.budgets, kept),
        _ledger_memory(figures, "allotments", "memory_per_allotment_bytes", sizes.budgets, kept),
        _ledger_memory(
            figures,
            "request ids",
            "memory_per_id_bytes",
            IdLimits().kept * LEDGER_GROUPS,
            kept,
        ),
        _traffic(
            figures,
            "charges led (out)",
            "control_cost.leader_charge_out_bytes",
            sizes.requests_per_s * led * (members - 1) / (FEW_MEMBERS - 1),
            "appends of many charges each; slope with two followers",
        ),
        _time(
            figures,
            "a group stands still for its snapshot",
            "ledger_size.snapshot_per_budget_us",
            sizes.budgets / LEDGER_GROUPS / 1e6,
            0.64,
            "budgets are placed on 64 groups by hash",
        ),
        _time(
            figures,
            "restart from snapshots (no limit given)",
            "ledger_size.restart_per_budget_us",
            sizes.budgets / LEDGER_GROUPS * kept / 1e6,
            None,
            "a group's other members go on",
        ),
        Part(
            "request ids are known for",
            "cranberrywall.budgets.IdLimits.kept",
            IdLimits().kept * LEDGER_GROUPS,
            1 / sizes.requests_per_s,
            Unit.SECONDS,
            "16 bytes an id, in sorted segments",
            Limit(3600.0, is_least=True),
        ),
        Part(
            "hosts for charges alone, each with a whole core",
            f"{by_leader} + {members - 1} × follower",
            cost,
            sizes.requests_per_s / 1e6,
            Unit.HOSTS,
            "group commit",
            Limit(sizes.control_hosts),
        ),
    ]
    return Role(f"Control host, ledger groups ({note})", parts, CONTROL_LIMITS)


def console(figures: Figures, sizes: Sizes) -> Role:
    """Return what the console spends while nobody visits it."""
    parts = [
        _core(figures, "node_cost.console_cpu_percent", 1, "the program"),
        _memory(figures, "the program", "node_cost.console_memory_bytes", 1, "one process"),
        _traffic(figures, "the program", "node_cost.console_bytes_per_s", 1, "asks when visited"),
    ]
    return Role("Console, without visitors", parts, NODE_LIMITS)


def _ledger_memory(figures: Figures, what: str, key: str, count: float, kept: float) -> Part:
    share = kept / LEDGER_GROUPS
    mechanism = f"a host keeps {kept:.1f} of {LEDGER_GROUPS} groups"
    return _memory(figures, what, f"ledger_size.{key}", count * share, mechanism)


def _work(figures: Figures, what: str, source: str, per_s: float) -> Part:
    slope = figures.get(source) * MICROSECONDS_TO_PERCENT
    return Part(what, source, slope, per_s, Unit.CORE, "group commit")


def _core(figures: Figures, source: str, times: float, what: str) -> Part:
    return Part(what, source, figures.get(source), times, Unit.CORE, "streams kept open")


def _memory(figures: Figures, what: str, source: str, times: float, mechanism: str) -> Part:
    return Part(what, source, figures.get(source) / MEGABYTE, times, Unit.MEMORY, mechanism)


def _traffic(figures: Figures, what: str, source: str, times: float, mechanism: str) -> Part:
    return Part(what, source, figures.get(source) / KILOBYTE, times, Unit.TRAFFIC, mechanism)


def _time(
    figures: Figures, what: str, source: str, times: float, limit: float | None, mechanism: str
) -> Part:
    bound = None if limit is None else Limit(limit)
    return Part(what, source, figures.get(source), times, Unit.SECONDS, mechanism, bound)


def _membership_slope(figures: Figures, key: str) -> float:
    points = [(float(size), figures.get(f"membership.{key}_{size}")) for size in MEMBERSHIP_SIZES]
    return fit_line(points).slope
