"""Make the parts of the capacity table from slopes in the units that measurements use."""

from cranberrywall.orders._reports import REPORT_EVERY_S
from measurements._capacity_parts import Figures, Limit, Part, Sizes, Unit

MEGABYTE = 1e6
KILOBYTE = 1e3
CORE_PERCENT = 100.0
MICROSECONDS_TO_PERCENT = 1e-4
MILLISECONDS_TO_PERCENT = 0.1


def reports_part(what: str, times: float) -> Part:
    """Return the reports of entry hosts, one each ``REPORT_EVERY_S``."""
    mechanism = "one report a host, whatever the fleet's size"
    source = "cranberrywall.orders REPORT_EVERY_S"
    return Part(what, source, 1 / REPORT_EVERY_S, times, Unit.MESSAGES, mechanism)


def document_memory(figures: Figures, sizes: Sizes) -> list[Part]:
    """Return the memory of the configuration document, with all budgets."""
    told = figures.get("config_size.workspaces")
    return [
        memory_part(figures, "the document", "config_size.host_memory_bytes", 1, "one copy a host"),
        memory_part(
            figures,
            "further budgets in the document",
            "config_size.bytes_per_budget",
            sizes.budgets - told,
            "none: the document lists every budget",
        ),
    ]


def work_part(figures: Figures, what: str, source: str, per_s: float) -> Part:
    """Return processor time from a slope in microseconds, ``per_s`` times a second."""
    slope = figures.get(source) * MICROSECONDS_TO_PERCENT
    return Part(what, source, slope, per_s, Unit.CORE, "group commit")


def core_part(figures: Figures, what: str, source: str, times: float, mechanism: str) -> Part:
    """Return processor time from a slope in percent of a core."""
    return Part(what, source, figures.get(source), times, Unit.CORE, mechanism)


def memory_part(figures: Figures, what: str, source: str, times: float, mechanism: str) -> Part:
    """Return memory from a slope in bytes."""
    return Part(what, source, figures.get(source) / MEGABYTE, times, Unit.MEMORY, mechanism)


def traffic_part(figures: Figures, what: str, source: str, times: float, mechanism: str) -> Part:
    """Return traffic from a slope in bytes a second."""
    return Part(what, source, figures.get(source) / KILOBYTE, times, Unit.TRAFFIC, mechanism)


def time_part(
    figures: Figures, what: str, source: str, times: float, limit: float | None, mechanism: str
) -> Part:
    """Return a time from a slope in seconds, with its limit if there is one."""
    bound = None if limit is None else Limit(limit)
    return Part(what, source, figures.get(source), times, Unit.SECONDS, mechanism, bound)
