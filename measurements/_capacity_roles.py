"""Work out each role's cost at the users' size from measured slopes."""

from cranberrywall.budgets.ledger import IdLimits
from measurements._capacity_entry import NODE_LIMITS, entry_host
from measurements._capacity_parts import DAY_S, Figures, Limit, Part, Role, Sizes, Unit
from measurements._capacity_slopes import (
    CORE_PERCENT,
    MILLISECONDS_TO_PERCENT,
    core_part,
    document_memory,
    memory_part,
    reports_part,
    time_part,
    traffic_part,
    work_part,
)

LEDGER_GROUPS = 64
"""The most groups that the configuration takes."""

FEW_MEMBERS = 3

# A process runs on one core; the letter bounds the number of control hosts instead.
CONTROL_LIMITS = {Unit.CORE: Limit(CORE_PERCENT)}


def make_roles(figures: Figures, sizes: Sizes) -> list[Role]:
    """Return the roles; raise ``MissingFigureError``."""
    return [
        entry_host(figures, sizes),
        configuration_host(figures, sizes),
        ledger_host(figures, sizes, sizes.control_hosts, "as built"),
        _trial(ledger_host(figures, sizes, FEW_MEMBERS, "trial: three members a group")),
        _trial(
            ledger_host(
                figures, sizes, FEW_MEMBERS, "trial: three members, ten charges a batch", True
            )
        ),
        console(figures, sizes),
    ]


def _trial(role: Role) -> Role:
    return role._replace(is_built=False)


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
        core_part(
            figures,
            "entry hosts",
            "node_cost.control_cpu_percent_per_host",
            sizes.nodes,
            "polls are rarer the more hosts there are; reports are not",
        ),
        core_part(
            figures,
            "targets",
            "node_cost.control_cpu_percent_per_target",
            sizes.targets,
            "each control host hears every report, to lead at once",
        ),
        memory_part(figures, "the program", "control_cost.base_memory_bytes", 1, "one process"),
        *document_memory(figures, sizes),
        traffic_part(
            figures,
            "entry hosts (in)",
            "node_cost.control_bytes_per_s_per_host",
            sizes.nodes,
            "polls are rarer the more hosts there are",
        ),
        traffic_part(
            figures,
            "targets (in)",
            "node_cost.control_bytes_per_s_per_target",
            sizes.targets,
            "each control host hears every report, to lead at once",
        ),
        reports_part("reports answered", sizes.nodes),
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
        work_part(figures, "charges led", by_leader, sizes.requests_per_s * led),
        work_part(figures, "charges followed", by_follower, sizes.requests_per_s * followed),
        work_part(figures, "draws led", "control_cost.leader_draw_us", draws * led),
        work_part(figures, "draws followed", "control_cost.follower_draw_us", draws * followed),
        work_part(figures, "registrations led", "control_cost.leader_draw_us", registrations * led),
        core_part(
            figures, "idle groups", "idle_groups.cpu_percent_per_group", kept, "a heartbeat each"
        ),
        core_part(
            figures,
            "streams of entry hosts",
            "control_cost.idle_leader_percent",
            streams,
            "one stream a pair of processes",
        ),
        memory_part(figures, "the program", "control_cost.base_memory_bytes", 1, "one process"),
        _ledger_memory(figures, "budgets", "memory_per_budget_bytes", sizes.budgets, kept),
        _ledger_memory(figures, "allotments", "memory_per_allotment_bytes", sizes.budgets, kept),
        _ledger_memory(
            figures,
            "request ids",
            "memory_per_id_bytes",
            IdLimits().kept * LEDGER_GROUPS,
            kept,
        ),
        traffic_part(
            figures,
            "charges led (out)",
            "control_cost.leader_charge_out_bytes",
            sizes.requests_per_s * led * (members - 1) / (FEW_MEMBERS - 1),
            "appends of many charges each; slope with two followers",
        ),
        time_part(
            figures,
            "a group stands still for its snapshot",
            "ledger_size.snapshot_per_budget_us",
            sizes.budgets / LEDGER_GROUPS / 1e6,
            0.64,
            "budgets are placed on 64 groups by hash",
        ),
        time_part(
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
        core_part(figures, "the program", "node_cost.console_cpu_percent", 1, "asks when visited"),
        memory_part(figures, "the program", "node_cost.console_memory_bytes", 1, "one process"),
        traffic_part(
            figures, "the program", "node_cost.console_bytes_per_s", 1, "asks when visited"
        ),
    ]
    return Role("Console, without visitors", parts, NODE_LIMITS)


def _ledger_memory(figures: Figures, what: str, key: str, count: float, kept: float) -> Part:
    share = kept / LEDGER_GROUPS
    mechanism = f"a host keeps {kept:.1f} of {LEDGER_GROUPS} groups"
    return memory_part(figures, what, f"ledger_size.{key}", count * share, mechanism)
