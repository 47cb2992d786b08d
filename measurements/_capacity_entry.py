"""Work out an entry host's cost at the users' size from measured slopes."""

import math

from cranberrywall.targets import TTL_S
from measurements._capacity_parts import Figures, Limit, Part, Role, Sizes, Unit
from measurements._capacity_slopes import (
    CORE_PERCENT,
    KILOBYTE,
    MILLISECONDS_TO_PERCENT,
    document_memory,
    memory_part,
    reports_part,
    time_part,
    traffic_part,
    work_part,
)
from measurements._process_usage import fit_line
from standins import AnnounceOptions

NODE_LIMITS = {
    Unit.CORE: Limit(2.6),
    Unit.MEMORY: Limit(128.0),
    Unit.TRAFFIC: Limit(26.0),
}
MEMBERSHIP_SIZES = (50, 200, 400)
RENEWALS = "renewals of targets, the fewest that keep them known"


def entry_host(figures: Figures, sizes: Sizes) -> Role:
    """Return what an entry host spends on control."""
    parts = [*_entry_processor(figures, sizes), *_entry_memory(figures, sizes)]
    parts += [*_entry_traffic(figures, sizes), *_entry_messages(figures, sizes)]
    parts += _entry_times(figures, sizes)
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
        work_part(
            figures,
            RENEWALS,
            "routing_cost.renewal_us_12000",
            sizes.targets / TTL_S,
        )._replace(mechanism="none: a probe carries 1,000 bytes of news"),
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
        memory_part(figures, "the program", "node_cost.memory_bytes", 1, "one process a host"),
        *document_memory(figures, sizes),
        memory_part(
            figures,
            "targets",
            "node_cost.memory_per_target_bytes",
            sizes.targets,
            "every host knows every target; subsets by rendezvous hashing are for routing only",
        ),
        memory_part(
            figures,
            "allotments, each budget drawn at one host",
            "admission.memory_per_budget_bytes",
            sizes.budgets / sizes.nodes,
            "an allotment is forgotten a day after its last use",
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
        traffic_part(figures, "the program among 7 hosts", "node_cost.bytes_per_s", 1, "as above"),
        Part(
            "membership of more hosts",
            "membership.bytes_*",
            _membership_slope(figures, "bytes") / KILOBYTE,
            sizes.nodes - MEMBERSHIP_SIZES[0],
            Unit.TRAFFIC,
            "digests, and news pushed to some 2 log2 n neighbours",
        ),
        traffic_part(
            figures,
            "configuration",
            "config_spread.bytes_per_host_per_s",
            growth,
            "changes spread from host to host",
        ),
        traffic_part(
            figures,
            RENEWALS,
            "node_cost.renewal_bytes",
            sizes.targets / TTL_S,
            "none: a probe carries 1,000 bytes of news",
        ),
        traffic_part(
            figures,
            "reports of targets to every control host",
            "node_cost.control_bytes_per_s_per_target",
            reported,
            "a host reports only what it hears at first hand",
        ),
        traffic_part(
            figures,
            "charges, one a message",
            "control_cost.leader_charge_in_bytes",
            requests,
            "charges of 20 ms and one group share a batch",
        ),
        traffic_part(
            figures,
            "draws, as on the busiest budget",
            "control_cost.leader_draw_in_bytes",
            draws,
            "requests are admitted from an allotment without a message",
        ),
    ]


def _entry_messages(figures: Figures, sizes: Sizes) -> list[Part]:
    requests = sizes.requests_per_s / sizes.nodes
    return [
        Part(
            "charges sent",
            "hot_budget.charge_batches_per_request_200",
            figures.get("hot_budget.charge_batches_per_request_200"),
            requests,
            Unit.MESSAGES,
            "charges of 20 ms and one group share a batch",
        ),
        Part(
            "draws, as on the busiest budget",
            "hot_budget.ledger_messages_per_request_200",
            figures.get("hot_budget.ledger_messages_per_request_200"),
            requests,
            Unit.MESSAGES,
            "requests are admitted from an allotment without a message",
        ),
        reports_part("reports sent", sizes.control_hosts),
    ]


def _entry_times(figures: Figures, sizes: Sizes) -> list[Part]:
    return [
        time_part(figures, "a change in force", "config_spread.max_s", 1, 14.0, "delta spread"),
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


def _membership_slope(figures: Figures, key: str) -> float:
    points = [(float(size), figures.get(f"membership.{key}_{size}")) for size in MEMBERSHIP_SIZES]
    return fit_line(points).slope
